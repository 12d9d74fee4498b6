// Routes calls: from the instance that a caller reached, by way of the
// request's home if it is non-idempotent, to the instance that executes it.
//
//   router.Route(call, [](const RequestReply& reply) { ... answer the caller
//   ...
//   });
//
// The paths between instances are /peer/v1/home and /peer/v1/execute. An
// executor is chosen by the free room that members report in heartbeats, near
// before far, and by what they hold of the team's limit.

#ifndef LENTILSCALE_CALL_ROUTER_H_
#define LENTILSCALE_CALL_ROUTER_H_

#include <deque>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/executor.h"
#include "lentilscale/holding_rebalancer.h"
#include "lentilscale/members.h"
#include "lentilscale/peer_link.h"
#include "lentilscale/request_deduplicator.h"
#include "lentilscale/retry_budget.h"
#include "lentilscale/store_view.h"

namespace lentilscale {

// A call on its way.
struct Call {
  static auto FromJson(const Json::Value& object, Millis now) -> Call;
  // Deadlines travel as the time left.
  auto ToJson(Millis now) const -> Json::Value;

  std::string team_;
  std::string service_;
  std::string request_id_;
  bool is_idempotent_ = true;
  bool is_urgent_ = false;
  // Wall-clock time at which the caller first issued the request.
  Millis issued_ms_ = 0;
  // How often the caller has sent the request, this time included; 0 if it
  // does not say.
  std::int64_t attempt_ = 0;
  // Monotonic time of this instance.
  Millis deadline_ms_ = 0;
  std::string work_class_;
  Resources need_;
  Json::Value payload_;
};

// The router of one instance.
class CallRouter {
 public:
  using Done = RequestDeduplicator::Done;

  struct Options {
    std::string self_id_;
    std::string region_;
    std::int64_t attempts_ = 3;
    RetryBudget::Options retry_;
    // Waiting calls per slot in the own region above which calls cross to
    // another region that has free room.
    double cross_region_backlog_ = 1.0;
    std::uint64_t seed_ = 1;
  };

  CallRouter(uv_loop_t* loop, PeerLink* link, Members* members, StoreView* view,
             Executor* executor, RequestDeduplicator* request_deduplicator,
             HoldingRebalancer* holding_rebalancer, Metrics* metrics,
             std::function<Millis()> rights_until, const Options& options);

  // Routes a call that this instance has admitted.
  auto Route(const Call& call, Done done) -> void;

  // Returns the members' ids in the order in which this call would try them.
  auto Candidates(const Call& call) -> std::vector<std::string>;

  // Sends the ends of requests whose home moved meanwhile to their new homes.
  auto Tick() -> void;

  auto open_routes() const -> std::int64_t { return open_routes_; }

 private:
  struct Execution {
    Call call_;
    std::function<void(const CallOutcome&)> done_;
    std::int64_t attempts_ = 0;
    std::set<std::string> tried_;
    // An attempt ended with an unknown outcome.
    bool may_have_run_ = false;
  };

  struct MovedEnd {
    std::string shard_;
    RequestKey key_;
    RequestReply reply_;
    int sent_ = 0;
  };

  auto RouteHome(const Call& call, Done done) -> void;
  auto OnHomeRefused(const Call& call, Done done, const RequestReply& reply)
      -> void;
  auto HandleHome(const std::string& shard, const Call& call, Done done)
      -> void;
  auto RunAtHome(const std::string& shard, const Call& call, const Done& done)
      -> void;
  auto Execute(std::shared_ptr<Execution> execution) -> void;
  auto ExecuteHere(const Call& call,
                   std::function<void(const CallOutcome&)> done) -> void;
  auto OnExecuted(std::shared_ptr<Execution> execution,
                  const CallOutcome& outcome) -> void;
  // Returns true if this execution was seen before: a message may come twice.
  auto IsRepeatedExecution(const std::string& id) -> bool;
  auto Finish(const CallOutcome& outcome) const -> RequestReply;
  auto RightsUntilWall() const -> Millis;
  auto OnRequestEnded(const Json::Value& params) -> Json::Value;

  uv_loop_t* loop_;
  PeerLink* link_;
  Members* members_;
  StoreView* view_;
  Executor* executor_;
  RequestDeduplicator* request_deduplicator_;
  HoldingRebalancer* holding_rebalancer_;
  Metrics* metrics_;
  std::function<Millis()> rights_until_;
  Options options_;
  RetryBudget retry_budget_;
  std::mt19937_64 random_;
  std::int64_t next_call_ = 0;
  std::int64_t next_execution_ = 0;
  // Executions that were asked for lately, oldest first.
  std::set<std::string> executions_;
  std::deque<std::string> execution_ages_;
  std::int64_t open_routes_ = 0;
  std::vector<MovedEnd> moved_ends_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_CALL_ROUTER_H_
