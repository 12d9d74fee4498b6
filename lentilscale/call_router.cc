// Members' free room is as old as a heartbeat, so choosing the best by it
// would send every instance's calls to the same member. The choice is
// therefore random in proportion to free room, which spreads by capacity and
// errs by at most what arrives within a heartbeat (compare Mitzenmacher, "How
// Useful Is Old Information?", 2000).

#include "lentilscale/call_router.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <memory>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/shard_map.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr auto kHomePath = "/peer/v1/home";
constexpr auto kExecutePath = "/peer/v1/execute";
constexpr auto kHttpOk = 200;
constexpr Millis kPeerGraceMs = 400;
constexpr Millis kRetryDelayMs = 20;
constexpr Millis kMoveDelayMs = 30;
// Covers many seconds of the peak rate of one instance.
constexpr std::size_t kRememberedExecutions = 50000;
constexpr int kMovedEndSends = 5;
constexpr Millis kMaxDeadlineMs = 24 * 3600 * 1000;
constexpr double kLeastWeight = 0.01;

auto OutcomeToJson(const CallOutcome& outcome) -> Json::Value {
  Json::Value out;
  out["kind"] = static_cast<int>(outcome.kind_);
  out["code"] = std::string(GetErrorInfo(outcome.code_).name_);
  out["reason"] = outcome.reason_;
  out["answer"] = outcome.answer_;
  out["worker"] = outcome.worker_;
  out["wait_ms"] = Json::Int64(outcome.wait_ms_);
  return out;
}

auto OutcomeFromJson(const Json::Value& object) -> CallOutcome {
  CallOutcome out;
  out.kind_ = static_cast<CallOutcome::Kind>(RequireInt(object, "kind", 0, 2));
  out.code_ = ErrorCodeFromName(GetString(object, "code", ""));
  out.reason_ = GetString(object, "reason", "");
  out.answer_ = object["answer"];
  out.worker_ = GetString(object, "worker", "");
  out.wait_ms_ = GetInt(object, "wait_ms", 0, INT64_MIN, INT64_MAX);
  return out;
}

auto LoadOf(const MemberState& state, const std::string& service)
    -> ServiceLoad {
  for (const auto& load : state.digest_.loads_) {
    if (load.service_ == service) {
      return load;
    }
  }
  return {service, 0, 0, 0};
}

}  // namespace

auto Call::FromJson(const Json::Value& object, Millis now) -> Call {
  Call out;
  out.team_ = RequireString(object, "team");
  out.service_ = RequireString(object, "service");
  out.request_id_ = GetString(object, "request_id", "");
  out.is_idempotent_ = GetBool(object, "idempotent", true);
  out.is_urgent_ = GetBool(object, "urgent", false);
  out.issued_ms_ = GetInt(object, "issued_ms", 0, 0, INT64_MAX);
  out.attempt_ = GetInt(object, "attempt", 0, 0, INT64_MAX);
  out.deadline_ms_ =
      now + RequireInt(object, "left_ms", INT64_MIN / 2, kMaxDeadlineMs);
  out.work_class_ = GetString(object, "class", "");
  out.need_ = Resources::FromJson(GetObject(object, "need"), 1);
  out.payload_ = GetObject(object, "payload");
  return out;
}

auto Call::ToJson(Millis now) const -> Json::Value {
  Json::Value out;
  out["team"] = team_;
  out["service"] = service_;
  out["request_id"] = request_id_;
  out["idempotent"] = is_idempotent_;
  out["urgent"] = is_urgent_;
  out["issued_ms"] = Json::Int64(issued_ms_);
  out["attempt"] = Json::Int64(attempt_);
  out["left_ms"] = Json::Int64(deadline_ms_ - now);
  out["class"] = work_class_;
  out["need"] = need_.ToJson();
  out["payload"] = payload_;
  return out;
}

CallRouter::CallRouter(uv_loop_t* loop, PeerLink* link, Members* members,
                       StoreView* view, Executor* executor,
                       RequestDeduplicator* request_deduplicator,
                       HoldingRebalancer* holding_rebalancer, Metrics* metrics,
                       std::function<Millis()> rights_until,
                       const Options& options)
    : loop_(loop),
      link_(link),
      members_(members),
      view_(view),
      executor_(executor),
      request_deduplicator_(request_deduplicator),
      holding_rebalancer_(holding_rebalancer),
      metrics_(metrics),
      rights_until_(std::move(rights_until)),
      options_(options),
      retry_budget_(options.retry_),
      random_(options.seed_) {
  link_->AddRequest(kHomePath, [this](const Json::Value& body,
                                      PeerLink::Responder respond) {
    const auto call = Call::FromJson(GetObject(body, "call"), MonotonicMs());
    HandleHome(RequireString(body, "shard"), call,
               [respond](const RequestReply& reply) {
                 Json::Value out;
                 out["status"] = reply.http_status_;
                 out["body"] = reply.body_;
                 respond(kHttpOk, out);
               });
  });
  link_->AddRequest(kExecutePath, [this](const Json::Value& body,
                                         PeerLink::Responder respond) {
    if (IsRepeatedExecution(RequireString(body, "execution"))) {
      throw Error(ErrorCode::kInProgress,
                  "this execution was asked for before");
    }
    ExecuteHere(Call::FromJson(body, MonotonicMs()),
                [respond](const CallOutcome& outcome) {
                  respond(kHttpOk, OutcomeToJson(outcome));
                });
  });
  link_->AddMethod("request_ended", [this](const Json::Value& params) {
    return OnRequestEnded(params);
  });
}

auto CallRouter::RightsUntilWall() const -> Millis {
  return WallMs() + (rights_until_() - MonotonicMs());
}

auto CallRouter::Route(const Call& call, Done done) -> void {
  metrics_->Add(Counter::kCallsAccepted);
  retry_budget_.OnFirstAttempt();
  ++open_routes_;
  auto counted = [this, done = std::move(done)](const RequestReply& reply) {
    --open_routes_;
    done(reply);
  };
  if (!call.is_idempotent_) {
    RouteHome(call, std::move(counted));
    return;
  }
  auto execution = std::make_shared<Execution>();
  execution->call_ = call;
  execution->done_ = [this, counted](const CallOutcome& outcome) {
    counted(Finish(outcome));
  };
  Execute(std::move(execution));
}

auto CallRouter::Finish(const CallOutcome& outcome) const -> RequestReply {
  switch (outcome.kind_) {
    case CallOutcome::Kind::kAnswered: {
      metrics_->Add(Counter::kCallsAnswered);
      Json::Value body;
      body["outcome"] = "answered";
      body["answer"] = outcome.answer_;
      body["worker"] = outcome.worker_;
      body["wait_ms"] = Json::Int64(outcome.wait_ms_);
      return {kHttpOk, DumpJson(body)};
    }
    case CallOutcome::Kind::kNotRun:
      metrics_->Add(Counter::kCallsNotRun);
      return MakeRefusalReply(outcome.code_, outcome.reason_);
    case CallOutcome::Kind::kUnknown:
      break;
  }
  metrics_->Add(Counter::kCallsUnknown);
  return MakeRefusalReply(ErrorCode::kOutcomeUnknown, outcome.reason_);
}

auto CallRouter::RouteHome(const Call& call, Done done) -> void {
  const auto shard = HomeShard(view_->ShardsOf(call.service_),
                               call.team_ + "/" + call.request_id_);
  const auto* record = view_->FindShard(shard);
  if (record == nullptr) {
    OnHomeRefused(call, std::move(done),
                  MakeRefusalReply(ErrorCode::kNotOwner,
                                   "no shard of the service is owned yet"));
    return;
  }
  auto on_reply = [this, call, done](const RequestReply& reply) {
    if (reply.http_status_ == GetErrorInfo(ErrorCode::kNotOwner).http_status_) {
      OnHomeRefused(call, done, reply);
    } else {
      done(reply);
    }
  };
  if (record->owner_ == options_.self_id_) {
    HandleHome(shard, call, std::move(on_reply));
    return;
  }
  metrics_->Add(Counter::kCallsForwarded);
  const auto now = MonotonicMs();
  Json::Value body;
  body["shard"] = shard;
  body["call"] = call.ToJson(now);
  const auto timeout = call.deadline_ms_ - now + 2 * kPeerGraceMs;
  const auto is_first = call.attempt_ == 1;
  link_->Ask(
      record->address_, kHomePath, body, timeout,
      [done, on_reply, is_first](const PeerAnswer& answer) {
        if (answer.is_ok_) {
          on_reply(
              {static_cast<int>(GetInt(answer.body_, "status", 500, 100, 599)),
               GetString(answer.body_, "body", "")});
          return;
        }
        const auto code = answer.is_not_sent_ && is_first
                              ? ErrorCode::kPeerUnavailable
                              : ErrorCode::kOutcomeUnknown;
        done(MakeRefusalReply(code, "the request's home did not answer"));
      });
}

// The home refused before it looked at the request: its shard is moving, or it
// has no authority. The call waits for the move; if that takes too long, only
// a first attempt is proved not to have run, since of a repeat the original
// may have.
auto CallRouter::OnHomeRefused(const Call& call, Done done,
                               const RequestReply& reply) -> void {
  const auto body = ParseJson(reply.body_);
  const auto code = ErrorCodeFromName(GetString(body, "code", ""));
  const auto is_moving = code == ErrorCode::kNotOwner;
  if (is_moving && MonotonicMs() + kMoveDelayMs < call.deadline_ms_) {
    RunAfter(loop_, kMoveDelayMs,
             [this, call, done = std::move(done)] { RouteHome(call, done); });
    return;
  }
  const auto is_repeat = call.attempt_ != 1 && code != ErrorCode::kNoRoom;
  done(is_repeat ? MakeRefusalReply(ErrorCode::kOutcomeUnknown,
                                    GetString(body, "reason", ""))
                 : reply);
}

auto CallRouter::HandleHome(const std::string& shard, const Call& call,
                            Done done) -> void {
  const RequestKey key{call.team_, call.request_id_};
  // A repeat waits for the original no longer than its own deadline.
  auto is_done = std::make_shared<bool>(false);
  auto once = [done = std::move(done), is_done](const RequestReply& reply) {
    if (!*is_done) {
      *is_done = true;
      done(reply);
    }
  };
  try {
    auto is_fresh = false;
    request_deduplicator_->Begin(shard, key, call.issued_ms_, WallMs(),
                                 RightsUntilWall(), once,
                                 [this, shard, call, once, &is_fresh] {
                                   is_fresh = true;
                                   RunAtHome(shard, call, once);
                                 });
    if (!is_fresh) {
      metrics_->Add(Counter::kCallsRepeated);
      RunAfter(loop_, std::max<Millis>(call.deadline_ms_ - MonotonicMs(), 0),
               [once] {
                 once(MakeRefusalReply(ErrorCode::kInProgress,
                                       "the original has not ended yet"));
               });
    }
  } catch (const Error& e) {
    once(MakeRefusalReply(e.code(), e.what()));
  }
}

auto CallRouter::RunAtHome(const std::string& shard, const Call& call,
                           const Done& done) -> void {
  const RequestKey key{call.team_, call.request_id_};
  auto execution = std::make_shared<Execution>();
  execution->call_ = call;
  execution->done_ = [this, shard, key, done](const CallOutcome& outcome) {
    const auto reply = Finish(outcome);
    if (outcome.kind_ == CallOutcome::Kind::kNotRun) {
      request_deduplicator_->Forget(shard, key, reply);
    } else if (!request_deduplicator_->End(shard, key, reply)) {
      moved_ends_.push_back({shard, key, reply, 0});
      Tick();
    }
    done(reply);
  };
  Execute(std::move(execution));
}

auto CallRouter::Candidates(const Call& call) -> std::vector<std::string> {
  struct Scored {
    std::string id_;
    bool is_far_ = false;
    bool is_useful_ = false;
    double order_ = 0;
  };
  const auto now = MonotonicMs();
  std::vector<Scored> scored;
  double near_queued = 0;
  double near_slots = 0;
  const auto own_loads = executor_->Loads();
  for (const auto* state : members_->Listed()) {
    const auto& id = state->record_.id_;
    const auto is_self = id == options_.self_id_;
    if (!is_self &&
        (!members_->IsReachable(id, now) || state->digest_.is_draining_)) {
      continue;
    }
    auto load = LoadOf(*state, call.service_);
    if (is_self) {
      MemberState self = *state;
      self.digest_.loads_ = own_loads;
      load = LoadOf(self, call.service_);
    }
    if (load.slots_ == 0) {
      continue;
    }
    const auto is_far = state->record_.region_ != options_.region_;
    if (!is_far) {
      near_queued += static_cast<double>(load.queued_);
      near_slots += static_cast<double>(load.slots_);
    }
    const auto held =
        holding_rebalancer_->HeldByMember(call.team_, call.service_, id);
    // Free room minus what waits; a loaded member keeps a small weight, so
    // that all are tried in the end.
    const auto room = static_cast<double>(load.free_slots_ - load.queued_);
    const auto weight = room > 0
                            ? room
                            : kLeastWeight * static_cast<double>(load.slots_) /
                                  static_cast<double>(1 + load.queued_);
    const auto uniform =
        std::uniform_real_distribution<double>(1e-9, 1.0)(random_);
    // Efraimidis and Spirakis: ordering by u^(1/w) draws by weight.
    scored.push_back({id, is_far, held > 0, std::pow(uniform, 1.0 / weight)});
  }
  const auto may_cross = near_slots == 0 || near_queued / near_slots >
                                                options_.cross_region_backlog_;
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    if (a.is_far_ != b.is_far_) {
      return b.is_far_;
    }
    if (a.is_useful_ != b.is_useful_) {
      return a.is_useful_;
    }
    return a.order_ > b.order_;
  });
  std::vector<std::string> out;
  for (const auto& item : scored) {
    if (!item.is_far_ || may_cross) {
      out.push_back(item.id_);
    }
  }
  return out;
}

auto CallRouter::Execute(std::shared_ptr<Execution> execution) -> void {
  const auto now = MonotonicMs();
  const auto& call = execution->call_;
  if (now >= call.deadline_ms_) {
    CallOutcome outcome;
    outcome.kind_ = CallOutcome::Kind::kNotRun;
    outcome.code_ = ErrorCode::kDeadlinePassed;
    outcome.reason_ = "no instance could start it before its deadline";
    execution->done_(FinalOutcome(outcome, execution->may_have_run_));
    return;
  }
  std::string target;
  for (const auto& id : Candidates(call)) {
    if (!execution->tried_.contains(id)) {
      target = id;
      break;
    }
  }
  if (target.empty()) {
    CallOutcome outcome;
    outcome.kind_ = CallOutcome::Kind::kNotRun;
    outcome.code_ = ErrorCode::kNoRoom;
    outcome.reason_ = "no instance has workers of the service";
    OnExecuted(execution, outcome);
    return;
  }
  ++execution->attempts_;
  execution->tried_.insert(target);
  const auto on_outcome = [this, execution](const CallOutcome& outcome) {
    OnExecuted(execution, outcome);
  };
  if (target == options_.self_id_) {
    ExecuteHere(call, on_outcome);
    return;
  }
  const auto* state = members_->Find(target);
  auto body = call.ToJson(now);
  body["execution"] =
      fmt::format("{}:{}", options_.self_id_, ++next_execution_);
  const auto is_far = state->record_.region_ != options_.region_;
  if (is_far) {
    metrics_->Add(Counter::kCrossRegionBytes,
                  static_cast<std::int64_t>(DumpJson(body).size()));
  }
  metrics_->Add(Counter::kCallsForwarded);
  link_->Ask(state->record_.address_, kExecutePath, body,
             call.deadline_ms_ - now + kPeerGraceMs,
             [on_outcome](const PeerAnswer& answer) {
               CallOutcome outcome;
               if (answer.is_ok_) {
                 outcome = OutcomeFromJson(answer.body_);
               } else if (answer.is_not_sent_) {
                 outcome.kind_ = CallOutcome::Kind::kNotRun;
                 outcome.code_ = ErrorCode::kPeerUnavailable;
                 outcome.reason_ = "the executing instance was not reached";
               } else {
                 outcome.reason_ = "the executing instance did not answer";
               }
               on_outcome(outcome);
             });
}

auto CallRouter::IsRepeatedExecution(const std::string& id) -> bool {
  if (!executions_.insert(id).second) {
    return true;
  }
  execution_ages_.push_back(id);
  if (execution_ages_.size() > kRememberedExecutions) {
    executions_.erase(execution_ages_.front());
    execution_ages_.pop_front();
  }
  return false;
}

auto CallRouter::OnExecuted(std::shared_ptr<Execution> execution,
                            const CallOutcome& outcome) -> void {
  const auto is_refused = outcome.kind_ == CallOutcome::Kind::kNotRun &&
                          GetErrorInfo(outcome.code_).can_retry_;
  const auto is_repeatable = outcome.kind_ == CallOutcome::Kind::kUnknown &&
                             execution->call_.is_idempotent_;
  execution->may_have_run_ |= outcome.kind_ == CallOutcome::Kind::kUnknown;
  const auto has_time = MonotonicMs() < execution->call_.deadline_ms_;
  const auto can_retry = (is_refused || is_repeatable) && has_time &&
                         execution->attempts_ < options_.attempts_;
  if (!can_retry) {
    execution->done_(FinalOutcome(outcome, execution->may_have_run_));
    return;
  }
  if (!retry_budget_.TryTake()) {
    metrics_->Add(Counter::kRetriesDenied);
    execution->done_(FinalOutcome(outcome, execution->may_have_run_));
    return;
  }
  metrics_->Add(Counter::kRetries);
  if (execution->tried_.size() >= members_->Listed().size()) {
    execution->tried_.clear();
  }
  RunAfter(loop_, kRetryDelayMs, [this, execution] { Execute(execution); });
}

auto CallRouter::ExecuteHere(const Call& call,
                             std::function<void(const CallOutcome&)> done)
    -> void {
  const auto now = MonotonicMs();
  Work work;
  work.service_ = call.service_;
  work.item_.key_ = fmt::format("c:{}:{}", options_.self_id_, ++next_call_);
  work.item_.lane_ = call.is_urgent_ ? Lane::kUrgent : Lane::kCall;
  work.item_.team_ = call.team_;
  work.item_.need_ = call.need_;
  work.item_.group_ = call.team_ + "/" + call.work_class_;
  work.item_.enqueued_ms_ = now;
  work.item_.deadline_ms_ = call.deadline_ms_;
  work.work_class_ = call.work_class_;
  work.payload_ = call.payload_;
  work.payload_["request_id"] = call.request_id_;
  work.payload_["team"] = call.team_;
  work.kind_ = CallWork{call.is_idempotent_, done};
  try {
    executor_->Submit(std::move(work));
  } catch (const Error& e) {
    CallOutcome outcome;
    outcome.kind_ = CallOutcome::Kind::kNotRun;
    outcome.code_ = e.code();
    outcome.reason_ = e.what();
    done(outcome);
  }
}

auto CallRouter::Tick() -> void {
  auto ends = std::move(moved_ends_);
  moved_ends_.clear();
  for (auto& end : ends) {
    const auto* record = view_->FindShard(end.shard_);
    if (record == nullptr || end.sent_ >= kMovedEndSends) {
      continue;
    }
    ++end.sent_;
    Json::Value params;
    params["shard"] = end.shard_;
    params["team"] = end.key_.team_;
    params["id"] = end.key_.request_id_;
    params["status"] = end.reply_.http_status_;
    params["body"] = end.reply_.body_;
    link_->Call(record->address_, "request_ended", params,
                [this, end](const PeerAnswer& answer) {
                  if (!answer.is_ok_) {
                    moved_ends_.push_back(end);
                  }
                });
  }
}

auto CallRouter::OnRequestEnded(const Json::Value& params) -> Json::Value {
  const auto shard = RequireString(params, "shard");
  const RequestKey key{RequireString(params, "team"),
                       RequireString(params, "id")};
  const RequestReply reply{
      static_cast<int>(RequireInt(params, "status", 100, 599)),
      GetString(params, "body", "")};
  if (!request_deduplicator_->End(shard, key, reply)) {
    throw Error(ErrorCode::kNotOwner, "shard " + shard + " is not here");
  }
  return Json::Value(Json::objectValue);
}

}  // namespace lentilscale
