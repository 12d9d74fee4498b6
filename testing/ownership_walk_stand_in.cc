// Each instance has an event loop of its own, so that it can stand still while
// the others go on: what reaches it meanwhile waits in its loop and is handled
// when it wakes, as with a process that was stopped.

#include "testing/ownership_walk_stand_in.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <utility>

#include "fleet/store_keys.h"
#include "lentilscale/clock.h"

namespace lentilscale::fleet {
namespace {

constexpr auto kWorkerPrefix = "w/";
constexpr Millis kTickMs = 10;
constexpr Millis kHeartbeatMs = 1500;
constexpr Millis kLeaseMs = 5000;
constexpr Millis kStopMs = 900;
// Time-outs of the clients of the store, the workers and the peers.
constexpr Millis kStoreTimeoutMs = 700;
constexpr Millis kWatchTimeoutMarginMs = 600;
constexpr Millis kOrderTimeoutMs = 500;
constexpr Millis kPeerTimeoutMs = 400;
// As in FleetNode.
constexpr Millis kReportIntervalMs = 300;
constexpr int kOwnerGoneRefusals = 2;
constexpr Millis kMaxCandidateReportAgeMs = 900;
constexpr Millis kHandOverTimeoutMs = 1200;
constexpr Millis kLeaseReportRetryMs = 100;
constexpr Millis kResignationRetryMs = 200;
constexpr int kMaxLeaseReportAttempts = 5;

constexpr Millis kFaultsBeginMs = 3000;
constexpr Millis kFaultsEndMs = 50000;
constexpr Millis kEndMs = 62000;
constexpr int kLongJobs = 5;
// A watch on a dead connection is given up after this time.
constexpr int kMaxDeafMs = 2600;
// Longest time that an answer of the store comes after its caller's time-out.
constexpr int kMaxLateStoreMs = 1300;

constexpr auto kFaultNames = std::to_array<const char*>(
    {"store_silence",   "store_refusal", "deaf_watch",      "late_transaction",
     "peer_silence",    "peer_refusal",  "worker_cut",      "split",
     "contested_owner", "instance_kill", "instance_freeze", "hand_over",
     "worker_rebirth",  "worker_new_id", "worker_drain",    "entry_loss",
     "worker_silence",  "late_orders",   "late_answers",    "service_change",
     "late_store"});

}  // namespace

auto OwnershipFaultName(OwnershipFault fault) -> const char* {
  return kFaultNames.at(static_cast<std::size_t>(fault));
}

auto AllOwnershipFaults() -> std::set<OwnershipFault> {
  std::set<OwnershipFault> faults;
  for (std::size_t i = 0; i < kFaultNames.size(); ++i) {
    faults.insert(static_cast<OwnershipFault>(i));
  }
  return faults;
}

// The store.

auto OwnershipRecords::Put(const std::string& key, const std::string& value,
                           std::int64_t lease) -> std::int64_t {
  records_[key] = {key, value, ++revision_, lease};
  history_.push_back(records_[key]);
  return revision_;
}

auto OwnershipRecords::Remove(const std::string& key) -> void {
  if (records_.erase(key) > 0) {
    history_.push_back({key, "", ++revision_, 0, true});
  }
}

auto OwnershipRecords::Get(const std::string& key) const -> const Record* {
  const auto it = records_.find(key);
  return it == records_.end() ? nullptr : &it->second;
}

auto OwnershipRecords::List(const std::string& prefix) const -> ReadResult {
  ReadResult result;
  result.status_ = StoreStatus::kOk;
  result.revision_ = revision_;
  for (auto it = records_.lower_bound(prefix);
       it != records_.end() && it->first.starts_with(prefix); ++it) {
    result.records_.push_back(it->second);
  }
  return result;
}

auto OwnershipRecords::Changes(const std::string& prefix,
                               std::int64_t after) const -> ReadResult {
  ReadResult result;
  result.status_ = StoreStatus::kOk;
  result.revision_ = revision_;
  const auto first =
      std::upper_bound(history_.begin(), history_.end(), after,
                       [](std::int64_t revision, const Record& record) {
                         return revision < record.revision_;
                       });
  for (auto it = first; it != history_.end(); ++it) {
    if (it->key_.starts_with(prefix)) {
      result.records_.push_back(*it);
    }
  }
  return result;
}

auto OwnershipRecords::Apply(const Transaction& transaction) -> CommitResult {
  CommitResult result;
  result.status_ = StoreStatus::kOk;
  for (const auto& condition : transaction.conditions_) {
    const auto* record = Get(condition.key_);
    if ((record == nullptr ? 0 : record->revision_) != condition.revision_) {
      result.status_ = StoreStatus::kConflict;
    }
    if (record != nullptr) {
      result.current_.push_back(*record);
    }
  }
  if (result.status_ == StoreStatus::kConflict) {
    return result;
  }
  for (const auto& put : transaction.puts_) {
    if (put.lease_ != 0 && !leases_.contains(put.lease_)) {
      result.status_ = StoreStatus::kAbsent;
      return result;
    }
  }
  result.revision_ = ++revision_;
  for (const auto& put : transaction.puts_) {
    records_[put.key_] = {put.key_, put.value_, revision_, put.lease_};
    history_.push_back(records_[put.key_]);
  }
  for (const auto& key : transaction.deletes_) {
    if (records_.erase(key) > 0) {
      history_.push_back({key, "", revision_, 0, true});
    }
  }
  return result;
}

auto OwnershipRecords::Grant(Millis ttl_ms) -> std::int64_t {
  leases_[next_lease_] = {ttl_ms, BootMs() + ttl_ms};
  return next_lease_++;
}

auto OwnershipRecords::Renew(std::int64_t lease) -> bool {
  const auto it = leases_.find(lease);
  if (it == leases_.end()) {
    return false;
  }
  it->second.expires_ms_ = BootMs() + it->second.ttl_ms_;
  return true;
}

auto OwnershipRecords::End(std::int64_t lease) -> void {
  leases_.erase(lease);
  std::vector<std::string> keys;
  for (const auto& [key, record] : records_) {
    if (lease != 0 && record.lease_ == lease) {
      keys.push_back(key);
    }
  }
  for (const auto& key : keys) {
    Remove(key);
  }
}

auto OwnershipRecords::EndExpiredLeases() -> void {
  std::vector<std::int64_t> expired;
  for (const auto& [number, lease] : leases_) {
    if (BootMs() >= lease.expires_ms_) {
      expired.push_back(number);
    }
  }
  for (const auto lease : expired) {
    End(lease);
  }
}

template <typename Result>
auto OwnershipStore::Call(std::function<Result()> operation,
                          std::function<void(const Result&)> callback,
                          bool is_late_reported) -> void {
  const auto answer = [this, sent_ms = BootMs(), callback](Millis delay_ms,
                                                           Result result) {
    if constexpr (requires { result.sent_ms_; }) {
      result.sent_ms_ = sent_ms;
    }
    world_->LaterAt(instance_, delay_ms,
                    [callback, result] { callback(result); });
  };
  Result unknown;
  unknown.status_ = StoreStatus::kUnknown;
  const auto& link = world_->machine(instance_).store_link_;
  if (link.IsRefused()) {
    answer(world_->Between(1, 4), Result{});
    return;
  }
  if (link.IsSilent()) {
    answer(kStoreTimeoutMs, unknown);
    return;
  }
  world_->Later(world_->Between(1, 9), [this, operation, answer, unknown,
                                        is_late_reported] {
    const auto result = operation();
    // Results without the flag have no late answers.
    [[maybe_unused]] const auto is_reported = is_late_reported;
    if (BootMs() < world_->machine(instance_).late_store_until_ms_) {
      answer(kStoreTimeoutMs, unknown);
      if constexpr (requires { result.is_late_; }) {
        if (is_reported) {
          auto late = result;
          late.is_late_ = true;
          answer(kStoreTimeoutMs + world_->Between(1, kMaxLateStoreMs), late);
        }
      }
    } else if (world_->machine(instance_).store_link_.IsOpen()) {
      answer(world_->Between(1, 9), result);
    } else {
      answer(kStoreTimeoutMs, unknown);
    }
  });
}

auto OwnershipStore::Read(const std::string& key, ReadCallback callback)
    -> void {
  Call<ReadResult>(
      [this, key] {
        const auto* record = world_->records().Get(key);
        auto result = world_->records().List(key);
        result.status_ =
            record == nullptr ? StoreStatus::kAbsent : StoreStatus::kOk;
        result.records_.clear();
        if (record != nullptr) {
          result.records_ = {*record};
        }
        return result;
      },
      std::move(callback));
}

auto OwnershipStore::ReadAwaitingLate(const std::string& key,
                                      ReadCallback callback) -> void {
  Call<ReadResult>(
      [this, key] {
        const auto* record = world_->records().Get(key);
        auto result = world_->records().List(key);
        result.status_ =
            record == nullptr ? StoreStatus::kAbsent : StoreStatus::kOk;
        result.records_.clear();
        if (record != nullptr) {
          result.records_ = {*record};
        }
        return result;
      },
      std::move(callback), true);
}

auto OwnershipStore::ReadPrefix(const std::string& prefix,
                                ReadCallback callback) -> void {
  Call<ReadResult>([this, prefix] { return world_->records().List(prefix); },
                   std::move(callback));
}

auto OwnershipStore::Watch(const std::string& prefix,
                           std::int64_t after_revision, Millis wait_ms,
                           ReadCallback callback) -> void {
  const auto& link = world_->machine(instance_).store_link_;
  ReadResult failed;
  failed.sent_ms_ = BootMs();
  if (!link.IsOpen()) {
    failed.status_ =
        link.IsRefused() ? StoreStatus::kRefused : StoreStatus::kUnknown;
    world_->LaterAt(instance_,
                    link.IsRefused() ? 2 : wait_ms + kWatchTimeoutMarginMs,
                    [callback, failed] { callback(failed); });
    return;
  }
  world_->Later(world_->Between(1, 9), [this, prefix, after_revision, wait_ms,
                                        sent_ms = BootMs(), callback] {
    PollWatch(prefix, after_revision, sent_ms, sent_ms + wait_ms, callback);
  });
}

auto OwnershipStore::PollWatch(const std::string& prefix,
                               std::int64_t after_revision, Millis sent_ms,
                               Millis until_ms, const ReadCallback& callback)
    -> void {
  const auto& machine = world_->machine(instance_);
  ReadResult result;
  if (!machine.store_link_.IsOpen()) {
    result.status_ = StoreStatus::kUnknown;
    result.sent_ms_ = sent_ms;
    world_->LaterAt(instance_,
                    machine.store_link_.IsRefused()
                        ? 2
                        : until_ms + kWatchTimeoutMarginMs - BootMs(),
                    [callback, result] { callback(result); });
    return;
  }
  if (BootMs() >= machine.deaf_until_ms_) {
    result = world_->records().Changes(prefix, after_revision);
  }
  if (result.records_.empty() &&
      (BootMs() < until_ms || result.status_ != StoreStatus::kOk)) {
    world_->Later(
        20, [this, prefix, after_revision, sent_ms, until_ms, callback] {
          PollWatch(prefix, after_revision, sent_ms, until_ms, callback);
        });
    return;
  }
  result.sent_ms_ = sent_ms;
  world_->LaterAt(instance_, world_->Between(1, 9),
                  [callback, result] { callback(result); });
}

auto OwnershipStore::Commit(const Transaction& transaction,
                            CommitCallback callback) -> void {
  const auto apply = [this, transaction] {
    return world_->records().Apply(transaction);
  };
  const auto& machine = world_->machine(instance_);
  if (machine.store_link_.IsOpen() &&
      BootMs() < machine.late_transactions_until_ms_ && world_->Chance(0.5)) {
    world_->Later(world_->Between(0, 3000), apply);
    CommitResult unknown;
    unknown.status_ = StoreStatus::kUnknown;
    world_->LaterAt(instance_, kStoreTimeoutMs,
                    [callback, unknown] { callback(unknown); });
    return;
  }
  Call<CommitResult>(apply, std::move(callback));
}

auto OwnershipStore::GrantLease(Millis ttl_ms, LeaseCallback callback) -> void {
  Call<LeaseResult>(
      [this, ttl_ms] {
        return LeaseResult{StoreStatus::kOk, world_->records().Grant(ttl_ms),
                           ttl_ms, 0};
      },
      std::move(callback));
}

auto OwnershipStore::RenewLease(std::int64_t lease, LeaseCallback callback)
    -> void {
  Call<LeaseResult>(
      [this, lease] {
        const auto is_live = world_->records().Renew(lease);
        return LeaseResult{is_live ? StoreStatus::kOk : StoreStatus::kAbsent,
                           lease, 0, 0};
      },
      std::move(callback), true);
}

auto OwnershipStore::RevokeLease(std::int64_t lease) -> void {
  Call<LeaseResult>(
      [this, lease] {
        world_->records().End(lease);
        return LeaseResult{StoreStatus::kOk, lease, 0, 0};
      },
      [](const LeaseResult& /*result*/) {});
}

// The workers.

auto OwnershipWorker::ClockMs() const -> Millis {
  return clock_start_ms_ +
         static_cast<Millis>(static_cast<double>(BootMs() - life_began_ms_) *
                             clock_rate_);
}

auto OwnershipGateway::Deliver(const WorkerEntry& worker, Order order,
                               OrderCallback callback) -> void {
  const auto number = std::stoi(worker.address_);
  const auto& target = world_->worker(number);
  const auto answer = [this, callback, sent_ms = BootMs()](Millis delay_ms,
                                                           OrderResult result) {
    result.sent_ms_ = sent_ms;
    world_->LaterAt(instance_, delay_ms,
                    [callback, result] { callback(result); });
  };
  const OrderResult unknown{WorkerStatus::kUnknown, 0};
  const auto carry_out = [this, number, id = worker.id_,
                          order]() -> OrderResult {
    auto& machine = world_->worker(number);
    if (!machine.is_up_ || machine.entry_.id_ != id) {
      return {
          machine.is_up_ ? WorkerStatus::kWrongWorker : WorkerStatus::kUnknown,
          0};
    }
    world_->Advance(machine);
    return order(machine);
  };
  const auto is_reached = [this, number] {
    const auto index = static_cast<std::size_t>(number);
    return world_->machine(instance_).worker_links_[index].IsOpen() &&
           BootMs() >= world_->worker(number).silent_until_ms_;
  };
  if (!is_reached()) {
    answer(kOrderTimeoutMs, unknown);
    return;
  }
  if (!target.is_up_) {
    answer(world_->Between(1, 5), {WorkerStatus::kNotSent, 0});
    return;
  }
  if (BootMs() < target.late_orders_until_ms_ && world_->Chance(0.5)) {
    world_->Later(world_->Between(2000, 12000), carry_out);
    answer(kOrderTimeoutMs, unknown);
    return;
  }
  const auto is_slow = BootMs() < target.late_answers_until_ms_;
  const auto there_ms = world_->Between(1, is_slow ? 400 : 9);
  const auto back_ms = world_->Between(1, is_slow ? 300 : 9);
  world_->Later(there_ms,
                [answer, carry_out, is_reached, unknown, there_ms, back_ms] {
                  const auto result = carry_out();
                  if (!is_reached() || there_ms + back_ms >= kOrderTimeoutMs) {
                    answer(kOrderTimeoutMs - there_ms, unknown);
                    if (is_reached()) {
                      auto late = result;
                      late.is_late_ = true;
                      answer(back_ms, late);
                    }
                  } else {
                    answer(back_ms, result);
                  }
                });
}

namespace {

// Returns false if the order's fencing token is too low.
auto AcceptToken(OwnershipWorker& worker, std::int64_t token) -> bool {
  if (token < worker.token_ && worker.gap_ != OwnershipGap::kFencing) {
    return false;
  }
  worker.token_ = token;
  return true;
}

auto ExtendLease(OwnershipWorker& worker, Millis lease_end_ms) -> void {
  worker.deadline_ms_ =
      std::max(worker.deadline_ms_,
               std::min(lease_end_ms, worker.ClockMs() + worker.max_hold_ms_));
}

}  // namespace

auto OwnershipGateway::Start(const WorkerEntry& worker, const StartOrder& order,
                             OrderCallback callback) -> void {
  Deliver(
      worker,
      [this, order](OwnershipWorker& target) -> OrderResult {
        const auto clock = target.ClockMs();
        const auto& ref = order.run_;
        if (!AcceptToken(target, order.fencing_token_)) {
          return {WorkerStatus::kFenced, clock};
        }
        if (order.worker_lease_end_ms_ <= clock) {
          return {WorkerStatus::kLeaseExpired, clock};
        }
        ExtendLease(target, order.worker_lease_end_ms_);
        if (const auto it = target.running_.find(ref.task_);
            it != target.running_.end() && it->second.run_ == ref.run_) {
          return {WorkerStatus::kOk, clock};
        }
        if (const auto it = target.closed_runs_.find(ref.task_);
            it != target.closed_runs_.end() && it->second >= ref.run_) {
          return {WorkerStatus::kStaleRun, clock};
        }
        world_->BeginRun(target, ref);
        return {WorkerStatus::kOk, clock};
      },
      std::move(callback));
}

auto OwnershipGateway::Stop(const WorkerEntry& worker, const RunRef& run,
                            std::int64_t fencing_token, OrderCallback callback)
    -> void {
  Deliver(
      worker,
      [this, run, fencing_token](OwnershipWorker& target) -> OrderResult {
        const auto clock = target.ClockMs();
        if (!AcceptToken(target, fencing_token)) {
          return {WorkerStatus::kFenced, clock};
        }
        auto& closed = target.closed_runs_[run.task_];
        closed = std::max(closed, run.run_);
        const auto it = target.running_.find(run.task_);
        if (it != target.running_.end() && it->second.run_ <= run.run_ &&
            it->second.end_ != RunEnd::kStopped) {
          it->second.end_ = RunEnd::kStopped;
          it->second.ends_ms_ =
              BootMs() + world_->Between(0, static_cast<int>(kStopMs) - 50);
        }
        return {WorkerStatus::kOk, clock};
      },
      std::move(callback));
}

namespace {

// Returns the number of the connections to the worker's present life.
auto ConnectionTo(const OwnershipWorker& worker) -> std::int64_t {
  return worker.life_;
}

}  // namespace

auto OwnershipGateway::Hold(const WorkerEntry& worker, const HoldOrder& order,
                            HoldCallback callback) -> void {
  const auto number = std::stoi(worker.address_);
  const auto index = static_cast<std::size_t>(number);
  const auto& target = world_->worker(number);
  const auto fail = [this, sent_ms = BootMs(), callback](Millis delay_ms,
                                                         WorkerStatus status) {
    HoldResult result;
    result.status_ = status;
    result.sent_ms_ = sent_ms;
    world_->LaterAt(instance_, delay_ms,
                    [callback, result] { callback(result); });
  };
  // A connection ends with the life that accepted it, so that another life
  // gets an acknowledgement only as a late order.
  const auto connection = ConnectionTo(target);
  const auto acknowledged_end = order.life_connections_.contains(connection)
                                    ? order.acknowledged_end_
                                    : 0;
  const auto carry_out = [this, number, id = worker.id_, order,
                          acknowledged_end]() -> WorkerStatus {
    auto& machine = world_->worker(number);
    if (!machine.is_up_ || machine.entry_.id_ != id) {
      return machine.is_up_ ? WorkerStatus::kWrongWorker
                            : WorkerStatus::kNotSent;
    }
    world_->Advance(machine);
    if (!AcceptToken(machine, order.fencing_token_)) {
      return WorkerStatus::kFenced;
    }
    if (order.worker_lease_end_ms_ != 0) {
      ExtendLease(machine, order.worker_lease_end_ms_);
    }
    world_->Acknowledge(machine, acknowledged_end);
    return WorkerStatus::kOk;
  };
  const auto timeout_ms = order.wait_ms_ + kOrderTimeoutMs;
  if (!world_->machine(instance_).worker_links_[index].IsOpen() ||
      BootMs() < target.silent_until_ms_) {
    fail(timeout_ms, WorkerStatus::kUnknown);
    return;
  }
  if (BootMs() < target.late_orders_until_ms_ && world_->Chance(0.3)) {
    world_->Later(world_->Between(2000, 12000), carry_out);
    fail(timeout_ms, WorkerStatus::kUnknown);
    return;
  }
  world_->Later(world_->Between(1, 9),
                [this, worker, number, order, carry_out, fail,
                 sent_ms = BootMs(), callback, connection, timeout_ms] {
                  if (order.life_connections_.contains(connection) &&
                      connection != ConnectionTo(world_->worker(number))) {
                    fail(timeout_ms, WorkerStatus::kUnknown);
                    return;
                  }
                  const auto status = carry_out();
                  if (status != WorkerStatus::kOk) {
                    fail(1, status);
                    return;
                  }
                  PollHold(worker, world_->worker(number).life_, sent_ms,
                           BootMs() + order.wait_ms_, callback);
                });
}

auto OwnershipGateway::PollHold(const WorkerEntry& worker, int life,
                                Millis sent_ms, Millis until_ms,
                                const HoldCallback& callback) -> void {
  const auto number = std::stoi(worker.address_);
  auto& target = world_->worker(number);
  const auto is_reached = world_->machine(instance_)
                              .worker_links_[static_cast<std::size_t>(number)]
                              .IsOpen() &&
                          BootMs() >= target.silent_until_ms_;
  HoldResult result;
  result.sent_ms_ = sent_ms;
  result.status_ = WorkerStatus::kUnknown;
  if (!is_reached || !target.is_up_ || target.life_ != life) {
    // A crash may close the connection or leave it half open.
    const auto is_closed = is_reached && world_->Chance(0.5);
    world_->LaterAt(instance_,
                    is_closed ? 1 : until_ms - BootMs() + kOrderTimeoutMs,
                    [callback, result] { callback(result); });
    return;
  }
  world_->Advance(target);
  if (target.ended_.empty() && BootMs() < until_ms) {
    world_->Later(10, [this, worker, life, sent_ms, until_ms, callback] {
      PollHold(worker, life, sent_ms, until_ms, callback);
    });
    return;
  }
  result.status_ = WorkerStatus::kOk;
  result.incarnation_ = target.entry_.incarnation_;
  result.connection_ = ConnectionTo(target);
  result.worker_clock_ms_ = target.ClockMs();
  result.ended_ = target.ended_;
  for (const auto& [task, run] : target.running_) {
    result.running_.push_back({{task, run.run_}, "", 0, 0});
  }
  const auto is_slow = BootMs() < target.late_answers_until_ms_;
  world_->LaterAt(instance_, world_->Between(1, is_slow ? 400 : 9),
                  [callback, result] { callback(result); });
}

// The instances.

OwnershipInstance::OwnershipInstance(OwnershipWorld* world, int number)
    : world_(world), number_(number), advice_(nullptr, {}) {
  auto& machine = world->machine(number);
  Election::Options options;
  options.instance_ = fmt::format("i-{}", number);
  options.address_ = std::to_string(number);
  election_ = std::make_unique<Election>(
      machine.loop_.get(), machine.store_.get(), options,
      Election::Hooks{[this](const OwnerClaim& claim) { OnElected(claim); },
                      [this](const std::string& /*reason*/) { OnDeposed(); },
                      [this] {
                        owner_connection_refusals_ = 0;
                        SendLeaseExpiries(kMaxLeaseReportAttempts);
                        if (election_ != nullptr) {
                          SendReport();
                        }
                      }});
  report_timer_ = std::make_unique<RepeatingTimer>(
      machine.loop_.get(), kReportIntervalMs, [this] { SendReport(); });
}

auto OwnershipInstance::OnElected(const OwnerClaim& claim) -> void {
  world_->CountElection();
  auto& machine = world_->machine(number_);
  DispatcherOptions options;
  options.lease_ms_ = kLeaseMs;
  options.max_lease_ms_ = world_->worker(0).max_hold_ms_;
  options.max_stop_ms_ = kStopMs;
  options.heartbeat_ms_ = kHeartbeatMs;
  options.worker_prefix_ = kWorkerPrefix;
  DispatcherHooks hooks;
  hooks.has_rights_ = [this] { return election_->HasRights(); };
  hooks.step_down_ = [this](const std::string& reason) {
    election_->StepDown(reason);
  };
  hooks.config_ = [this] { return world_->machine(number_).config_; };
  hooks.parse_worker_ = [this](const std::string&, const std::string& text)
      -> absl::StatusOr<WorkerEntry> { return world_->ParseEntry(text); };
  hooks.bound_unconfirmed_rights_ = [this, claim](const OwnerIdentity& owner) {
    if (owner.epoch_ + 1 != claim.epoch_) {
      RequestResignation(owner, claim.epoch_);
    }
    return election_->predecessor_rights().UnconfirmedEndMs(owner.epoch_,
                                                            claim.claimed_ms_);
  };
  hooks.on_sole_rights_recorded_ = [this] {
    election_->AllowUnconfirmedRights();
  };
  dispatcher_ = std::make_unique<Dispatcher>(
      machine.loop_.get(), machine.store_.get(), machine.gateway_.get(),
      &advice_, &metrics_, claim, options, std::move(hooks));
  if (const auto& previous = election_->previous_owner();
      previous.epoch_ + 1 == claim.epoch_) {
    RequestResignation({previous.epoch_, previous.instance_, previous.address_},
                       claim.epoch_);
  }
}

auto OwnershipInstance::RequestResignation(const OwnerIdentity& former,
                                           std::int64_t epoch) -> void {
  if (dispatcher_ == nullptr || dispatcher_->token() != epoch ||
      former.address_.empty()) {
    return;
  }
  if (former.address_ == std::to_string(number_)) {
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
  world_->SendPeer(
      number_, std::stoi(former.address_),
      [epoch](OwnershipInstance& instance) {
        instance.election_->ResignBefore(epoch);
        return true;
      },
      [this, former, epoch](OwnershipWorld::PeerOutcome outcome) {
        if (outcome != OwnershipWorld::PeerOutcome::kAccepted) {
          world_->LaterInProcess(
              number_, kResignationRetryMs,
              [this, former, epoch] { RequestResignation(former, epoch); });
        } else if (dispatcher_ != nullptr && dispatcher_->token() == epoch) {
          dispatcher_->OnResigned(former.epoch_);
        }
      });
}

auto OwnershipInstance::ApplyReport(const std::string& address,
                                    const StoreReport& report,
                                    Millis claim_delay_ms) -> ReportAnswer {
  election_->ApplyReport(address, report);
  const auto& sole = dispatcher_->last_sole_owner();
  if (report.epoch_ == dispatcher_->token()) {
    const auto instance = "i-" + address;
    if (election_->previous_owner().instance_ == instance) {
      dispatcher_->OnResigned(election_->previous_owner().epoch_);
    }
    if (sole.instance_ == instance) {
      dispatcher_->OnResigned(sole.epoch_);
    }
  }
  if (const auto end_ms = PredecessorRights::UnconfirmedEndByReport(
          sole.epoch_, dispatcher_->claimed_ms(), report, BootMs())) {
    dispatcher_->LimitUnconfirmedRights(report.former_epoch_, *end_ms);
  }
  candidates_[address] = {BootMs(), claim_delay_ms};
  return {dispatcher_->token(), BootMs(), election_->StoreAgeMs(), sole.epoch_,
          0};
}

auto OwnershipInstance::OnDeposed() -> void {
  if (dispatcher_ != nullptr) {
    ended_term_ = {dispatcher_->token(), dispatcher_->LeaseExpiries()};
    dispatcher_.reset();
  }
  SendLeaseExpiries(kMaxLeaseReportAttempts);
}

auto OwnershipInstance::SendLeaseExpiries(int attempts) -> void {
  if (dispatcher_ != nullptr || ended_term_.expiries_.empty() ||
      attempts == 0) {
    return;
  }
  const auto& owner = election_->owner();
  if (owner.address_.empty() || owner.epoch_ != ended_term_.epoch_ + 1) {
    return;
  }
  std::map<std::string, Millis> left_ms;
  for (const auto& [worker, expiry_ms] : ended_term_.expiries_) {
    left_ms[worker] = std::max<Millis>(0, expiry_ms - BootMs());
  }
  world_->SendPeer(
      number_, std::stoi(owner.address_),
      [epoch = ended_term_.epoch_, left_ms](OwnershipInstance& instance) {
        if (instance.dispatcher_ == nullptr) {
          return false;
        }
        if (epoch + 1 == instance.dispatcher_->token()) {
          std::map<std::string, Millis> expiries;
          for (const auto& [worker, left] : left_ms) {
            expiries[worker] = BootMs() + left;
          }
          instance.dispatcher_->ApplyLeaseExpiries(expiries);
        }
        return true;
      },
      [this, attempts](OwnershipWorld::PeerOutcome outcome) {
        if (outcome == OwnershipWorld::PeerOutcome::kAccepted) {
          ended_term_ = {};
          return;
        }
        world_->LaterInProcess(number_, kLeaseReportRetryMs, [this, attempts] {
          SendLeaseExpiries(attempts - 1);
        });
      });
}

auto OwnershipInstance::SendReport() -> void {
  const auto& owner = election_->owner();
  if (is_draining_ || election_->IsOwner() || owner.address_.empty()) {
    return;
  }
  auto answer = std::make_shared<ReportAnswer>();
  world_->SendPeer(
      number_, std::stoi(owner.address_),
      [answer, address = std::to_string(number_),
       report = election_->MakeReport(),
       claim_delay_ms =
           election_->ClaimDelayMs()](OwnershipInstance& instance) {
        if (instance.dispatcher_ == nullptr) {
          return false;
        }
        *answer = instance.ApplyReport(address, report, claim_delay_ms);
        return true;
      },
      [this, answer, sent_ms = BootMs(),
       revision = owner.revision_](OwnershipWorld::PeerOutcome outcome) {
        if (outcome == OwnershipWorld::PeerOutcome::kAccepted) {
          answer->sent_ms_ = sent_ms;
          election_->OnReportAnswered(*answer);
        } else if (outcome == OwnershipWorld::PeerOutcome::kRefused &&
                   election_->owner().revision_ == revision &&
                   ++owner_connection_refusals_ >= kOwnerGoneRefusals) {
          election_->OnOwnerConnectionRefused();
        }
      });
}

auto OwnershipInstance::NotifyJob(const JobRecord& job, std::int64_t revision)
    -> void {
  if (dispatcher_ != nullptr) {
    dispatcher_->AddJob(job, revision);
  } else if (!election_->owner().address_.empty()) {
    world_->SendPeer(
        number_, std::stoi(election_->owner().address_),
        [job, revision](OwnershipInstance& instance) {
          if (instance.dispatcher_ != nullptr) {
            instance.dispatcher_->AddJob(job, revision);
          }
          return instance.dispatcher_ != nullptr;
        },
        [](OwnershipWorld::PeerOutcome /*outcome*/) {});
  }
}

auto OwnershipInstance::Drain() -> void {
  is_draining_ = true;
  election_->DisableClaiming();
  world_->LaterInProcess(number_, kHandOverTimeoutMs, [this] {
    election_->StepDown("this instance is stopping");
  });
  if (!election_->IsOwner()) {
    return;
  }
  const std::string* best = nullptr;
  Millis best_delay = 0;
  for (const auto& [address, candidate] : candidates_) {
    if (BootMs() - candidate.reported_ms_ < kMaxCandidateReportAgeMs &&
        (best == nullptr || candidate.claim_delay_ms_ < best_delay)) {
      best = &address;
      best_delay = candidate.claim_delay_ms_;
    }
  }
  if (best != nullptr) {
    world_->SendPeer(
        number_, std::stoi(*best),
        [revision = election_->owner().revision_](OwnershipInstance& instance) {
          instance.election_->ClaimFrom(revision);
          return true;
        },
        [](OwnershipWorld::PeerOutcome /*outcome*/) {});
  }
}

// The world.

OwnershipWorld::OwnershipWorld(OwnershipWalkOptions options)
    : options_(std::move(options)),
      random_(options_.seed_),
      began_ms_(BootMs()) {
  uv_loop_init(&loop_);
  services_ = {"sa", "sb"};
  auto config = std::make_shared<FleetConfig>();
  for (const auto& [name, service] :
       {std::pair("qa", "sa"), std::pair("qb", "sb")}) {
    Queue queue;
    queue.name_ = name;
    queue.service_ = service;
    queue.max_attempts_ = 1000;
    config->queues_.push_back(queue);
  }
  config_ = config;
  machines_.resize(static_cast<std::size_t>(Between(3, 4)));
  workers_.resize(static_cast<std::size_t>(Between(4, 6)));
  const auto max_hold_ms = Chance(0.5) ? 6000 : 10000;
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    workers_[i].entry_.service_ = services_[i % 2];
    workers_[i].entry_.address_ = std::to_string(i);
    workers_[i].max_hold_ms_ = max_hold_ms;
    workers_[i].gap_ = options_.gap_;
    BeginLife(static_cast<int>(i), true);
  }
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    auto& machine = machines_[i];
    const auto number = static_cast<int>(i);
    machine.loop_ = std::make_unique<uv_loop_t>();
    uv_loop_init(machine.loop_.get());
    machine.store_ = std::make_unique<OwnershipStore>(this, number);
    machine.gateway_ = std::make_unique<OwnershipGateway>(this, number);
    machine.peer_links_.resize(machines_.size());
    machine.worker_links_.resize(workers_.size());
    machine.config_ = config_;
    BeginProcess(number);
  }
  next_submit_ms_ = began_ms_ + 1000;
  next_fault_ms_ = began_ms_ + kFaultsBeginMs;
  tick_ = std::make_unique<RepeatingTimer>(&loop_, kTickMs, [this] { Tick(); });
}

OwnershipWorld::~OwnershipWorld() {
  for (auto& machine : machines_) {
    uv_loop_close(machine.loop_.get());
  }
  uv_loop_close(&loop_);
}

auto OwnershipWorld::Stop() -> void {
  *is_alive_ = false;
  tick_.reset();
  for (auto& machine : machines_) {
    machine.frozen_until_ms_ = 0;
    machine.process_.reset();
  }
}

auto OwnershipWorld::NextTimeoutMs() -> std::optional<Millis> {
  std::optional<Millis> next;
  for (auto* loop : AwakeLoops()) {
    uv_update_time(loop);
    if (uv_loop_alive(loop) != 0) {
      const auto timeout_ms = std::max<Millis>(0, uv_backend_timeout(loop));
      next = std::min(next.value_or(timeout_ms), timeout_ms);
    }
  }
  return next;
}

auto OwnershipWorld::Run() -> void {
  for (auto* loop : AwakeLoops()) {
    uv_run(loop, UV_RUN_NOWAIT);
  }
}

auto OwnershipWorld::AwakeLoops() -> std::vector<uv_loop_t*> {
  std::vector<uv_loop_t*> loops = {&loop_};
  for (auto& machine : machines_) {
    if (BootMs() >= machine.frozen_until_ms_) {
      loops.push_back(machine.loop_.get());
    }
  }
  return loops;
}

auto OwnershipWorld::Chance(double probability) -> bool {
  return static_cast<double>(random_() % 1000000) < probability * 1e6;
}

auto OwnershipWorld::Between(int low, int high) -> int {
  return low +
         static_cast<int>(random_() % static_cast<unsigned>(high - low + 1));
}

auto OwnershipWorld::LaterOn(uv_loop_t* loop, Millis delay_ms,
                             std::function<void()> action) -> void {
  // A loop that stands still has an old time.
  uv_update_time(loop);
  RunAfter(loop, std::max<Millis>(0, delay_ms),
           [action = std::move(action), alive = is_alive_] {
             if (*alive) {
               action();
             }
           });
}

auto OwnershipWorld::Later(Millis delay_ms, std::function<void()> action)
    -> void {
  LaterOn(&loop_, delay_ms, std::move(action));
}

auto OwnershipWorld::LaterAt(int instance, Millis delay_ms,
                             std::function<void()> action) -> void {
  LaterOn(machine(instance).loop_.get(), delay_ms, std::move(action));
}

auto OwnershipWorld::LaterInProcess(int instance, Millis delay_ms,
                                    std::function<void()> action) -> void {
  LaterAt(instance, delay_ms,
          [this, instance, process = machine(instance).process_number_,
           action = std::move(action)] {
            if (machine(instance).process_number_ == process) {
              action();
            }
          });
}

auto OwnershipWorld::ParseEntry(const std::string& text) const -> WorkerEntry {
  return entries_[static_cast<std::size_t>(std::stoi(text))];
}

auto OwnershipWorld::SendPeer(int from, int to, PeerHandler handle,
                              PeerCallback callback) -> void {
  const auto answer = [this, from, process = machine(from).process_number_,
                       is_answered = std::make_shared<bool>(false),
                       callback](Millis delay_ms, PeerOutcome outcome) {
    LaterAt(from, delay_ms,
            [this, from, process, is_answered, callback, outcome] {
              if (!std::exchange(*is_answered, true) &&
                  machine(from).process_number_ == process) {
                callback(outcome);
              }
            });
  };
  const auto link = [this, from, to]() -> const OwnershipLink& {
    return machine(from).peer_links_[static_cast<std::size_t>(to)];
  };
  answer(kPeerTimeoutMs, PeerOutcome::kNoAnswer);
  if (link().IsSilent()) {
    return;
  }
  if (link().IsRefused() || machine(to).process_ == nullptr) {
    answer(Between(1, 4), PeerOutcome::kRefused);
    return;
  }
  const auto delay_ms = Chance(0.03) ? Between(50, 600) : Between(1, 9);
  LaterAt(to, delay_ms, [this, to, handle, answer, link] {
    if (machine(to).process_ == nullptr) {
      answer(1, PeerOutcome::kRefused);
      return;
    }
    const auto is_accepted = handle(*machine(to).process_);
    if (link().IsOpen()) {
      answer(Between(1, 9),
             is_accepted ? PeerOutcome::kAccepted : PeerOutcome::kRejected);
    }
  });
}

auto OwnershipWorld::BeginProcess(int instance) -> void {
  auto& machine = this->machine(instance);
  ++machine.process_number_;
  machine.config_ = config_;
  uv_update_time(machine.loop_.get());
  machine.process_ = std::make_unique<OwnershipInstance>(this, instance);
}

auto OwnershipWorld::EndProcess(int instance, Millis restart_after_ms) -> void {
  auto& machine = this->machine(instance);
  if (machine.process_ == nullptr) {
    return;
  }
  machine.process_.reset();
  // Also tells the callbacks of this process that it has gone.
  ++machine.process_number_;
  machine.frozen_until_ms_ = 0;
  Later(restart_after_ms, [this, instance] { BeginProcess(instance); });
}

auto OwnershipWorld::BeginLife(int number, bool is_new_id) -> void {
  auto& worker = this->worker(number);
  const auto old = std::exchange(worker, OwnershipWorker{});
  worker.entry_ = old.entry_;
  worker.max_hold_ms_ = old.max_hold_ms_;
  worker.gap_ = old.gap_;
  worker.life_ = old.life_ + 1;
  worker.silent_until_ms_ = old.silent_until_ms_;
  worker.late_orders_until_ms_ = old.late_orders_until_ms_;
  if (is_new_id) {
    worker.entry_.id_ = fmt::format("w{}-{}", number, next_id_++);
  }
  worker.entry_.is_draining_ = false;
  last_born_ms_ = std::max(WallMs(), last_born_ms_ + 1);
  worker.entry_.incarnation_ = last_born_ms_;
  worker.entry_.capacity_ = {0, 8000, 65536, 0};
  worker.life_began_ms_ = BootMs();
  worker.clock_start_ms_ = Between(1, 300);
  worker.clock_rate_ = 0.98 + 0.01 * Between(0, 2);
  WriteEntry(worker);
}

auto OwnershipWorld::EndLife(OwnershipWorker& worker) -> void {
  Advance(worker);
  worker.is_up_ = false;
  worker.running_.clear();
}

auto OwnershipWorld::WriteEntry(OwnershipWorker& worker) -> void {
  entries_.push_back(worker.entry_);
  worker.last_beat_ms_ = BootMs();
  records_.Put(kWorkerPrefix + worker.entry_.id_,
               std::to_string(entries_.size() - 1));
}

auto OwnershipWorld::Advance(OwnershipWorker& worker) -> void {
  if (!worker.is_up_) {
    return;
  }
  std::vector<std::pair<std::string, RunEnd>> over;
  const auto is_lapsed = worker.ClockMs() > worker.deadline_ms_ &&
                         worker.gap_ != OwnershipGap::kLeaseExpiry;
  for (const auto& [task, run] : worker.running_) {
    if (is_lapsed) {
      over.emplace_back(task, RunEnd::kLapsed);
    } else if (BootMs() >= run.ends_ms_) {
      over.emplace_back(task, run.end_);
    }
  }
  for (const auto& [task, end] : over) {
    EndRun(worker, task, end);
  }
  if (is_lapsed) {
    for (const auto& end : worker.ended_) {
      for (auto& done : done_ends_[end.run_.task_]) {
        if (done.worker_ == worker.entry_.id_ && done.life_ == worker.life_ &&
            done.number_ == end.number_) {
          done.is_lapsed_ = true;
        }
      }
    }
  }
}

auto OwnershipWorld::EndRun(OwnershipWorker& worker, const std::string& task,
                            RunEnd end) -> void {
  const auto run = worker.running_.at(task);
  worker.running_.erase(task);
  auto& closed = worker.closed_runs_[task];
  closed = std::max(closed, run.run_);
  worker.ended_.push_back({worker.next_end_, {task, run.run_}, end, ""});
  if (end == RunEnd::kDone) {
    done_ends_[task].push_back({worker.entry_.id_, worker.life_,
                                worker.next_end_, run.run_, BootMs()});
  }
  ++worker.next_end_;
}

auto OwnershipWorld::Acknowledge(OwnershipWorker& worker, std::int64_t number)
    -> void {
  while (!worker.ended_.empty() && worker.ended_.front().number_ <= number) {
    const auto end = worker.ended_.front();
    worker.ended_.erase(worker.ended_.begin());
    for (auto& done : done_ends_[end.run_.task_]) {
      if (done.worker_ != worker.entry_.id_ || done.life_ != worker.life_ ||
          done.number_ != end.number_ || done.is_lapsed_) {
        continue;
      }
      done.is_acknowledged_ = true;
      for (const auto& start : starts_of_[end.run_.task_]) {
        if (start.at_ms_ > done.ended_ms_) {
          Violate(end.run_.task_,
                  fmt::format("end done of run {} on {} at {} acknowledged "
                              "now, run {} started on {} at {}",
                              done.run_, done.worker_, Elapsed(done.ended_ms_),
                              start.run_, start.worker_, Elapsed(start.at_ms_)),
                  done.ended_ms_);
        }
      }
    }
  }
}

auto OwnershipWorld::BeginRun(OwnershipWorker& worker, const RunRef& ref)
    -> void {
  ++starts_;
  const auto now = BootMs();
  for (auto& other : workers_) {
    Advance(other);
    const auto it = other.running_.find(ref.task_);
    if (it != other.running_.end()) {
      Violate(ref.task_,
              fmt::format("runs twice: run {} on {} since {} (lease {} ms "
                          "left), run {} on {} now",
                          it->second.run_, other.entry_.id_,
                          Elapsed(it->second.began_ms_),
                          other.deadline_ms_ - other.ClockMs(), ref.run_,
                          worker.entry_.id_),
              it->second.began_ms_);
    }
  }
  for (const auto& done : done_ends_[ref.task_]) {
    if (done.is_acknowledged_) {
      Violate(ref.task_,
              fmt::format("run {} starts on {} after the acknowledged end done "
                          "of run {} on {} at {}",
                          ref.run_, worker.entry_.id_, done.run_, done.worker_,
                          Elapsed(done.ended_ms_)),
              done.ended_ms_);
    }
  }
  starts_of_[ref.task_].push_back({worker.entry_.id_, ref.run_, now});
  const auto id = *TaskId::FromString(ref.task_);
  const auto& step =
      jobs_.at(id.job_).steps_[static_cast<std::size_t>(id.step_)];
  OwnershipWorker::Run run;
  run.run_ = ref.run_;
  run.began_ms_ = now;
  run.ends_ms_ = now + step.estimate_ms_ * Between(60, 180) / 100;
  if (step.is_long_running_) {
    run.ends_ms_ = now + (Chance(0.3) ? Between(2000, 20000) : kNeverMs);
    run.end_ = RunEnd::kFailed;
  } else if (Chance(0.05)) {
    run.end_ = RunEnd::kFailed;
  }
  worker.running_[ref.task_] = run;
}

auto OwnershipWorld::Violate(const std::string& task, const std::string& text,
                             Millis since_ms) -> void {
  if (!reported_.insert(task).second) {
    return;
  }
  // What was wrong some time before the first run counts too.
  constexpr Millis kHistoryMs = 9000;
  std::string faults;
  for (const auto& fault : faults_) {
    if (fault.until_ms_ > since_ms - kHistoryMs) {
      faults += fmt::format(" {}({}-{})", fault.text_, Elapsed(fault.from_ms_),
                            Elapsed(fault.until_ms_));
    }
  }
  violations_.push_back(fmt::format("seed {} at {} ms: {} {}; faults:{}",
                                    options_.seed_, Elapsed(BootMs()), task,
                                    text, faults));
}

auto OwnershipWorld::NoteFault(OwnershipFault fault, const std::string& target,
                               Millis until_ms) -> void {
  faults_.push_back({fmt::format("{}:{}", OwnershipFaultName(fault), target),
                     BootMs(), until_ms});
}

auto OwnershipWorld::FaultTarget() -> int {
  const auto drawn = Between(0, static_cast<int>(machines_.size()) - 1);
  if (!Chance(0.6)) {
    return drawn;
  }
  auto target = drawn;
  std::int64_t highest_epoch = 0;
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    auto* process = machines_[i].process_.get();
    if (process != nullptr && process->dispatcher() != nullptr &&
        process->dispatcher()->token() > highest_epoch) {
      highest_epoch = process->dispatcher()->token();
      target = static_cast<int>(i);
    }
  }
  return target;
}

// Instances and workers of the second group reach no one of the first.
auto OwnershipWorld::Split(int target, Millis until_ms) -> void {
  std::vector<bool> is_second(machines_.size());
  std::vector<bool> is_worker_second(workers_.size());
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    is_second[i] = static_cast<int>(i) == target || Chance(0.4);
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    is_worker_second[i] = Chance(0.5);
  }
  const auto store = Between(0, 2);
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    for (std::size_t j = 0; j < machines_.size(); ++j) {
      if (is_second[i] != is_second[j]) {
        machines_[i].peer_links_[j].silent_until_ms_ = until_ms;
      }
    }
    for (std::size_t j = 0; j < workers_.size(); ++j) {
      if (is_second[i] != is_worker_second[j]) {
        machines_[i].worker_links_[j].silent_until_ms_ = until_ms;
      }
    }
    if (is_second[i] && store == 1) {
      machines_[i].store_link_.silent_until_ms_ = until_ms;
    } else if (is_second[i] && store == 2) {
      machines_[i].store_link_.refused_until_ms_ = until_ms;
    }
  }
  std::string text = store == 0   ? "store-open,"
                     : store == 1 ? "store-silent,"
                                  : "store-refuses,";
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    text += is_second[i] ? fmt::format("i-{},", i) : "";
  }
  for (std::size_t i = 0; i < workers_.size(); ++i) {
    text += is_worker_second[i] ? fmt::format("w{},", i) : "";
  }
  NoteFault(OwnershipFault::kSplit, text, until_ms);
}

// The owner reaches the store, whose watch does not answer it, and some of the
// workers; the others reach the store and some other workers.
auto OwnershipWorld::Contest(int target, Millis until_ms) -> void {
  const auto is_refused = Chance(0.6);
  std::string text =
      fmt::format("i-{},{}", target, is_refused ? "refused," : "silent,");
  for (std::size_t i = 0; i < machines_.size(); ++i) {
    const auto owner = static_cast<std::size_t>(target);
    for (auto* link :
         {&machines_[i].peer_links_[owner], &machines_[owner].peer_links_[i]}) {
      (is_refused ? link->refused_until_ms_ : link->silent_until_ms_) =
          until_ms;
    }
  }
  for (std::size_t j = 0; j < workers_.size(); ++j) {
    const auto cut = Between(0, 2);
    text += cut == 1 ? fmt::format("-w{},", j) : "";
    text += cut == 2 ? fmt::format("+w{},", j) : "";
    for (std::size_t i = 0; i < machines_.size(); ++i) {
      if (cut != 0 && (cut == 1) == (static_cast<int>(i) == target)) {
        machines_[i].worker_links_[j].silent_until_ms_ = until_ms;
      }
    }
  }
  Later(Between(0, 600), [this, target] {
    machine(target).deaf_until_ms_ = BootMs() + Between(500, kMaxDeafMs);
  });
  NoteFault(OwnershipFault::kContestedOwner, text, until_ms);
  if (options_.faults_.contains(OwnershipFault::kWorkerRebirth) &&
      Chance(0.5)) {
    Later(Between(500, 3000),
          [this] { CauseFault(OwnershipFault::kWorkerRebirth); });
  }
}

auto OwnershipWorld::CauseFault(OwnershipFault fault) -> void {
  const auto now = BootMs();
  const auto until = now + Between(300, 9000);
  const auto target = FaultTarget();
  const auto peer = Between(0, static_cast<int>(machines_.size()) - 1);
  // Several faults of one worker show more than one each of several.
  if (Chance(0.3)) {
    focus_ = Between(0, static_cast<int>(workers_.size()) - 1);
  }
  const auto number = focus_;
  auto& machine = this->machine(target);
  auto& worker = this->worker(number);
  const auto instance_name = fmt::format("i-{}", target);
  const auto worker_name = worker.entry_.id_;
  switch (fault) {
    case OwnershipFault::kStoreSilence:
    case OwnershipFault::kStoreRefusal: {
      // The store may turn away several instances at a time.
      const auto others = Chance(0.5) ? 0.7 : 0.0;
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        if (static_cast<int>(i) == target || Chance(others)) {
          auto& link = machines_[i].store_link_;
          (fault == OwnershipFault::kStoreSilence ? link.silent_until_ms_
                                                  : link.refused_until_ms_) =
              until;
          NoteFault(fault, fmt::format("i-{}", i), until);
        }
      }
      break;
    }
    case OwnershipFault::kDeafWatch:
      machine.deaf_until_ms_ = now + Between(500, kMaxDeafMs);
      NoteFault(fault, instance_name, machine.deaf_until_ms_);
      break;
    case OwnershipFault::kLateTransaction:
      machine.late_transactions_until_ms_ = until;
      NoteFault(fault, instance_name, until);
      break;
    case OwnershipFault::kLateStore:
      machine.late_store_until_ms_ = until;
      NoteFault(fault, instance_name, until);
      break;
    case OwnershipFault::kPeerSilence:
    case OwnershipFault::kPeerRefusal: {
      auto& there = machine.peer_links_[static_cast<std::size_t>(peer)];
      auto& back =
          this->machine(peer).peer_links_[static_cast<std::size_t>(target)];
      if (fault == OwnershipFault::kPeerSilence) {
        there.silent_until_ms_ = until;
        back.silent_until_ms_ = until;
      } else {
        there.refused_until_ms_ = until;
        back.refused_until_ms_ = until;
      }
      NoteFault(fault, fmt::format("{}/i-{}", instance_name, peer), until);
      break;
    }
    case OwnershipFault::kWorkerCut:
      machine.worker_links_[static_cast<std::size_t>(number)].silent_until_ms_ =
          until;
      NoteFault(fault, fmt::format("{}/{}", instance_name, worker_name), until);
      break;
    case OwnershipFault::kSplit:
      Split(target, until);
      break;
    case OwnershipFault::kContestedOwner:
      Contest(target, until);
      break;
    case OwnershipFault::kInstanceKill:
      NoteFault(fault, instance_name, now);
      EndProcess(target, Between(200, 5000));
      if (Chance(0.4)) {
        // Two take-overs in quick succession.
        Later(Between(300, 3000), [this, fault] {
          const auto next = FaultTarget();
          NoteFault(fault, fmt::format("i-{}", next), BootMs());
          EndProcess(next, Between(200, 5000));
        });
      }
      break;
    case OwnershipFault::kInstanceFreeze:
      machine.frozen_until_ms_ = until;
      NoteFault(fault, instance_name, until);
      break;
    case OwnershipFault::kHandOver: {
      if (machine.process_ == nullptr) {
        break;
      }
      NoteFault(fault, instance_name, now + 3000);
      LaterInProcess(target, 0, [this, target] {
        this->machine(target).process_->Drain();
      });
      Later(Between(1300, 3500),
            [this, target, process = machine.process_number_] {
              if (this->machine(target).process_number_ == process) {
                EndProcess(target, Between(200, 2000));
              }
            });
      break;
    }
    case OwnershipFault::kWorkerRebirth:
    case OwnershipFault::kWorkerNewId:
      if (worker.is_up_ && !worker.entry_.is_draining_) {
        const auto is_new_id = fault == OwnershipFault::kWorkerNewId;
        const auto down_ms = Between(5, Chance(0.5) ? 300 : 5000);
        NoteFault(fault, worker_name, now + down_ms);
        EndLife(worker);
        Later(down_ms,
              [this, number, is_new_id] { BeginLife(number, is_new_id); });
      }
      break;
    case OwnershipFault::kWorkerDrain:
      if (worker.is_up_ && !worker.entry_.is_draining_) {
        const auto drain_ms = Between(4000, 20000);
        NoteFault(fault, worker_name, now + drain_ms);
        worker.entry_.is_draining_ = true;
        WriteEntry(worker);
        Later(drain_ms, [this, number, life = worker.life_] {
          auto& leaving = this->worker(number);
          if (leaving.life_ != life || !leaving.is_up_) {
            return;
          }
          EndLife(leaving);
          records_.Remove(kWorkerPrefix + leaving.entry_.id_);
          Later(Between(500, 3000),
                [this, number] { BeginLife(number, true); });
        });
      }
      break;
    case OwnershipFault::kEntryLoss:
      worker.entry_lost_until_ms_ = until + 4000;
      NoteFault(fault, worker_name, until + 4000);
      break;
    case OwnershipFault::kWorkerSilence:
      worker.silent_until_ms_ = until;
      NoteFault(fault, worker_name, until);
      break;
    case OwnershipFault::kLateOrders:
      worker.late_orders_until_ms_ = until;
      // Orders are carried out until 12 s after they were sent.
      NoteFault(fault, worker_name, until + 12000);
      break;
    case OwnershipFault::kLateAnswers:
      worker.late_answers_until_ms_ = until;
      NoteFault(fault, worker_name, until);
      break;
    case OwnershipFault::kServiceChange: {
      auto changed = std::make_shared<FleetConfig>(*config_);
      std::swap(changed->queues_[0].service_, changed->queues_[1].service_);
      config_ = changed;
      NoteFault(fault, "all", now);
      for (std::size_t i = 0; i < machines_.size(); ++i) {
        LaterAt(static_cast<int>(i), Between(10, 2000),
                [this, i, changed] { machines_[i].config_ = changed; });
      }
      break;
    }
  }
}

auto OwnershipWorld::Submit() -> void {
  next_submit_ms_ += Between(200, 600);
  const auto id = fmt::format("{:016x}", jobs_.size() + 1);
  auto& record = jobs_[id];
  record.id_ = id;
  record.queue_ = Chance(0.5) ? "qa" : "qb";
  record.accepted_ms_ = WallMs();
  Step step;
  step.demand_ = {0, 1000, 1000, 0};
  step.is_long_running_ = jobs_.size() <= kLongJobs;
  step.count_ = step.is_long_running_ ? 2 : Between(1, 3);
  step.estimate_ms_ = Chance(0.3) ? Between(2000, 6000) : Between(200, 2000);
  record.steps_.push_back(step);
  const auto revision = records_.Put(JobKey(id), EncodeJob(record));
  const auto instance = Between(0, static_cast<int>(machines_.size()) - 1);
  if (Chance(0.8)) {
    LaterAt(instance, Between(1, 9), [this, instance, record, revision] {
      if (machine(instance).process_ != nullptr) {
        machine(instance).process_->NotifyJob(record, revision);
      }
    });
  }
}

auto OwnershipWorld::Tick() -> void {
  const auto now = BootMs();
  const auto elapsed = now - began_ms_;
  records_.EndExpiredLeases();
  for (auto& worker : workers_) {
    Advance(worker);
    const auto key = kWorkerPrefix + worker.entry_.id_;
    const auto age_ms = now - worker.last_beat_ms_;
    if (worker.is_up_ && age_ms >= kHeartbeatMs &&
        now >= worker.entry_lost_until_ms_) {
      WriteEntry(worker);
    } else if (age_ms >= 3 * kHeartbeatMs && records_.Get(key) != nullptr) {
      records_.Remove(key);
    }
  }
  if (elapsed < kFaultsEndMs && now >= next_submit_ms_) {
    Submit();
  }
  if (elapsed < kFaultsEndMs && now >= next_fault_ms_ &&
      !options_.faults_.empty()) {
    next_fault_ms_ =
        now + (Chance(0.7) ? Between(50, 1500) : Between(3000, 9000));
    auto it = options_.faults_.begin();
    std::advance(it, Between(0, static_cast<int>(options_.faults_.size()) - 1));
    CauseFault(*it);
  }
  is_finished_ = elapsed > kEndMs;
}

}  // namespace lentilscale::fleet
