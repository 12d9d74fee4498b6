// Everything runs on one event loop. The dispatcher is created when this
// instance wins the election and destroyed when it is deposed. None of its
// state is kept: the next owner rebuilds it from the store and the workers.

#include "fleet/fleet_node.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/shard_map.h"

namespace lentilscale::fleet {
namespace {

// Path under which the peer listener serves metrics.
constexpr const char* kMetricsPath = "/metrics";
// Interval between the reports that an instance sends to the owner.
constexpr Millis kReportIntervalMs = 300;
constexpr double kPerMille = 1000;
// An owner that has answered no report for this long (several intervals)
// counts as unresponsive.
constexpr Millis kOwnerSilenceTimeoutMs = 1200;
// If the owner and the store stop answering within this time of each other, the
// same cause is assumed.
constexpr Millis kCommonCauseWindowMs = 1000;
// An instance can be chosen as successor if its latest report is younger
// than this.
constexpr Millis kMaxCandidateReportAgeMs = 900;
// Time that the chosen successor has to claim before this instance revokes its
// lease.
constexpr Millis kHandOverTimeoutMs = 1200;
// Time after the termination signal during which connections are still
// accepted: the load balancer needs two readiness probes, one second apart, to
// send new connections elsewhere.
constexpr Millis kStopAcceptingDelayMs = 3000;
// From this time on, clients leave with their next answer: a request that meets
// the closing of its connection has to be sent again.
constexpr Millis kCloseAfterAnswersDelayMs = 2300;
constexpr Millis kDrainPollIntervalMs = 50;
constexpr Millis kLeaseReportRetryMs = 100;
constexpr Millis kResignationRetryMs = 200;
constexpr int kMaxLeaseReportAttempts = 5;
// Time reserved between the last answers and the platform's kill.
constexpr Millis kExitMarginMs = 700;
// The part of it in which these answers may still be written.
constexpr Millis kLastAnswersMs = 300;

auto SplitAddress(const std::string& address) -> std::pair<std::string, int> {
  const auto colon = address.rfind(':');
  if (colon == std::string::npos) {
    return {address, 0};
  }
  return {address.substr(0, colon), std::atoi(address.c_str() + colon + 1)};
}

}  // namespace

FleetNode::FleetNode(uv_loop_t* loop, const FleetNodeOptions& options,
                     const FleetNodeDependencies& dependencies)
    : loop_(loop),
      options_(options),
      dependencies_(dependencies),
      peer_client_(dependencies.http_client_),
      advice_balancer_(
          dependencies.advice_gateway_,
          [this](const std::string& address, const AdviceRequest& request,
                 AdviceGateway::Callback callback) {
            peer_client_.RequestAdvice(address, request, std::move(callback));
          }),
      admission_(StableHash(options.instance_name_)),
      loop_monitor_(loop),
      config_poller_(dependencies.http_client_),
      config_feed_(loop),
      config_relays_(options.region_) {}

FleetNode::~FleetNode() { *is_alive_ = false; }

auto FleetNode::Create(uv_loop_t* loop, const FleetNodeOptions& options,
                       const FleetNodeDependencies& dependencies)
    -> absl::StatusOr<std::unique_ptr<FleetNode>> {
  auto node =
      std::unique_ptr<FleetNode>(new FleetNode(loop, options, dependencies));
  auto* raw = node.get();
  node->config_watcher_ = std::make_unique<ConfigWatcher>(
      loop, dependencies.store_, options.configuration_key_,
      dependencies.parse_configuration_, node->MakeConfigPeers());
  node->client_api_ = std::make_unique<ClientApi>(
      loop, dependencies.store_, node->config_watcher_.get(),
      dependencies.client_api_codec_, node->MakeOwnerClient(),
      options.max_config_age_ms_, &node->admission_, &node->metrics_);
  const auto status = node->Listen();
  if (!status.ok()) {
    return status;
  }
  node->election_ = std::make_unique<Election>(
      loop, dependencies.store_,
      Election::Options{options.instance_name_, options.peer_address_,
                        options.owner_lease_ttl_ms_, options.processor_cores_},
      Election::Hooks{
          [raw](const OwnerClaim& claim) { raw->OnElected(claim); },
          [raw](const std::string& /*reason*/) { raw->OnDeposed(); },
          [raw] { raw->OnOwnerChanged(); }});
  node->report_timer_ =
      std::make_unique<RepeatingTimer>(loop, kReportIntervalMs, [raw] {
        raw->SendReport();
        raw->UpdateConfigSources();
      });
  return node;
}

auto FleetNode::Listen() -> absl::Status {
  HttpLimits limits;
  const auto [client_ip, client_port] = SplitAddress(options_.client_address_);
  auto clients = HttpServer::Listen(
      loop_, client_ip, client_port, limits,
      [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        client_api_->Handle(request, std::move(reply));
      });
  if (!clients.ok()) {
    return clients.status();
  }
  client_server_ = *std::move(clients);
  const auto [peer_ip, peer_port] = SplitAddress(options_.peer_address_);
  auto peers = HttpServer::Listen(
      loop_, peer_ip, peer_port, limits,
      [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        HandlePeerRequest(request, reply);
      });
  if (!peers.ok()) {
    return peers.status();
  }
  peer_server_ = *std::move(peers);
  if (!options_.readiness_address_.empty()) {
    const auto [ip, port] = SplitAddress(options_.readiness_address_);
    auto readiness = HttpServer::Listen(
        loop_, ip, port, limits,
        [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
          HandleReadiness(request, reply);
        });
    if (!readiness.ok()) {
      return readiness.status();
    }
    readiness_server_ = *std::move(readiness);
  }
  LogEvent(Event::kListening, {{"clients", options_.client_address_},
                               {"peers", options_.peer_address_},
                               {"readiness", options_.readiness_address_}});
  return absl::OkStatus();
}

auto FleetNode::HandleReadiness(const HttpRequest& request,
                                const std::shared_ptr<HttpReply>& reply)
    -> void {
  if (request.path_ != options_.readiness_path_) {
    reply->Send(404, "{}");
    return;
  }
  const auto is_ready = !is_draining_ && client_api_->IsReady();
  reply->Send(is_ready ? 200 : 503, "{}");
}

auto FleetNode::MetricsText() -> std::string {
  std::map<std::string, std::int64_t> gauges;
  gauges["configuration_age_ms"] = config_watcher_->AgeMs();
  gauges["store_age_ms"] = election_->StoreAgeMs();
  gauges["expected_wait_ms"] = admission_.LongestWaitMs(BootMs());
  gauges["admitted_permille"] =
      std::llround(kPerMille * admission_.SmallestShare(BootMs()));
  gauges["is_owner"] = dispatcher_ == nullptr ? 0 : 1;
  gauges["has_rights"] = election_->HasRights() ? 1 : 0;
  if (dispatcher_ != nullptr) {
    gauges["epoch"] = dispatcher_->token();
    gauges["workers"] = static_cast<std::int64_t>(dispatcher_->worker_count());
    gauges["running"] = static_cast<std::int64_t>(dispatcher_->running_count());
    gauges["waiting_steps"] =
        static_cast<std::int64_t>(dispatcher_->waiting_count());
  }
  return metrics_.ToPrometheusText(gauges) + loop_monitor_.ToPrometheusText();
}

auto FleetNode::MakeOwnerClient() -> OwnerClient {
  return {[this](const JobRecord& job, std::int64_t revision) {
            if (dispatcher_ != nullptr) {
              dispatcher_->AddJob(job, revision);
            } else if (!election_->owner().address_.empty()) {
              peer_client_.NotifyJob(election_->owner().address_, job,
                                     revision);
            }
          },
          [this](const std::string& id) {
            if (dispatcher_ != nullptr) {
              dispatcher_->CancelJob(id);
            } else if (!election_->owner().address_.empty()) {
              peer_client_.NotifyCancel(election_->owner().address_, id);
            }
          },
          [this](const std::string& id,
                 std::function<void(std::optional<JobState>)> callback) {
            if (dispatcher_ != nullptr) {
              callback(dispatcher_->GetJobState(id));
            } else if (!election_->owner().address_.empty()) {
              peer_client_.QueryState(election_->owner().address_, id,
                                      std::move(callback));
            } else {
              callback(std::nullopt);
            }
          },
          [this](const std::string& queue,
                 std::function<void(std::optional<std::int64_t>)> callback) {
            if (dispatcher_ != nullptr) {
              callback(dispatcher_->CountQueuedJobs(queue));
            } else if (!election_->owner().address_.empty()) {
              peer_client_.QueryPending(election_->owner().address_, queue,
                                        std::move(callback));
            } else {
              callback(std::nullopt);
            }
          },
          [this](Millis since_ms) { return HasStoreAnsweredOthers(since_ms); }};
}

auto FleetNode::OnElected(const OwnerClaim& claim) -> void {
  admission_.Forget();
  DispatcherHooks hooks;
  hooks.has_rights_ = [this] { return election_->HasRights(); };
  hooks.step_down_ = [this](const std::string& reason) {
    election_->StepDown(reason);
  };
  hooks.config_ = [this] { return config_watcher_->current(); };
  hooks.parse_worker_ = dependencies_.parse_worker_;
  hooks.bound_unconfirmed_rights_ = [this, claim](const OwnerIdentity& owner) {
    return BoundUnconfirmedRights(owner, claim);
  };
  hooks.on_sole_rights_recorded_ = [this] {
    election_->AllowUnconfirmedRights();
  };
  dispatcher_ = std::make_unique<Dispatcher>(
      loop_, dependencies_.store_, dependencies_.worker_gateway_,
      &advice_balancer_, &metrics_, claim, options_.dispatcher_,
      std::move(hooks));
  if (const auto& previous = election_->previous_owner();
      previous.epoch_ + 1 == claim.epoch_) {
    RequestResignation({previous.epoch_, previous.instance_, previous.address_},
                       claim.epoch_);
  }
}

auto FleetNode::BoundUnconfirmedRights(const OwnerIdentity& owner,
                                       const OwnerClaim& claim) -> Millis {
  if (owner.instance_ == options_.instance_name_) {
    return 0;
  }
  if (election_->previous_owner().epoch_ != owner.epoch_) {
    RequestResignation(owner, claim.epoch_);
  }
  return election_->predecessor_rights().UnconfirmedEndMs(owner.epoch_,
                                                          claim.claimed_ms_);
}

// The former owner may not have learned of the claim, and its process may have
// ended without giving up its rights. If the process was started again
// meanwhile, the new one has none.
auto FleetNode::RequestResignation(const OwnerIdentity& former,
                                   std::int64_t epoch) -> void {
  if (dispatcher_ == nullptr || dispatcher_->token() != epoch) {
    return;
  }
  if (former.instance_ == options_.instance_name_) {
    // The former owner was this process, or an earlier one of this instance.
    dispatcher_->OnResigned(former.epoch_);
    if (ended_term_.epoch_ == former.epoch_ && former.epoch_ + 1 == epoch) {
      dispatcher_->ApplyLeaseExpiries(
          std::exchange(ended_term_, EndedTerm{}).expiries_);
    }
    return;
  }
  if (BootMs() > dispatcher_->PreviousRightsEndMs()) {
    return;
  }
  peer_client_.RequestResignation(
      former.address_, former.instance_, epoch,
      [this, former, epoch, alive = is_alive_](bool has_no_rights) {
        if (!*alive) {
          return;
        }
        if (!has_no_rights) {
          RunAfter(loop_, kResignationRetryMs, [this, former, epoch, alive] {
            if (*alive) {
              RequestResignation(former, epoch);
            }
          });
        } else if (dispatcher_ != nullptr && dispatcher_->token() == epoch) {
          dispatcher_->OnResigned(former.epoch_);
        }
      });
}

// An instance that reports to this owner has seen its claim, so it has given up
// its own ownership; a process that was started since has had none.
auto FleetNode::OnReportFrom(const std::string& instance) -> void {
  if (const auto& previous = election_->previous_owner();
      previous.instance_ == instance) {
    dispatcher_->OnResigned(previous.epoch_);
  }
  if (const auto& former = dispatcher_->last_sole_owner();
      former.instance_ == instance) {
    dispatcher_->OnResigned(former.epoch_);
  }
}

auto FleetNode::OnDeposed() -> void {
  if (dispatcher_ != nullptr) {
    ended_term_ = {dispatcher_->token(), dispatcher_->LeaseExpiries()};
    dispatcher_.reset();
  }
  SendLeaseExpiries(kMaxLeaseReportAttempts);
}

auto FleetNode::OnOwnerChanged() -> void {
  owner_connection_refusals_ = 0;
  admission_.Forget();
  if (election_ != nullptr && election_->owner().address_.empty()) {
    admission_.OnOwnerAbsent(BootMs());
  } else {
    admission_.OnOwnerPresent();
  }
  SendLeaseExpiries(kMaxLeaseReportAttempts);
  // The sooner the owner answers a report, the sooner this instance can bound
  // its rights.
  if (election_ != nullptr) {
    SendReport();
  }
}

// Only the next owner can use the report: a later one must allow for what that
// owner granted.
auto FleetNode::SendLeaseExpiries(int attempts) -> void {
  if (dispatcher_ != nullptr || ended_term_.expiries_.empty() ||
      attempts == 0) {
    return;
  }
  const auto& owner = election_->owner();
  if (owner.address_.empty() || owner.epoch_ != ended_term_.epoch_ + 1) {
    return;
  }
  LeaseExpiryReport report;
  report.epoch_ = ended_term_.epoch_;
  const auto now = BootMs();
  for (const auto& [worker, expiry_ms] : ended_term_.expiries_) {
    report.left_ms_[worker] = std::max<Millis>(0, expiry_ms - now);
  }
  peer_client_.SendLeaseExpiries(
      owner.address_, report, [this, attempts](bool is_received) {
        if (is_received) {
          ended_term_ = {};
          return;
        }
        // The new owner may not know yet that its claim succeeded.
        RunAfter(loop_, kLeaseReportRetryMs,
                 [this, attempts, alive = is_alive_] {
                   if (*alive) {
                     SendLeaseExpiries(attempts - 1);
                   }
                 });
      });
}

auto FleetNode::ApplyLeaseExpiries(const Json::Value& body) -> void {
  const auto epoch = RequireInt(body, "epoch", 0, INT64_MAX);
  const auto left = GetObject(body, "left_ms");
  if (epoch + 1 != dispatcher_->token()) {
    return;
  }
  const auto now = BootMs();
  std::map<std::string, Millis> expiries;
  for (const auto& worker : left.getMemberNames()) {
    expiries[worker] = now + RequireInt(left, worker.c_str(), 0, INT32_MAX);
  }
  LogEvent(Event::kFleetLeasesReported,
           {{"epoch", std::to_string(epoch)},
            {"workers", std::to_string(expiries.size())}});
  dispatcher_->ApplyLeaseExpiries(expiries);
}

auto FleetNode::HasStoreAnsweredOthers(Millis since_ms) const -> bool {
  if (election_->IsOwner()) {
    return election_->HasStoreAnsweredPeers(since_ms);
  }
  const auto now = BootMs();
  if (now - owner_answered_ms_ < kOwnerSilenceTimeoutMs) {
    return owner_store_answered_ms_ > since_ms;
  }
  // If the owner and the store stopped answering together, this instance is
  // probably partitioned from both, unless the owner's process is known to be
  // dead.
  const auto store_answered_ms = now - election_->StoreAgeMs();
  return owner_connection_refusals_ == 0 && owner_answered_ms_ != 0 &&
         std::abs(store_answered_ms - owner_answered_ms_) <
             kCommonCauseWindowMs;
}

auto FleetNode::HandlePeerRequest(const HttpRequest& request,
                                  const std::shared_ptr<HttpReply>& reply)
    -> void {
  if (request.path_ == kMetricsPath) {
    reply->Send(200, MetricsText(), "text/plain; version=0.0.4");
    return;
  }
  try {
    const auto body = ParseJson(request.body_);
    Json::Value answer(Json::objectValue);
    if (request.path_ == "/peer/advise") {
      std::vector<std::string> workers;
      for (const auto& worker : GetArray(body, "workers")) {
        workers.push_back(worker.asString());
      }
      dependencies_.advice_gateway_->RequestAdvice(
          RequireString(body, "step"), workers,
          GetInt(body, "expected_ms", 0, 0, 60000),
          [reply](const AdviceResult& result) {
            if (!result.is_answered_) {
              reply->Send(503, "{}");
              return;
            }
            Json::Value answer(Json::objectValue);
            answer["tickets"] = Json::Value(Json::arrayValue);
            for (const auto& ticket : result.tickets_) {
              Json::Value row(Json::arrayValue);
              row.append(ticket.worker_id_);
              row.append(ticket.text_);
              answer["tickets"].append(row);
            }
            answer["valid_ms"] = Json::Int64{result.valid_ms_};
            reply->Send(200, DumpJson(answer));
          });
      return;
    }
    if (request.path_ == "/peer/config") {
      config_feed_.Handle(request.body_, reply);
      return;
    }
    if (request.path_ == "/peer/claim") {
      election_->ClaimFrom(RequireInt(body, "owner_revision", 0, INT64_MAX));
      reply->Send(200, "{}");
      return;
    }
    if (request.path_ == "/peer/resign") {
      election_->ResignBefore(RequireInt(body, "epoch", 0, INT64_MAX));
      answer["instance"] = options_.instance_name_;
      reply->Send(200, DumpJson(answer));
      return;
    }
    if (dispatcher_ == nullptr) {
      reply->Send(409, "{}");
      return;
    }
    if (request.path_ == "/peer/report") {
      const auto address = RequireString(body, "address");
      advice_balancer_.MarkInstanceLive(address, BootMs());
      const auto report = ParseStoreReport(body);
      election_->ApplyReport(address, report);
      if (report.epoch_ == dispatcher_->token()) {
        OnReportFrom(GetString(body, "instance", ""));
      }
      if (const auto end_ms = PredecessorRights::UnconfirmedEndByReport(
              dispatcher_->last_sole_owner().epoch_, dispatcher_->claimed_ms(),
              report, BootMs())) {
        dispatcher_->LimitUnconfirmedRights(report.former_epoch_, *end_ms);
      }
      for (const auto& source :
           ChooseConfigSources(ParseRelayCandidate(body))) {
        answer["config_sources"].append(source);
      }
      successor_candidates_[address] = {
          BootMs(), GetInt(body, "claim_delay_ms", 0, 0, INT64_MAX)};
      for (const auto& [queue, wait_ms] : dispatcher_->ExpectedWaits()) {
        answer["expected_waits"][queue] = Json::Int64{wait_ms};
      }
      for (const auto& [queue, share] : dispatcher_->AdmittedShares()) {
        answer["admitted_shares"][queue] = share;
      }
      answer["store_age_ms"] = Json::Int64{election_->StoreAgeMs()};
      answer["epoch"] = Json::Int64{dispatcher_->token()};
      answer["stamp_ms"] = Json::Int64{BootMs()};
      answer["former_epoch"] =
          Json::Int64{dispatcher_->last_sole_owner().epoch_};
    } else if (request.path_ == "/peer/leases") {
      ApplyLeaseExpiries(body);
    } else if (request.path_ == "/peer/job") {
      const auto job = DecodeJob(RequireString(body, "job"));
      if (!job.ok()) {
        throw Error(ErrorCode::kBadRequest,
                    std::string(job.status().message()));
      }
      dispatcher_->AddJob(*job, GetInt(body, "revision", 0, 0, INT64_MAX));
    } else if (request.path_ == "/peer/cancel") {
      dispatcher_->CancelJob(RequireString(body, "id"));
    } else if (request.path_ == "/peer/state") {
      const auto state = dispatcher_->GetJobState(RequireString(body, "id"));
      if (state.has_value()) {
        answer["state"] = JobStateName(*state);
      }
    } else if (request.path_ == "/peer/pending") {
      const auto jobs =
          dispatcher_->CountQueuedJobs(RequireString(body, "queue"));
      if (jobs.has_value()) {
        answer["jobs"] = Json::Int64{*jobs};
      }
    } else {
      reply->Send(404, "{}");
      return;
    }
    reply->Send(200, DumpJson(answer));
  } catch (const std::exception& e) {
    LogEvent(Event::kBadPeerMessage,
             {{"path", request.path_}, {"problem", e.what()}});
    reply->Send(400, "{}");
  }
}

auto FleetNode::Drain(std::function<void()> done) -> void {
  if (is_draining_) {
    return;
  }
  is_draining_ = true;
  LogEvent(Event::kStopping,
           {{"owner", election_->IsOwner() ? "true" : "false"}});
  election_->DisableClaiming();
  RequestSuccessorClaim();
  PollDrain(BootMs(), done);
}

// The successor claims while this instance still schedules, so the fleet has no
// scheduling owner only while the successor reads its state from the store.
auto FleetNode::RequestSuccessorClaim() -> void {
  if (!election_->IsOwner()) {
    return;
  }
  const auto now = BootMs();
  const std::string* best = nullptr;
  Millis best_delay = 0;
  for (const auto& [address, successor] : successor_candidates_) {
    if (now - successor.reported_ms_ < kMaxCandidateReportAgeMs &&
        (best == nullptr || successor.claim_delay_ms_ < best_delay)) {
      best = &address;
      best_delay = successor.claim_delay_ms_;
    }
  }
  if (best != nullptr) {
    peer_client_.RequestClaim(*best, election_->owner().revision_);
  }
}

auto FleetNode::PollDrain(Millis started_ms, const std::function<void()>& done)
    -> void {
  const auto elapsed = BootMs() - started_ms;
  // Progress that is not yet recorded in the store reaches the successor
  // through the workers.
  if (elapsed >= kHandOverTimeoutMs) {
    election_->StepDown("this instance is stopping");
  }
  if (elapsed >= kCloseAfterAnswersDelayMs) {
    client_server_->CloseAfterAnswers();
  }
  if (elapsed >= kStopAcceptingDelayMs) {
    client_server_->StopAccepting();
    const auto answer_by_ms = options_.termination_grace_ms_ - kExitMarginMs;
    if (elapsed >= answer_by_ms) {
      // The outcome of a submission is unknown to the client, which 503 would
      // deny.
      client_server_->AnswerOpenRequests(
          504, dependencies_.client_api_codec_.encode_error_(
                   "this instance is stopping"));
    }
    if (client_server_->open_connections() == 0 ||
        elapsed >= answer_by_ms + kLastAnswersMs) {
      LogEvent(
          Event::kStopped,
          {{"open_requests", std::to_string(client_server_->open_requests())}});
      done();
      return;
    }
  }
  RunAfter(loop_, kDrainPollIntervalMs,
           [this, started_ms, done] { PollDrain(started_ms, done); });
}

}  // namespace lentilscale::fleet
