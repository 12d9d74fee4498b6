// The client headers of libjsonrpccpp 0.7 declare dynamic exception
// specifications, which C++17 removed; this file alone is therefore built as
// C++14. A connector that throws from the middle of the library's call would
// break those specifications, so the capturing connector returns a valid
// dummy answer instead.

#include "lentilscale/rpc_client_codec.h"

#include <json/json.h>
#include <jsonrpccpp/client.h>

namespace lentilscale {
namespace {

class CaptureConnector : public jsonrpc::IClientConnector {
 public:
  void SendRPCMessage(const std::string& message, std::string& result) throw(
      jsonrpc::JsonRpcException) override {
    message_ = message;
    result = R"({"jsonrpc":"2.0","id":1,"result":{}})";
  }

  std::string message_;
};

class ReplayConnector : public jsonrpc::IClientConnector {
 public:
  explicit ReplayConnector(const std::string& text) : text_(text) {}

  void SendRPCMessage(
      const std::string& /*message*/,
      std::string& result) throw(jsonrpc::JsonRpcException) override {
    result = text_;
  }

 private:
  const std::string& text_;
};

}  // namespace

auto EncodeRpcRequest(const std::string& method, const Json::Value& params)
    -> std::string {
  CaptureConnector connector;
  jsonrpc::Client client(connector);
  Json::Value ignored;
  client.CallMethod(method, params, ignored);
  return connector.message_;
}

auto DecodeRpcResult(const std::string& method, const std::string& text,
                     Json::Value& result) -> std::string {
  ReplayConnector connector(text);
  jsonrpc::Client client(connector);
  try {
    client.CallMethod(method, Json::Value(Json::objectValue), result);
  } catch (const jsonrpc::JsonRpcException& e) {
    return e.what();
  } catch (const std::exception& e) {
    return e.what();
  }
  return "";
}

}  // namespace lentilscale
