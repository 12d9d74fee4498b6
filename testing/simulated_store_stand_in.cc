// Each call takes as long as one to a store in the same or in another region.

#include "testing/simulated_store_stand_in.h"

#include <algorithm>
#include <utility>

#include "lentilscale/clock.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {

auto SimulatedEvents::Chance(double probability) -> bool {
  return static_cast<double>(random_() % 1000000) < probability * 1e6;
}

auto SimulatedEvents::Between(int low, int high) -> int {
  return low +
         static_cast<int>(random_() % static_cast<unsigned>(high - low + 1));
}

auto SimulatedEvents::Later(Millis delay_ms, std::function<void()> action)
    -> void {
  RunAfter(loop_, delay_ms, [action = std::move(action), alive = is_alive_] {
    if (*alive) {
      action();
    }
  });
}

auto SimulatedStore::Put(const std::string& key, const std::string& value)
    -> std::int64_t {
  records_[key] = {key, value, ++revision_};
  return revision_;
}

auto SimulatedStore::Get(const std::string& key) const -> std::string {
  const auto it = records_.find(key);
  return it == records_.end() ? "" : it->second.value_;
}

auto SimulatedStore::List(const std::string& prefix, std::int64_t after) const
    -> ReadResult {
  ReadResult result;
  result.status_ = StoreStatus::kOk;
  result.revision_ = revision_;
  for (auto it = records_.lower_bound(prefix);
       it != records_.end() && it->first.starts_with(prefix); ++it) {
    if (it->second.revision_ > after) {
      result.records_.push_back(it->second);
    }
  }
  return result;
}

auto SimulatedStore::Read(const std::string& key, ReadCallback callback)
    -> void {
  events_->Later(events_->Between(3, 20), [this, key, sent_ms = BootMs(),
                                           callback = std::move(callback)] {
    ReadResult result;
    if (!is_down_) {
      result.revision_ = revision_;
      const auto it = records_.find(key);
      result.status_ =
          it == records_.end() ? StoreStatus::kAbsent : StoreStatus::kOk;
      if (it != records_.end()) {
        result.records_ = {it->second};
      }
    }
    result.sent_ms_ = sent_ms;
    callback(result);
  });
}

auto SimulatedStore::ReadPrefix(const std::string& prefix,
                                ReadCallback callback) -> void {
  events_->Later(events_->Between(3, 20), [this, prefix, sent_ms = BootMs(),
                                           callback = std::move(callback)] {
    auto result = is_down_ ? ReadResult{} : List(prefix, 0);
    result.sent_ms_ = sent_ms;
    callback(result);
  });
}

auto SimulatedStore::Watch(const std::string& prefix,
                           std::int64_t after_revision, Millis wait_ms,
                           ReadCallback callback) -> void {
  events_->Later(events_->Between(10, 30), [this, prefix, after_revision,
                                            wait_ms,
                                            callback = std::move(callback)] {
    const auto result = is_down_ ? ReadResult{} : List(prefix, after_revision);
    if (result.status_ == StoreStatus::kOk && result.records_.empty() &&
        wait_ms > 0) {
      Watch(prefix, after_revision, wait_ms - 30, callback);
      return;
    }
    callback(result);
  });
}

auto SimulatedStore::Apply(const Transaction& transaction) -> CommitResult {
  CommitResult result;
  result.status_ = StoreStatus::kOk;
  for (const auto& condition : transaction.conditions_) {
    const auto it = records_.find(condition.key_);
    const auto revision = it == records_.end() ? 0 : it->second.revision_;
    if (revision != condition.revision_) {
      result.status_ = StoreStatus::kConflict;
    }
    if (it != records_.end()) {
      result.current_.push_back(it->second);
    }
  }
  if (result.status_ == StoreStatus::kConflict) {
    return result;
  }
  result.revision_ = ++revision_;
  for (const auto& put : transaction.puts_) {
    records_[put.key_] = {put.key_, put.value_, revision_};
  }
  for (const auto& key : transaction.deletes_) {
    records_.erase(key);
  }
  return result;
}

auto SimulatedStore::Commit(const Transaction& transaction,
                            CommitCallback callback) -> void {
  events_->Later(events_->Between(3, 20),
                 [this, transaction, callback = std::move(callback)] {
                   callback(is_down_ ? CommitResult{} : Apply(transaction));
                 });
}

}  // namespace lentilscale::fleet
