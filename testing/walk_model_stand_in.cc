// Answers come after a random delay of some milliseconds, so that calls
// overtake each other. Lost writes and orders are carried out never, at once or
// later.

#include <fmt/format.h>

#include <algorithm>

#include "fleet/store_keys.h"
#include "testing/walk_stand_in.h"

namespace lentilscale::fleet {
namespace {

// A caller waits this long for an answer.
constexpr Millis kCallTimeoutMs = 60;

}  // namespace

auto ModelStore::Put(const std::string& key, const std::string& value)
    -> std::int64_t {
  records_[key] = {key, value, ++revision_};
  return revision_;
}

auto ModelStore::Get(const std::string& key) const -> std::string {
  const auto it = records_.find(key);
  return it == records_.end() ? "" : it->second.value_;
}

auto ModelStore::Look(const std::string& prefix, std::int64_t after) const
    -> ReadResult {
  ReadResult result;
  result.status_ = StoreStatus::kOk;
  result.revision_ = revision_;
  for (const auto& [key, record] : records_) {
    if (key.starts_with(prefix) && record.revision_ > after) {
      result.records_.push_back(record);
    }
  }
  return result;
}

auto ModelStore::Read(const std::string& key, ReadCallback callback) -> void {
  world_->Later(world_->Between(0, 8), [this, key, sent_ms = BootMs(),
                                        callback = std::move(callback)] {
    ReadResult result;
    result.sent_ms_ = sent_ms;
    if (!is_down_) {
      const auto it = records_.find(key);
      const auto is_hidden = key == kWorkersKey &&
                             world_->left_out() == LeftOut::kUnclaimedWorkers;
      result.revision_ = revision_;
      result.status_ = StoreStatus::kAbsent;
      if (it != records_.end() && !is_hidden) {
        result.status_ = StoreStatus::kOk;
        result.records_ = {it->second};
      }
    }
    callback(result);
  });
}

auto ModelStore::ReadPrefix(const std::string& prefix, ReadCallback callback)
    -> void {
  world_->Later(world_->Between(0, 8), [this, prefix, sent_ms = BootMs(),
                                        callback = std::move(callback)] {
    ReadResult result;
    if (!is_down_) {
      result = Look(prefix, 0);
    }
    result.sent_ms_ = sent_ms;
    callback(result);
  });
}

auto ModelStore::PollWatch(const std::string& prefix, std::int64_t after,
                           Millis until_ms, ReadCallback callback) -> void {
  ReadResult result;
  if (!is_down_) {
    result = Look(prefix, after);
    if (result.records_.empty() && MonotonicMs() < until_ms) {
      world_->Later(
          10, [this, prefix, after, until_ms, callback = std::move(callback)] {
            PollWatch(prefix, after, until_ms, callback);
          });
      return;
    }
  }
  callback(result);
}

auto ModelStore::Watch(const std::string& prefix, std::int64_t after_revision,
                       Millis wait_ms, ReadCallback callback) -> void {
  world_->Later(world_->Between(0, 8), [this, prefix, after_revision,
                                        until_ms = MonotonicMs() + wait_ms,
                                        callback = std::move(callback)] {
    PollWatch(prefix, after_revision, until_ms, callback);
  });
}

auto ModelStore::Apply(const Transaction& transaction) -> CommitResult {
  CommitResult result;
  for (const auto& condition : transaction.conditions_) {
    const auto it = records_.find(condition.key_);
    const auto revision = it == records_.end() ? 0 : it->second.revision_;
    if (revision != condition.revision_ &&
        world_->left_out() != LeftOut::kConditions) {
      result.status_ = StoreStatus::kConflict;
    }
    if (it != records_.end()) {
      result.current_.push_back(it->second);
    }
  }
  if (result.status_ == StoreStatus::kConflict) {
    return result;
  }
  ++revision_;
  for (const auto& put : transaction.puts_) {
    records_[put.key_] = {put.key_, put.value_, revision_};
  }
  for (const auto& key : transaction.deletes_) {
    records_.erase(key);
  }
  result.status_ = StoreStatus::kOk;
  result.revision_ = revision_;
  return result;
}

auto ModelStore::Commit(const Transaction& transaction, CommitCallback callback)
    -> void {
  const auto is_lost = loses_answers_ && world_->Chance(0.4);
  const auto is_late = is_lost && world_->Chance(0.5);
  const auto delay =
      is_late ? world_->Between(100, 400) : world_->Between(1, 8);
  if (is_lost) {
    world_->Later(kCallTimeoutMs, [callback] {
      CommitResult result;
      result.status_ = StoreStatus::kUnknown;
      callback(result);
    });
  }
  world_->Later(delay, [this, transaction, is_lost, callback] {
    CommitResult result;
    if (!is_down_) {
      result = Apply(transaction);
    }
    if (!is_lost) {
      callback(result);
    }
  });
}

// An order goes to the life of the worker that it was sent to: a connection
// ends with the life.
auto ModelGateway::Deliver(const std::string& worker_id,
                           std::function<OrderResult(ModelWorker&)> order,
                           OrderCallback on_result) -> void {
  const auto callback = [on_result = std::move(on_result),
                         sent_ms = BootMs()](OrderResult result) {
    result.sent_ms_ = sent_ms;
    on_result(result);
  };
  auto& worker = world_->worker(worker_id);
  if (worker.is_down_) {
    world_->Later(1, [callback] { callback({WorkerStatus::kNotSent, 0}); });
    return;
  }
  const auto born_ms = worker.born_ms_;
  const auto is_lost =
      worker.is_cut_ || (worker.is_lossy_ && world_->Chance(0.5));
  if (!is_lost) {
    world_->Later(world_->Between(0, 10),
                  [this, worker_id, born_ms, order, callback] {
                    auto& target = world_->worker(worker_id);
                    auto result = OrderResult{WorkerStatus::kUnknown, 0};
                    if (!target.is_down_ && target.born_ms_ == born_ms) {
                      result = order(target);
                    }
                    world_->Later(world_->Between(0, 10),
                                  [callback, result] { callback(result); });
                  });
    return;
  }
  // Some orders that got no answer are carried out, at once or later.
  if (world_->Chance(0.6)) {
    world_->Later(world_->Between(0, 600), [this, worker_id, born_ms, order] {
      auto& target = world_->worker(worker_id);
      if (!target.is_down_ && target.born_ms_ == born_ms) {
        order(target);
      }
    });
  }
  world_->Later(kCallTimeoutMs, [callback] {
    callback({WorkerStatus::kUnknown, 0});
  });
}

auto ModelGateway::Start(const WorkerEntry& worker, const StartOrder& order,
                         OrderCallback callback) -> void {
  Deliver(
      worker.id_,
      [this, order](ModelWorker& target) -> OrderResult {
        const auto clock = target.ClockMs();
        if (order.fencing_token_ < target.token_ &&
            world_->left_out() != LeftOut::kFencing) {
          return {WorkerStatus::kFenced, clock};
        }
        target.token_ = std::max(target.token_, order.fencing_token_);
        if (order.worker_lease_end_ms_ <= clock) {
          return {WorkerStatus::kLeaseExpired, clock};
        }
        target.TakeLease(order.worker_lease_end_ms_);
        const auto& task = order.run_.task_;
        if (const auto it = target.running_.find(task);
            it != target.running_.end()) {
          return {it->second.run_ == order.run_.run_ ? WorkerStatus::kOk
                                                     : WorkerStatus::kStaleRun,
                  clock};
        }
        if (const auto it = target.closed_runs_.find(task);
            it != target.closed_runs_.end() && it->second >= order.run_.run_) {
          return {WorkerStatus::kStaleRun, clock};
        }
        world_->OnStart(target, order.run_, order.fencing_token_);
        target.running_[task] = {
            order.run_.run_, MonotonicMs() + world_->TaskMs(),
            world_->Chance(0.06) ? RunEnd::kFailed : RunEnd::kDone};
        return {WorkerStatus::kOk, clock};
      },
      std::move(callback));
}

auto ModelGateway::Stop(const WorkerEntry& worker, const RunRef& run,
                        std::int64_t fencing_token, OrderCallback callback)
    -> void {
  if (world_->left_out() == LeftOut::kAnsweredStop) {
    world_->Later(1, [callback] { callback({WorkerStatus::kOk, 0}); });
    return;
  }
  Deliver(
      worker.id_,
      [this, run, fencing_token](ModelWorker& target) -> OrderResult {
        const auto clock = target.ClockMs();
        if (fencing_token < target.token_ &&
            world_->left_out() != LeftOut::kFencing) {
          return {WorkerStatus::kFenced, clock};
        }
        target.token_ = std::max(target.token_, fencing_token);
        world_->Tell(run.task_,
                     fmt::format("run {} is stopped on {}, token {}", run.run_,
                                 target.id_, fencing_token));
        auto& closed = target.closed_runs_[run.task_];
        closed = std::max(closed, run.run_);
        const auto it = target.running_.find(run.task_);
        if (it != target.running_.end() && it->second.run_ <= run.run_) {
          it->second.end_ = RunEnd::kStopped;
          it->second.ends_ms_ =
              MonotonicMs() +
              world_->Between(0, static_cast<int>(kModelStopMs) / 2);
        }
        return {WorkerStatus::kOk, clock};
      },
      std::move(callback));
}

auto ModelGateway::PollHold(const std::string& worker_id, std::int64_t born_ms,
                            const HoldOrder& order, Millis sent_ms,
                            Millis until_ms, HoldCallback callback) -> void {
  auto& target = world_->worker(worker_id);
  const auto is_over = target.is_down_ || target.born_ms_ != born_ms;
  if (target.is_cut_ || is_over) {
    world_->Later(is_over ? 1 : kCallTimeoutMs, [callback] {
      HoldResult result;
      result.status_ = WorkerStatus::kUnknown;
      callback(result);
    });
    return;
  }
  if (target.ended_.empty() && MonotonicMs() < until_ms) {
    world_->Later(5, [this, worker_id, born_ms, order, sent_ms, until_ms,
                      callback = std::move(callback)] {
      PollHold(worker_id, born_ms, order, sent_ms, until_ms, callback);
    });
    return;
  }
  HoldResult result;
  result.status_ = WorkerStatus::kOk;
  result.incarnation_ = target.born_ms_;
  result.connection_ = target.born_ms_;
  result.worker_clock_ms_ = target.ClockMs();
  result.sent_ms_ = sent_ms;
  result.ended_ = target.ended_;
  for (const auto& [task, run] : target.running_) {
    result.running_.push_back({{task, run.run_}, "", 0, 0});
  }
  if (world_->left_out() == LeftOut::kRecordFirst) {
    for (const auto& end : target.ended_) {
      world_->OnAcknowledged(target, end);
    }
    target.ended_.clear();
  }
  if (target.is_lossy_ && world_->Chance(0.3)) {
    result = HoldResult{};
    result.status_ = WorkerStatus::kUnknown;
    world_->Later(kCallTimeoutMs, [callback, result] { callback(result); });
    return;
  }
  world_->Later(world_->Between(0, 10),
                [callback, result] { callback(result); });
}

auto ModelGateway::Hold(const WorkerEntry& worker, const HoldOrder& order,
                        HoldCallback callback) -> void {
  const auto sent_ms = BootMs();
  world_->Later(world_->Between(0, 10), [this, id = worker.id_, order, sent_ms,
                                         callback = std::move(callback)] {
    auto& target = world_->worker(id);
    if (!target.is_cut_ && !target.is_down_) {
      if (order.fencing_token_ > target.token_) {
        world_->Tell(
            "", fmt::format("token {} reaches {}", order.fencing_token_, id));
      }
      if (order.fencing_token_ < target.token_ &&
          world_->left_out() != LeftOut::kFencing) {
        HoldResult result;
        result.status_ = WorkerStatus::kFenced;
        callback(result);
        return;
      }
      target.token_ = std::max(target.token_, order.fencing_token_);
      target.TakeLease(order.worker_lease_end_ms_);
      // A connection ends with the life that accepted it.
      const auto acknowledged_end =
          order.life_connections_.contains(target.born_ms_)
              ? order.acknowledged_end_
              : 0;
      if (acknowledged_end >= target.next_end_) {
        world_->Violate(fmt::format(
            "{} is told to forget end {} before it, token {}{}", id,
            acknowledged_end, order.fencing_token_, world_->FleetStory()));
      }
      while (!target.ended_.empty() &&
             target.ended_.front().number_ <= acknowledged_end) {
        world_->OnAcknowledged(target, target.ended_.front());
        target.ended_.erase(target.ended_.begin());
      }
    }
    PollHold(id, target.born_ms_, order, sent_ms,
             MonotonicMs() + order.wait_ms_, callback);
  });
}

}  // namespace lentilscale::fleet
