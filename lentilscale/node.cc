// The parts know nothing of each other beyond the narrow interfaces that their
// headers name; this file is the only one that knows all of them.
//
// Start and drain are both gradual: an instance is a member first, then an
// owner; and it stops being an owner before it stops being a member.

#include "lentilscale/node.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale {
namespace {

constexpr Millis kFastTickMs = 10;
constexpr Millis kSlowTickMs = 50;
constexpr auto kStorePath = "/peer/v1/store";
constexpr auto kJobsPath = "/peer/v1/jobs";
constexpr auto kHttpOk = 200;
constexpr std::size_t kMaxPeerBodyBytes = 64U << 20U;
constexpr std::uint64_t kServerIdleMs = 15000;
// Part of the lease after which it is renewed.
constexpr std::int64_t kRenewalsPerLease = 4;

constexpr auto kEmbeddedWorkers = 4;
constexpr auto kEmbeddedService = "demo";

auto MakeId() -> std::string {
  std::random_device device;
  return fmt::format("{:08x}{:08x}", device(), device());
}

auto Seed(const std::string& id) -> std::uint64_t { return StableHash(id); }

}  // namespace

Node::Node(uv_loop_t* loop, const Settings& settings)
    : loop_(loop),
      settings_(settings),
      id_(MakeId()),
      client_(loop, {settings.connection_idle_ms_}),
      authority_({settings.member_lease_s_ * 1000, 100}),
      members_(id_, {settings.suspect_ms_, settings.store_poll_ms_, 60000}),
      request_deduplicator_(
          {settings.request_retention_ms_, settings.clock_skew_ms_,
           settings.max_deadline_ms_,
           static_cast<std::size_t>(settings.stored_answer_bytes_)}) {}

Node::~Node() = default;

auto Node::Create(uv_loop_t* loop, const Settings& settings, bool is_embedded)
    -> absl::StatusOr<std::unique_ptr<Node>> {
  auto node = std::unique_ptr<Node>(new Node(loop, settings));
  if (is_embedded) {
    if (auto status = node->StartEmbedded(); !status.ok()) {
      return status;
    }
  } else {
    node->store_ = std::make_unique<Store>(
        &node->client_,
        Store::Options{settings.store_address_, settings.store_prefix_,
                       settings.store_timeout_ms_});
    node->instances_ = std::make_unique<InstanceList>(
        &node->client_, settings.platform_address_);
  }
  if (auto status = node->Listen(); !status.ok()) {
    return status;
  }
  node->Wire();
  node->StartTimers();
  LogEvent(Event::kListening,
           {{"address",
             fmt::format("{}:{}", settings.listen_address_, node->port())},
            {"peer_listener",
             fmt::format("{}:{}", settings.listen_address_, node->peer_port())},
            {"peers", node->peer_address_},
            {"id", node->id_}});
  return node;
}

auto Node::StartEmbedded() -> absl::Status {
  embedded_store_ = std::make_unique<KvServer>();
  store_ = std::make_unique<Store>(
      loop_, embedded_store_.get(),
      Store::Options{"", settings_.store_prefix_, settings_.store_timeout_ms_});
  embedded_workers_ = std::make_unique<WorkerServer>(loop_, nullptr);
  std::vector<WorkerInfo> workers;
  for (auto i = 0; i < kEmbeddedWorkers; ++i) {
    WorkerInfo info;
    info.id_ = fmt::format("embedded-{}", i);
    info.service_ = kEmbeddedService;
    info.data_centre_ = settings_.data_centre_;
    info.region_ = settings_.region_;
    info.rack_ = fmt::format("rack-{}", i / 2);
    info.capacity_ = {8, 16000, 32768, 0};
    auto address = embedded_workers_->Add(info.id_, info.capacity_, 0);
    if (!address.ok()) {
      return address.status();
    }
    info.address_ = *address;
    workers.push_back(info);
  }
  instances_ = std::make_unique<InstanceList>(std::move(workers));
  return absl::OkStatus();
}

auto Node::Listen() -> absl::Status {
  link_ = std::make_unique<PeerLink>(
      loop_, &client_, &metrics_,
      PeerLink::Options{"", settings_.peer_key_, settings_.worker_timeout_ms_});
  auto peers = HttpServer::Listen(
      loop_, settings_.listen_address_, static_cast<int>(settings_.peer_port_),
      {kMaxPeerBodyBytes, kServerIdleMs},
      [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        link_->Serve(request, std::move(reply));
      });
  if (!peers.ok()) {
    return peers.status();
  }
  peer_server_ = std::move(*peers);
  peer_address_ = settings_.advertise_address_.empty()
                      ? fmt::format("{}:{}", settings_.listen_address_,
                                    peer_server_->port())
                      : settings_.advertise_address_;
  link_->SetSelfAddress(peer_address_);
  auto callers = HttpServer::Listen(
      loop_, settings_.listen_address_,
      static_cast<int>(settings_.listen_port_),
      {static_cast<std::size_t>(settings_.max_body_bytes_), kServerIdleMs},
      [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        api_->Serve(request, std::move(reply));
      });
  if (!callers.ok()) {
    return callers.status();
  }
  api_server_ = std::move(*callers);
  return absl::OkStatus();
}

auto Node::Wire() -> void {
  const auto rights = [this] { return authority_.RightsUntil(); };
  store_->SetRelay([this](const std::string& path, const std::string& body,
                          HttpClient::Callback callback) {
    return RelayToPeer(path, body, std::move(callback));
  });
  view_ = std::make_unique<StoreView>(
      loop_, store_.get(),
      StoreView::Hooks{
          [this](Millis sent) { OnViewRead(sent); },
          [this] {
            if (!is_store_lost_) {
              is_store_lost_ = true;
              LogEvent(Event::kStoreLost, {});
            }
          },
          [this](const std::vector<MemberRecord>& records) {
            OnMembers(records);
          },
          [this](const Configuration& next) { OnConfiguration(next); },
          [this](const std::string& team, const HoldingRecord& record,
                 std::int64_t revision) {
            holding_rebalancer_->OnRecord(team, record, revision);
          }});

  Executor::Options executor;
  executor.session_.owner_ = id_;
  executor.session_.session_ttl_ms_ = settings_.session_ms_;
  executor.session_.renew_interval_ms_ = settings_.renew_ms_;
  executor.worker_timeout_ms_ = settings_.worker_timeout_ms_;
  executor.scheduler_.policy_ = PolicyFromName(settings_.policy_);
  executor.scheduler_.usage_half_life_ms_ = settings_.usage_half_life_ms_;
  executor.scheduler_.seed_ = Seed(id_);
  executor.health_.quarantine_failures_ = settings_.quarantine_failures_;
  executor.retry_budget_.retry_percent_ = settings_.retry_percent_;
  executor.max_attempts_ = settings_.retry_attempts_;
  executor.max_queued_per_team_ = settings_.team_queue_;
  executor_ = std::make_unique<Executor>(
      loop_, &client_, &metrics_, executor,
      Executor::Hooks{
          rights, [this](const std::string&) { view_->PollSoon(); },
          [this](const TaskEvent& event) { tasks_->OnTaskEvent(event); },
          [](const std::string&) {}});

  owner_ = std::make_unique<ShardOwner>(
      store_.get(), view_.get(), &members_, link_.get(), executor_.get(),
      &request_deduplicator_, &metrics_,
      ShardOwner::Options{id_, peer_address_, settings_.session_ms_,
                          settings_.member_lease_s_ * 1000,
                          settings_.clock_skew_ms_,
                          settings_.shard_moves_per_s_},
      ShardOwner::Hooks{
          rights,
          [this](const std::string& shard, std::int64_t epoch) {
            holding_rebalancer_->OnOwned(shard);
            job_controller_->OnOwned(shard, epoch);
          },
          [this](const std::string& shard) { job_controller_->OnLost(shard); },
          [this](const std::string& shard, bool is_frozen) {
            job_controller_->SetFrozen(shard, is_frozen);
          }});
  HoldingRebalancer::Options holding;
  holding.self_id_ = id_;
  holding_rebalancer_ = std::make_unique<HoldingRebalancer>(
      store_.get(), view_.get(), owner_.get(), executor_.get(), link_.get(),
      &metrics_, holding);
  CallRouter::Options router;
  router.self_id_ = id_;
  router.region_ = settings_.region_;
  router.attempts_ = settings_.retry_attempts_;
  router.retry_.retry_percent_ = settings_.retry_percent_;
  router.seed_ = Seed(id_);
  router_ = std::make_unique<CallRouter>(
      loop_, link_.get(), &members_, view_.get(), executor_.get(),
      &request_deduplicator_, holding_rebalancer_.get(), &metrics_, rights,
      router);
  tasks_ = std::make_unique<TaskService>(
      loop_, link_.get(), executor_.get(), view_.get(),
      TaskService::Options{id_, settings_.clock_skew_ms_});
  JobController::Options job_options;
  job_options.self_id_ = id_;
  job_options.region_ = settings_.region_;
  job_options.clock_skew_ms_ = settings_.clock_skew_ms_;
  job_options.seed_ = Seed(id_);
  job_controller_ = std::make_unique<JobController>(
      loop_, store_.get(), view_.get(), &members_, owner_.get(), link_.get(),
      &metrics_, rights, job_options);
  tickets_ = std::make_unique<TicketDesk>(
      loop_, store_.get(),
      TicketDesk::Hooks{
          [this]() -> const Configuration& { return configuration_; },
          [this](const Configuration& next) {
            OnConfiguration(next);
            SendHeartbeats();
          }});
  api_ = std::make_unique<Api>(this);
  AddPeerHandlers();
}

auto Node::AddPeerHandlers() -> void {
  link_->AddMethod("heartbeat", [this](const Json::Value& params) {
    const auto digest = MemberDigest::FromJson(params);
    members_.OnHeard(digest);
    const auto* sender = members_.Find(digest.id_);
    if (sender != nullptr && digest.ticket_ > configuration_.number_) {
      configuration_fetcher_.OnPeerHas(sender->record_.address_,
                                       digest.ticket_);
    }
    return MakeDigest().ToJson();
  });
  link_->AddMethod("get_configuration", [this](const Json::Value& /*params*/) {
    return configuration_.ToJson();
  });
  link_->AddRequest(kStorePath, [this](const Json::Value& body,
                                       PeerLink::Responder respond) {
    const auto path = RequireString(body, "path");
    store_->SendForPeer(path, DumpJson(GetObject(body, "body")),
                        [respond](const HttpResult& result) {
                          Json::Value out;
                          out["outcome"] = static_cast<int>(result.outcome_);
                          out["status"] = result.status_;
                          out["body"] = result.body_;
                          respond(kHttpOk, out);
                        });
  });
  link_->AddRequest(
      kJobsPath, [this](const Json::Value& body, PeerLink::Responder respond) {
        job_controller_->HandleRequest(body, std::move(respond));
      });
}

auto Node::StartTimers() -> void {
  const auto every = [this](Millis period, std::function<void()> function) {
    timers_.push_back(
        std::make_unique<RepeatingTimer>(loop_, period, std::move(function)));
  };
  every(settings_.store_poll_ms_, [this] { view_->Poll(); });
  every(settings_.member_lease_s_ * 1000 / kRenewalsPerLease,
        [this] { KeepLease(); });
  every(settings_.heartbeat_ms_, [this] { SendHeartbeats(); });
  every(settings_.platform_poll_ms_, [this] {
    instances_->Read([this](const std::vector<WorkerInfo>* workers) {
      if (workers != nullptr) {
        OnWorkers(*workers);
      }
    });
  });
  every(kFastTickMs, [this] { OnFastTick(); });
  every(kSlowTickMs, [this] { OnSlowTick(); });
  KeepLease();
  view_->PollSoon();
  instances_->Read([this](const std::vector<WorkerInfo>* workers) {
    if (workers != nullptr) {
      OnWorkers(*workers);
    }
  });
}

auto Node::Register() -> void {
  is_leasing_ = true;
  store_->GrantLease(
      settings_.member_lease_s_, [this](const LeaseResult& granted) {
        if (granted.outcome_ != StoreOutcome::kAnswered || granted.id_ == 0) {
          is_leasing_ = false;
          return;
        }
        const auto sent = MonotonicMs();
        const MemberRecord record{id_, peer_address_, settings_.data_centre_,
                                  settings_.region_};
        StoreTxn txn;
        txn.Put(MemberKey(id_), DumpJson(record.ToJson()), granted.id_);
        store_->Commit(txn, [this, granted, sent](const StoreResult& result) {
          is_leasing_ = false;
          if (result.outcome_ == StoreOutcome::kAnswered) {
            lease_ = granted.id_;
            authority_.OnRegistered(sent);
            view_->PollSoon();
          }
        });
      });
}

auto Node::KeepLease() -> void {
  if (is_leasing_ || phase_ == Phase::kStopped) {
    return;
  }
  if (lease_ == 0) {
    Register();
    return;
  }
  is_leasing_ = true;
  const auto sent = MonotonicMs();
  store_->KeepLease(lease_, [this, sent](const LeaseResult& result) {
    is_leasing_ = false;
    if (result.outcome_ != StoreOutcome::kAnswered) {
      return;
    }
    if (result.id_ == 0) {
      lease_ = 0;
      Register();
      return;
    }
    authority_.OnRenewed(sent);
  });
}

auto Node::HasStore(Millis now) const -> bool {
  // Shorter than the age at which keyed work is refused, so that peers agree on
  // an outage before they would have to stop.
  const auto window =
      2 * settings_.store_poll_ms_ + settings_.store_timeout_ms_ / 2;
  return store_answered_ms_ != 0 && now - store_answered_ms_ <= window;
}

auto Node::OnViewRead(Millis sent) -> void {
  const auto now = MonotonicMs();
  if (is_store_lost_) {
    is_store_lost_ = false;
    // Leases ran on while the store was away; their holders need time to
    // register again.
    members_.RestartMissingTimes(now);
    LogEvent(Event::kStoreBack, {});
  }
  is_relaying_ = is_relaying_ && !store_->IsReachable();
  store_answered_ms_ = now;
  owner_->OnViewRead();
  authority_.OnConfigurationRead(sent, configuration_.number_);
  holding_rebalancer_->OnViewRead();
}

auto Node::OnMembers(const std::vector<MemberRecord>& records) -> void {
  const auto changes = members_.SetRecords(records, MonotonicMs());
  for (const auto& change : changes) {
    LogEvent(change.is_joined_ ? Event::kMemberJoined : Event::kMemberLeft,
             {{"id", change.id_}, {"address", change.address_}});
  }
  std::set<std::string> peers;
  for (const auto* state : members_.Listed()) {
    if (state->record_.id_ != id_) {
      peers.insert(state->record_.id_);
    }
  }
  authority_.SetPeers(peers);
  if (!changes.empty()) {
    SendHeartbeats();
  }
}

auto Node::OnConfiguration(const Configuration& configuration) -> void {
  if (configuration.number_ <= configuration_.number_) {
    return;
  }
  configuration_ = configuration;
  LogEvent(Event::kTicketApplied,
           {{"number", std::to_string(configuration.number_)}});
  executor_->SetConfiguration(configuration_);
  holding_rebalancer_->SetConfiguration(configuration_);
  job_controller_->SetConfiguration(configuration_);
  // The shards of a worker follow from its service's configuration.
  OnWorkers(workers_);
}

auto Node::OnWorkers(const std::vector<WorkerInfo>& workers) -> void {
  workers_ = workers;
  owner_->SetWorkers(workers_, configuration_);
  executor_->SetWorkers(workers_);
  job_controller_->SetWorkers(workers_);
}

auto Node::MakeDigest() const -> MemberDigest {
  const auto now = MonotonicMs();
  MemberDigest digest;
  digest.id_ = id_;
  digest.ticket_ = configuration_.number_;
  digest.has_store_ = HasStore(now);
  digest.configuration_age_ms_ =
      std::max<Millis>(now - authority_.ConfigurationConfirmedAt(), 0);
  digest.is_draining_ = phase_ != Phase::kRunning;
  digest.loads_ = executor_->Loads();
  return digest;
}

auto Node::SendHeartbeats() -> void {
  const auto digest = MakeDigest().ToJson();
  for (const auto* state : members_.Others()) {
    const auto sent = MonotonicMs();
    metrics_.Add(Counter::kHeartbeatsSent);
    link_->Call(state->record_.address_, "heartbeat", digest,
                [this, sent](const PeerAnswer& answer) {
                  if (!answer.is_ok_) {
                    return;
                  }
                  try {
                    OnDigest(MemberDigest::FromJson(answer.body_), sent);
                  } catch (const Error& e) {
                    LogEvent(Event::kBadPeerMessage, {{"problem", e.what()}});
                  }
                });
  }
}

auto Node::OnDigest(const MemberDigest& digest, Millis sent) -> void {
  members_.OnHeartbeat(digest, sent, MonotonicMs());
  authority_.OnPeer({digest.id_, sent, digest.has_store_, digest.ticket_,
                     digest.configuration_age_ms_});
  const auto* state = members_.Find(digest.id_);
  if (state != nullptr && digest.ticket_ > configuration_.number_) {
    configuration_fetcher_.OnPeerHas(state->record_.address_, digest.ticket_);
  }
}

auto Node::FetchConfiguration(const std::string& address,
                              const ConfigurationFetcher::Done& done) -> void {
  link_->Call(address, "get_configuration", Json::Value(Json::objectValue),
              [this, done](const PeerAnswer& answer) {
                try {
                  if (answer.is_ok_) {
                    OnConfiguration(Configuration::FromJson(answer.body_));
                  }
                } catch (const Error& e) {
                  LogEvent(Event::kBadPeerMessage, {{"problem", e.what()}});
                }
                done(configuration_.number_);
              });
}

auto Node::RelayToPeer(const std::string& path, const std::string& body,
                       HttpClient::Callback callback) -> bool {
  const auto now = MonotonicMs();
  for (const auto* state : members_.Others()) {
    if (!state->digest_.has_store_ ||
        !members_.IsReachable(state->record_.id_, now)) {
      continue;
    }
    if (!is_relaying_) {
      is_relaying_ = true;
      LogEvent(Event::kStoreRelayed, {{"peer", state->record_.id_}});
    }
    Json::Value request;
    request["path"] = path;
    request["body"] = ParseJson(body);
    link_->Ask(
        state->record_.address_, kStorePath, request,
        2 * settings_.store_timeout_ms_, [callback](const PeerAnswer& answer) {
          HttpResult result;
          result.outcome_ = answer.is_not_sent_ ? HttpOutcome::kNotSent
                                                : HttpOutcome::kUnknown;
          if (answer.is_ok_) {
            result.outcome_ = static_cast<HttpOutcome>(
                GetInt(answer.body_, "outcome", 2, 0, 2));
            result.status_ =
                static_cast<int>(GetInt(answer.body_, "status", 0, 0, 599));
            result.body_ = GetString(answer.body_, "body", "");
          }
          callback(result);
        });
    return true;
  }
  return false;
}

auto Node::OnFastTick() -> void {
  const auto now = MonotonicMs();
  authority_.SetStoreReachable(HasStore(now));
  executor_->Tick(now);
  holding_rebalancer_->Tick(now);
  tasks_->Tick(now);
}

auto Node::OnSlowTick() -> void {
  const auto now = MonotonicMs();
  // The instance is a member like the others; its own digest is always fresh.
  members_.OnHeartbeat(MakeDigest(), now, now);
  owner_->Tick(now);
  job_controller_->Tick(now);
  router_->Tick();
  request_deduplicator_.Expire(WallMs());
  NoteAuthority(now);
  NoteSuspects(now);
  UpdateMetrics();
  if (phase_ != Phase::kRunning) {
    TickDrain();
  }
}

auto Node::NoteSuspects(Millis now) -> void {
  std::set<std::string> suspects;
  for (const auto* state : members_.Listed()) {
    const auto& id = state->record_.id_;
    if (state->has_digest_ && !members_.IsReachable(id, now)) {
      suspects.insert(id);
      if (!suspects_.contains(id)) {
        LogEvent(Event::kMemberSuspected, {{"id", id}});
      }
    }
  }
  suspects_ = std::move(suspects);
}

auto Node::NoteAuthority(Millis now) -> void {
  const auto has_rights = authority_.RightsUntil() > now;
  if (has_rights != had_rights_) {
    had_rights_ = has_rights;
    LogEvent(has_rights ? Event::kAuthorityBack : Event::kAuthorityLost, {});
  }
}

auto Node::UpdateMetrics() -> void {
  const auto now = MonotonicMs();
  metrics_.Set(Gauge::kMembers,
               static_cast<std::int64_t>(members_.Listed().size()));
  metrics_.Set(Gauge::kShardsOwned,
               static_cast<std::int64_t>(owner_->owned().size()));
  metrics_.Set(Gauge::kWorkersOpen, executor_->ready_workers());
  metrics_.Set(Gauge::kRunning, executor_->started_tasks_and_calls());
  std::int64_t queued = 0;
  for (const auto& [service, scheduler] : executor_->schedulers()) {
    queued += scheduler->QueueSize();
  }
  metrics_.Set(Gauge::kQueued, queued);
  metrics_.Set(Gauge::kTicket, configuration_.number_);
  metrics_.Set(Gauge::kRightsLeftMs,
               std::max<Millis>(authority_.RightsUntil() - now, 0));
  metrics_.Set(Gauge::kConfigurationAgeMs,
               now - authority_.ConfigurationConfirmedAt());
  metrics_.Set(Gauge::kRequestsRemembered,
               static_cast<std::int64_t>(request_deduplicator_.size()));
  metrics_.Set(Counter::kClientBytesOut,
               static_cast<std::int64_t>(client_.bytes_out()));
  metrics_.Set(Counter::kClientBytesIn,
               static_cast<std::int64_t>(client_.bytes_in()));
  metrics_.Set(Counter::kStoreReads, store_->counts().reads_);
  metrics_.Set(Counter::kStoreWrites, store_->counts().writes_);
  metrics_.Set(Counter::kStoreLeaseCalls, store_->counts().lease_calls_);
  metrics_.Set(Counter::kStoreRelayed, store_->relayed_calls());
}

auto Node::Drain(std::function<void()> done) -> void {
  if (phase_ != Phase::kRunning) {
    return;
  }
  LogEvent(Event::kStopping, {});
  phase_ = Phase::kHandingOver;
  on_drained_ = std::move(done);
  drain_started_ms_ = MonotonicMs();
  members_.SetDraining(true);
  owner_->SetDraining();
  SendHeartbeats();
}

auto Node::TickDrain() -> void {
  const auto now = MonotonicMs();
  const auto is_late = now - drain_started_ms_ >= settings_.drain_ms_;
  const auto has_heirs = !members_.Candidates().empty();
  if (phase_ == Phase::kHandingOver) {
    const auto is_handed_over = owner_->owned().empty();
    const auto is_last_idle = !has_heirs && api_server_->open_requests() == 0 &&
                              executor_->HasNoCalls();
    if (is_handed_over || is_last_idle || is_late) {
      phase_ = Phase::kFinishing;
      executor_->StartDraining();
      api_server_->StopAccepting();
    }
    return;
  }
  const auto is_finished =
      api_server_->open_requests() == 0 && peer_server_->open_requests() == 0 &&
      router_->open_routes() == 0 && executor_->HasNoCalls();
  if (phase_ == Phase::kFinishing && (is_finished || is_late)) {
    phase_ = Phase::kStopped;
    StoreTxn txn;
    txn.Delete(MemberKey(id_));
    store_->Commit(txn, [this](const StoreResult& /*result*/) {
      LogEvent(Event::kStopped, {});
      on_drained_();
    });
  }
}

}  // namespace lentilscale
