// libjsonrpccpp checks the envelope and the parameters and finds the method.
// Its own connectors block threads, so a connector of our own takes a string
// and keeps the answer for the caller to fetch.

#include "lentilscale/rpc_server.h"

#include <jsonrpccpp/server/abstractserver.h>

#include <map>

#include "lentilscale/error.h"

namespace lentilscale {
namespace {

class StringConnector : public jsonrpc::AbstractServerConnector {
 public:
  auto StartListening() -> bool override { return true; }
  auto StopListening() -> bool override { return true; }
  auto SendResponse(const std::string& response, void* /*info*/)
      -> bool override {
    response_ = response;
    return true;
  }

  std::string response_;
};

}  // namespace

class RpcServer::Server : public StringConnector,
                          public jsonrpc::AbstractServer<RpcServer::Server> {
 public:
  Server()
      : jsonrpc::AbstractServer<RpcServer::Server>(
            static_cast<jsonrpc::AbstractServerConnector&>(*this)) {}

  auto Add(const std::string& name, Method method) -> void {
    methods_[name] = std::move(method);
    bindAndAddMethod(jsonrpc::Procedure(name, jsonrpc::PARAMS_BY_NAME,
                                        jsonrpc::JSON_OBJECT, nullptr),
                     &Server::Dispatch);
  }

  auto HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) -> void override {
    output = Run(procedure.GetProcedureName(), input);
  }

  auto Run(const std::string& name, const Json::Value& input) -> Json::Value {
    Json::Value output(Json::objectValue);
    try {
      output = methods_.at(name)(input);
    } catch (const Error& e) {
      output["error"] = std::string(e.info().name_);
      output["message"] = e.what();
    } catch (const std::exception& e) {
      output["error"] = std::string(GetErrorInfo(ErrorCode::kInternal).name_);
      output["message"] = e.what();
    }
    return output;
  }

 private:
  // The library wants a member to bind; HandleMethodCall is overridden, so it
  // is never called.
  auto Dispatch(const Json::Value& /*input*/, Json::Value& /*output*/) -> void {
  }

  std::map<std::string, Method, std::less<>> methods_;
};

RpcServer::RpcServer() : server_(std::make_unique<Server>()) {}

RpcServer::~RpcServer() = default;

auto RpcServer::AddMethod(const std::string& name, Method method) -> void {
  server_->Add(name, std::move(method));
}

auto RpcServer::Handle(const std::string& request) -> std::string {
  server_->response_.clear();
  server_->OnRequest(request);
  return server_->response_;
}

auto RpcServer::CallLocal(const std::string& name, const Json::Value& params)
    -> Json::Value {
  return server_->Run(name, params);
}

}  // namespace lentilscale
