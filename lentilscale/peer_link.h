// Messages between instances.
//
// Two kinds travel over the peers' listener. A prompt message is a JSON-RPC
// call that the peer answers from memory; a request that takes time is an HTTP
// request that the peer answers when it has ended:
//
//   link.Call(address, "heartbeat", params, [](const PeerAnswer& answer)
//   {...}); link.Ask(address, "/peer/v1/execute", body, 5000, [](const auto&
//   answer) {});
//
// Messages to the instance itself take the same paths without the network, so
// that there is one code path for both.

#ifndef LENTILSCALE_PEER_LINK_H_
#define LENTILSCALE_PEER_LINK_H_

#include <json/json.h>
#include <uv.h>

#include <functional>
#include <string>

#include "lentilscale/http_client.h"
#include "lentilscale/http_server.h"
#include "lentilscale/metrics.h"
#include "lentilscale/rpc_server.h"

namespace lentilscale {

// The answer of a peer.
struct PeerAnswer {
  // False if the peer was not reached, sent no whole answer, or answered with
  // an error.
  bool is_ok_ = false;
  // True if the message was never sent.
  bool is_not_sent_ = false;
  int http_status_ = 0;
  Json::Value body_;
};

// Sends messages to peers and serves theirs.
class PeerLink {
 public:
  using Callback = std::function<void(const PeerAnswer&)>;
  // Answers a request now or later.
  using Responder = std::function<void(int status, const Json::Value& body)>;
  using RequestHandler =
      std::function<void(const Json::Value& body, Responder respond)>;

  struct Options {
    std::string self_address_;
    // Shared secret of all instances; empty means none.
    std::string peer_key_;
    Millis call_timeout_ms_ = 1000;
  };

  PeerLink(uv_loop_t* loop, HttpClient* client, Metrics* metrics,
           const Options& options)
      : loop_(loop), client_(client), metrics_(metrics), options_(options) {}

  auto SetSelfAddress(const std::string& address) -> void {
    options_.self_address_ = address;
  }

  // Adds a prompt message, or a request under a path.
  auto AddMethod(const std::string& name, RpcServer::Method method) -> void {
    rpc_.AddMethod(name, std::move(method));
  }
  auto AddRequest(const std::string& path, RequestHandler handler) -> void {
    requests_[path] = std::move(handler);
  }

  auto Call(const std::string& address, const std::string& method,
            const Json::Value& params, Callback callback) -> void;
  auto Ask(const std::string& address, const std::string& path,
           const Json::Value& body, Millis timeout_ms, Callback callback)
      -> void;

  // Serves one HTTP request of a peer.
  auto Serve(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
      -> void;

 private:
  auto CallSelf(const std::string& method, const Json::Value& params,
                Callback callback) -> void;
  auto AskSelf(const std::string& path, const Json::Value& body,
               Callback callback) -> void;

  uv_loop_t* loop_;
  HttpClient* client_;
  Metrics* metrics_;
  Options options_;
  RpcServer rpc_;
  std::map<std::string, RequestHandler, std::less<>> requests_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_PEER_LINK_H_
