// The server half of JSON-RPC 2.0 between instances, by libjsonrpccpp.
//
// Methods are prompt: each handler answers from memory, and whatever takes
// longer is told by a later message of its own. An RpcServer is fed the text
// of a request and returns the text of the answer, so that any connection can
// carry it:
//
//   RpcServer server;
//   server.AddMethod("heartbeat", [](const Json::Value& params) {
//     return DigestToJson(...);
//   });
//   reply->Send(200, server.Handle(request.body_));
//
// A handler that throws Error gives a result of the form
// {"error": code name, "message": text}.

#ifndef LENTILSCALE_RPC_SERVER_H_
#define LENTILSCALE_RPC_SERVER_H_

#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace lentilscale {

// Dispatches JSON-RPC requests to methods.
class RpcServer {
 public:
  using Method = std::function<Json::Value(const Json::Value& params)>;

  RpcServer();
  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  auto operator=(const RpcServer&) -> RpcServer& = delete;

  // Adds `method` under `name`. Names are unique.
  auto AddMethod(const std::string& name, Method method) -> void;

  // Handles one request and returns the answer; malformed requests get
  // JSON-RPC's own errors.
  auto Handle(const std::string& request) -> std::string;

  // Calls a method directly, for messages that an instance sends to itself.
  auto CallLocal(const std::string& name, const Json::Value& params)
      -> Json::Value;

 private:
  class Server;
  std::unique_ptr<Server> server_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_RPC_SERVER_H_
