// Every request passes the same filters: parse, authenticate, admit; what is
// refused here has started nothing. A key is looked up in the configuration,
// which must have been confirmed lately: an instance that cannot know whether
// a key was withdrawn does not take it.

#include "lentilscale/api.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/node.h"

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr Millis kDefaultDeadlineMs = 10000;
constexpr Millis kJobTimeoutMs = 9000;
constexpr std::size_t kMaxRequestIdLength = 128;

auto SplitPath(const std::string& path) -> std::vector<std::string> {
  std::vector<std::string> out;
  std::size_t start = 1;
  while (start <= path.size()) {
    const auto end = std::min(path.find('/', start), path.size());
    out.push_back(path.substr(start, end - start));
    start = end + 1;
  }
  return out;
}

auto ParseNumber(const std::string& text) -> std::int64_t {
  std::int64_t number = 0;
  const auto* end = text.data() + text.size();
  if (std::from_chars(text.data(), end, number).ptr != end || text.empty()) {
    throw Error(ErrorCode::kBadRequest, "'" + text + "' is not a number");
  }
  return number;
}

auto SendJson(const std::shared_ptr<HttpReply>& reply, int status,
              const Json::Value& body) -> void {
  reply->Send(status, DumpJson(body) + "\n");
}

auto SendRefusal(const std::shared_ptr<HttpReply>& reply, ErrorCode code,
                 const std::string& reason) -> void {
  const auto refusal = MakeRefusalReply(code, reason);
  reply->Send(refusal.http_status_, refusal.body_ + "\n");
}

}  // namespace

auto Api::Serve(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
    -> void {
  try {
    if (request.has_duplicate_header_) {
      throw Error(ErrorCode::kBadRequest, "a header came twice");
    }
    if (!ServeProbe(request, reply)) {
      Dispatch(request, SplitPath(request.path_), reply);
    }
  } catch (const Error& e) {
    SendRefusal(reply, e.code(), e.what());
  } catch (const std::exception& e) {
    LogEvent(Event::kInternalError, {{"problem", e.what()}});
    SendRefusal(reply, ErrorCode::kInternal, "internal error");
  }
}

auto Api::ServeProbe(const HttpRequest& request, const Reply& reply) -> bool {
  if (request.path_ == "/healthz") {
    reply->Send(kHttpOk, "ok\n", "text/plain");
    return true;
  }
  if (request.path_ == "/readyz") {
    const auto is_ready = node_->phase_ == Node::Phase::kRunning &&
                          node_->configuration_.number_ > 0 &&
                          node_->authority_.RightsUntil() > MonotonicMs();
    reply->Send(is_ready ? kHttpOk : 503, is_ready ? "ready\n" : "not ready\n",
                "text/plain");
    return true;
  }
  if (request.path_ == "/metrics") {
    reply->Send(kHttpOk, node_->metrics_.Text(), "text/plain");
    return true;
  }
  return false;
}

auto Api::Dispatch(const HttpRequest& request, const Path& path, Reply reply)
    -> void {
  const auto is_v1 = path.size() >= 2 && path[0] == "v1";
  const auto is_post = request.method_ == "POST";
  const auto& what = is_v1 ? path[1] : path[0];
  const auto is_call =
      is_v1 && path.size() == 4 && path[3] == "calls" && is_post;
  if (is_call && what == "services") {
    ServeCall(request, path[2], Authenticate(request), std::move(reply));
  } else if (is_call && what == "queues") {
    ServeQueueCall(request, path[2], std::move(reply));
  } else if (is_v1 && what == "jobs") {
    ServeJobs(request, path, std::move(reply));
  } else if (is_v1 && what == "explain") {
    ServeExplain(request, std::move(reply));
  } else if (is_v1 && what == "tickets") {
    RequireOperator(request);
    ServeTickets(request, path, std::move(reply));
  } else if (is_v1 && what == "audit") {
    RequireOperator(request);
    node_->tickets_->Audit([reply](int status, const Json::Value& body) {
      SendJson(reply, status, body);
    });
  } else if (is_v1 && what == "status") {
    RequireOperator(request);
    ServeStatus(std::move(reply));
  } else {
    throw Error(ErrorCode::kNotFound, "no such path or method");
  }
}

auto Api::RequireFreshConfiguration() const -> void {
  if (node_->configuration_.number_ == 0) {
    throw Error(ErrorCode::kNoConfiguration, "no ticket has been accepted yet");
  }
  const auto age = MonotonicMs() - node_->authority_.ConfigurationConfirmedAt();
  if (age > node_->settings_.key_stale_ms_) {
    throw Error(ErrorCode::kNoAuthority,
                "the configuration here may be out of date");
  }
}

auto Api::Authenticate(const HttpRequest& request) const -> std::string {
  if (request.bearer_.empty()) {
    throw Error(ErrorCode::kNoKey, "an Authorization: Bearer key is needed");
  }
  RequireFreshConfiguration();
  const auto* team = node_->configuration_.FindTeamByKey(request.bearer_);
  if (team == nullptr) {
    throw Error(ErrorCode::kBadKey, "the key is not valid");
  }
  return team->name_;
}

auto Api::RequireOperator(const HttpRequest& request) const -> void {
  const auto& expected = node_->settings_.operator_key_sha256_;
  const auto is_operator =
      !expected.empty() && Sha256Hex(request.bearer_) == expected;
  if (!is_operator) {
    throw Error(ErrorCode::kForbidden, "the operators' key is needed");
  }
}

auto Api::ReadCall(const HttpRequest& request, const std::string& service,
                   const std::string& team) const -> Call {
  const auto& configuration = node_->configuration_;
  const auto* found = configuration.FindService(service);
  if (found == nullptr) {
    throw Error(ErrorCode::kUnknownService, "no service " + service);
  }
  const auto body = ParseJson(request.body_);
  const auto now = MonotonicMs();
  Call call;
  call.team_ = team;
  call.service_ = service;
  call.request_id_ = GetString(body, "request_id", "");
  call.is_idempotent_ = GetBool(body, "idempotent", true);
  call.is_urgent_ = GetBool(body, "urgent", false);
  call.issued_ms_ = GetInt(body, "issued_ms", 0, 0, INT64_MAX);
  call.attempt_ = GetInt(body, "attempt", 0, 0, INT64_MAX);
  const auto deadline = GetInt(body, "deadline_ms", kDefaultDeadlineMs,
                               INT64_MIN, node_->settings_.max_deadline_ms_);
  if (deadline <= 0) {
    throw Error(ErrorCode::kDeadlinePassed, "the deadline has passed");
  }
  call.deadline_ms_ = now + deadline;
  call.work_class_ = GetString(body, "class", "call");
  call.need_ = body.isMember("need")
                   ? Resources::FromJson(GetObject(body, "need"), 1)
                   : found->call_need_;
  if (call.need_.slots_ < 1) {
    throw Error(ErrorCode::kBadRequest, "'slots' must be at least 1");
  }
  call.payload_ = GetObject(body, "work");
  if (call.request_id_.size() > kMaxRequestIdLength) {
    throw Error(ErrorCode::kBadRequest, "'request_id' is too long");
  }
  if (!call.is_idempotent_) {
    RequireString(body, "request_id");
    RequireInt(body, "issued_ms", 1, INT64_MAX);
  }
  return call;
}

auto Api::ServeCall(const HttpRequest& request, const std::string& service,
                    const std::string& team, Reply reply) -> void {
  const auto call = ReadCall(request, service, team);
  node_->router_->Route(call, [reply](const RequestReply& answer) {
    reply->Send(answer.http_status_, answer.body_ + "\n");
  });
}

auto Api::ServeQueueCall(const HttpRequest& request, const std::string& queue,
                         Reply reply) -> void {
  RequireFreshConfiguration();
  const auto* found = node_->configuration_.FindQueue(queue);
  if (found == nullptr) {
    throw Error(ErrorCode::kNotFound, "no open queue " + queue);
  }
  auto* scheduler = node_->executor_->FindScheduler(found->service_);
  const auto waiting =
      scheduler == nullptr ? 0 : scheduler->QueueSize(found->team_);
  if (waiting >= node_->settings_.open_queue_) {
    throw Error(ErrorCode::kQueueFull, "the open queue is full");
  }
  ServeCall(request, found->service_, found->team_, std::move(reply));
}

auto Api::AskKeeper(const std::string& job, Json::Value body, Reply reply)
    -> void {
  // A job's home shard follows from its id; the owner of the home shard of a
  // job that was submitted under another set of shards is found through the
  // store.
  const auto service = GetString(body, "service", "");
  const auto home = HomeShard(node_->view_->ShardsOf(service), "job/" + job);
  const auto send = [this, reply](const std::string& shard,
                                  const Json::Value& request) {
    const auto* record = node_->view_->FindShard(shard);
    if (record == nullptr) {
      SendRefusal(reply, ErrorCode::kNotOwner, "no shard is owned yet");
      return;
    }
    node_->link_->Ask(
        record->address_, "/peer/v1/jobs", request, kJobTimeoutMs,
        [reply](const PeerAnswer& answer) {
          if (answer.http_status_ != 0 && !answer.body_.isNull()) {
            SendJson(reply, answer.http_status_, answer.body_);
          } else if (answer.is_not_sent_) {
            SendRefusal(reply, ErrorCode::kPeerUnavailable,
                        "the job's keeper was not reached");
          } else {
            SendRefusal(reply, ErrorCode::kOutcomeUnknown,
                        "the job's keeper did not answer; "
                        "repeat the request");
          }
        });
  };
  if (body["op"] == "submit") {
    body["home"] = home;
    send(home, body);
    return;
  }
  StoreTxn txn;
  txn.Get(JobKey(job));
  node_->store_->Commit(
      txn, [send, body, job, reply](const StoreResult& result) {
        if (result.outcome_ != StoreOutcome::kAnswered) {
          SendRefusal(reply, ErrorCode::kStoreUnavailable, "no answer");
          return;
        }
        const auto* entry = result.Find(JobKey(job));
        if (entry == nullptr) {
          SendRefusal(reply, ErrorCode::kUnknownJob, "no job " + job);
          return;
        }
        send(ParseJson(entry->value_)["home"].asString(), body);
      });
}

auto Api::ListJobs(const std::string& team, Reply reply) -> void {
  struct Gathered {
    Json::Value jobs_{Json::arrayValue};
    std::size_t left_ = 0;
  };
  auto gathered = std::make_shared<Gathered>();
  std::set<std::string> owners;
  for (const auto& [shard, record] : node_->view_->shards()) {
    owners.insert(record.address_);
  }
  gathered->left_ = owners.size();
  Json::Value body;
  body["op"] = "list";
  body["team"] = team;
  const auto finish = [gathered, reply] {
    Json::Value out;
    out["jobs"] = gathered->jobs_;
    SendJson(reply, kHttpOk, out);
  };
  if (owners.empty()) {
    finish();
  }
  for (const auto& owner : owners) {
    node_->link_->Ask(owner, "/peer/v1/jobs", body, kJobTimeoutMs,
                      [gathered, finish](const PeerAnswer& answer) {
                        if (answer.is_ok_) {
                          for (const auto& job : answer.body_["jobs"]) {
                            gathered->jobs_.append(job);
                          }
                        }
                        if (--gathered->left_ == 0) {
                          finish();
                        }
                      });
  }
}

auto Api::ServeJobs(const HttpRequest& request, const Path& path, Reply reply)
    -> void {
  const auto team = Authenticate(request);
  Json::Value body;
  body["team"] = team;
  if (path.size() == 2 && request.method_ == "POST") {
    auto object = ParseJson(request.body_);
    object["team"] = team;
    const auto spec = JobSpec::FromJson(object);
    if (node_->configuration_.FindService(spec.service_) == nullptr) {
      throw Error(ErrorCode::kUnknownService, "no service " + spec.service_);
    }
    body["op"] = "submit";
    body["service"] = spec.service_;
    body["spec"] = spec.ToJson();
    AskKeeper(spec.id_, body, std::move(reply));
  } else if (path.size() == 2 && request.method_ == "GET") {
    ListJobs(team, std::move(reply));
  } else if (path.size() == 3 && request.method_ == "GET") {
    body["op"] = "show";
    body["job_id"] = path[2];
    AskKeeper(path[2], body, std::move(reply));
  } else if (path.size() == 3 && request.method_ == "DELETE") {
    body["op"] = "cancel";
    body["job_id"] = path[2];
    AskKeeper(path[2], body, std::move(reply));
  } else {
    throw Error(ErrorCode::kNotFound, "no such path or method");
  }
}

auto Api::ServeExplain(const HttpRequest& request, Reply reply) -> void {
  const auto team = Authenticate(request);
  const auto service = request.QueryParam("service", "");
  const auto key = request.QueryParam("task", "");
  Json::Value body;
  if (!key.empty()) {
    const auto text = node_->executor_->Explain(key);
    body["task"] = key;
    body["explanation"] = text.empty() ? "it is not on this instance" : text;
    SendJson(reply, kHttpOk, body);
    return;
  }
  Call call;
  call.team_ = team;
  call.service_ = service;
  body["service"] = service;
  for (const auto& id : node_->router_->Candidates(call)) {
    Json::Value item;
    item["member"] = id;
    item["address"] = node_->members_.Find(id)->record_.address_;
    item["held"] = Json::Int64(
        node_->holding_rebalancer_->HeldByMember(team, service, id));
    body["order"].append(item);
  }
  if (auto* scheduler = node_->executor_->FindScheduler(service)) {
    for (const auto& load : scheduler->TeamLoads(MonotonicMs())) {
      if (load.team_ != team) {
        continue;
      }
      body["here"]["running"] = Json::Int64(load.running_count_);
      body["here"]["waiting"] = Json::Int64(load.waiting_count_);
      body["here"]["share_in_use"] = load.share_in_use_;
      body["here"]["share_entitled"] = load.entitled_share_;
    }
  }
  SendJson(reply, kHttpOk, body);
}

auto Api::ServeTickets(const HttpRequest& request, const Path& path,
                       Reply reply) -> void {
  const auto done = [reply](int status, const Json::Value& body) {
    SendJson(reply, status, body);
  };
  const auto is_post = request.method_ == "POST";
  if (is_post && path.size() == 2) {
    node_->tickets_->Submit(Ticket::FromJson(ParseJson(request.body_)), done);
  } else if (is_post && path.size() == 3 && path[2] == "check") {
    done(kHttpOk,
         node_->tickets_->Check(Ticket::FromJson(ParseJson(request.body_))));
  } else if (path.size() == 3 && path[2] == "head") {
    done(kHttpOk, node_->configuration_.ToJson());
  } else if (path.size() == 3) {
    node_->tickets_->Show(ParseNumber(path[2]), done);
  } else if (path.size() == 4 && path[3] == "in_force") {
    ServeInForce(ParseNumber(path[2]), std::move(reply));
  } else {
    throw Error(ErrorCode::kNotFound, "no such path or method");
  }
}

// A ticket is in force when every member that could still take work has
// applied it: those that the store lists, and those that it listed until
// lately, whose rights may not have lapsed.
auto Api::ServeInForce(std::int64_t number, Reply reply) -> void {
  const auto now = MonotonicMs();
  const auto bound =
      node_->settings_.key_stale_ms_ + node_->settings_.member_lease_s_ * 1000;
  Json::Value waiting(Json::arrayValue);
  if (node_->configuration_.number_ < number) {
    waiting.append(node_->id_);
  }
  for (const auto* state : node_->members_.Others()) {
    const auto may_act =
        state->is_listed_ || now - state->missing_since_ms_ <= bound;
    if (may_act && state->digest_.ticket_ < number) {
      waiting.append(state->record_.id_);
    }
  }
  for (const auto& team : node_->holding_rebalancer_->TeamsOverLimit()) {
    waiting.append("team " + team);
  }
  Json::Value body;
  body["number"] = Json::Int64(number);
  body["in_force"] = waiting.empty();
  body["waiting_for"] = waiting;
  SendJson(reply, kHttpOk, body);
}

auto Api::ServeStatus(Reply reply) -> void {
  const auto now = MonotonicMs();
  Json::Value body;
  body["id"] = node_->id_;
  body["ticket"] = Json::Int64(node_->configuration_.number_);
  body["rights_left_ms"] =
      Json::Int64(std::max<Millis>(node_->authority_.RightsUntil() - now, 0));
  body["store"] = node_->HasStore(now);
  body["jobs"] = Json::UInt64(node_->job_controller_->size());
  for (const auto* state : node_->members_.Listed()) {
    Json::Value member;
    member["id"] = state->record_.id_;
    member["address"] = state->record_.address_;
    member["data_centre"] = state->record_.data_centre_;
    member["region"] = state->record_.region_;
    member["ticket"] = Json::Int64(state->digest_.ticket_);
    member["reachable"] = node_->members_.IsReachable(state->record_.id_, now);
    body["members"].append(member);
  }
  for (const auto& [shard, record] : node_->view_->shards()) {
    Json::Value item;
    item["shard"] = shard;
    item["owner"] = record.owner_;
    item["epoch"] = Json::Int64(record.epoch_);
    body["shards"].append(item);
  }
  for (const auto& [service, scheduler] : node_->executor_->schedulers()) {
    Json::Value item;
    item["service"] = service;
    item["free_slots"] = Json::Int64(scheduler->FreeSlots());
    item["slots"] = Json::Int64(scheduler->OpenCapacity().slots_);
    item["queued"] = Json::Int64(scheduler->QueueSize());
    body["services"].append(item);
  }
  SendJson(reply, kHttpOk, body);
}

}  // namespace lentilscale
