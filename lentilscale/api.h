// The HTTP API for callers and operators. docs/API.md is its manual.
//
//   POST   /v1/services/SERVICE/calls     a call, with a team's key
//   POST   /v1/queues/QUEUE/calls         a call, without a key
//   POST   /v1/jobs                       submit; GET lists
//   GET    /v1/jobs/ID                    show; DELETE cancels
//   GET    /v1/explain?service=S[&job=J]  why work waits or where it goes
//   POST   /v1/tickets[/check]            operators' tickets
//   GET    /v1/tickets/head, /v1/tickets/N, /v1/tickets/N/in_force
//   GET    /v1/audit, /v1/status
//   GET    /healthz, /readyz, /metrics

#ifndef LENTILSCALE_API_H_
#define LENTILSCALE_API_H_

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "lentilscale/call_router.h"
#include "lentilscale/http_server.h"

namespace lentilscale {

class Node;

// The API of one node.
class Api {
 public:
  explicit Api(Node* node) : node_(node) {}

  // Answers one request.
  auto Serve(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
      -> void;

 private:
  using Reply = std::shared_ptr<HttpReply>;
  using Path = std::vector<std::string>;

  auto Dispatch(const HttpRequest& request, const Path& path, Reply reply)
      -> void;
  auto ServeProbe(const HttpRequest& request, const Reply& reply) -> bool;
  auto ServeCall(const HttpRequest& request, const std::string& service,
                 const std::string& team, Reply reply) -> void;
  auto ServeQueueCall(const HttpRequest& request, const std::string& queue,
                      Reply reply) -> void;
  auto ServeJobs(const HttpRequest& request, const Path& path, Reply reply)
      -> void;
  auto ServeTickets(const HttpRequest& request, const Path& path, Reply reply)
      -> void;
  auto ServeExplain(const HttpRequest& request, Reply reply) -> void;
  auto ServeStatus(Reply reply) -> void;
  auto ServeInForce(std::int64_t number, Reply reply) -> void;

  auto Authenticate(const HttpRequest& request) const -> std::string;
  auto RequireOperator(const HttpRequest& request) const -> void;
  auto RequireFreshConfiguration() const -> void;
  auto ReadCall(const HttpRequest& request, const std::string& service,
                const std::string& team) const -> Call;
  auto AskKeeper(const std::string& job, Json::Value body, Reply reply) -> void;
  auto ListJobs(const std::string& team, Reply reply) -> void;

  Node* node_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_API_H_
