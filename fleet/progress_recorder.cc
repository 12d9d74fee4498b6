// Changes are batched for a short time, because each transaction has a cost. A
// few transactions on different keys may be in flight at once: with only one, a
// store latency of a quarter of a second would delay all acknowledgements.

#include "fleet/progress_recorder.h"

#include <algorithm>

#include "fleet/store_keys.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

// Transactions are sent at most 40 times a second. With one transaction each
// time, that is a tenth of the smallest store's rate.
constexpr Millis kMinIntervalMs = 25;
// The pause after a failed write grows by this with each failure in a row.
constexpr Millis kRetryStepMs = 100;
constexpr Millis kMaxRetryMs = 800;
constexpr int kMaxInFlight = 4;
// One entry is the condition on the owner record; each key takes a condition
// and a put.
constexpr std::size_t kKeysPerTransaction = (kMaxTransactionEntries - 1) / 2;

}  // namespace

ProgressRecorder::ProgressRecorder(uv_loop_t* loop, RecordStore* store,
                                   std::int64_t owner_revision, Hooks hooks)
    : loop_(loop),
      store_(store),
      owner_revision_(owner_revision),
      hooks_(std::move(hooks)) {}

auto ProgressRecorder::SetRevision(const std::string& key,
                                   std::int64_t revision) -> void {
  keys_[key].revision_ = revision;
}

auto ProgressRecorder::MarkDirty(const std::string& key) -> std::uint64_t {
  auto& state = keys_[key];
  state.version_ = next_version_++;
  if (state.unsent_version_ == 0) {
    state.unsent_version_ = state.version_;
    if (!state.is_in_flight_) {
      dirty_[state.unsent_version_] = key;
    }
  }
  Schedule(
      std::max<Millis>(0, kMinIntervalMs - (MonotonicMs() - last_flush_ms_)));
  return state.version_;
}

auto ProgressRecorder::IsDurable(const std::string& key,
                                 std::uint64_t version) const -> bool {
  const auto it = keys_.find(key);
  return it != keys_.end() && it->second.durable_version_ >= version;
}

auto ProgressRecorder::Schedule(Millis delay_ms) -> void {
  if (is_scheduled_) {
    return;
  }
  is_scheduled_ = true;
  RunAfter(loop_, delay_ms, [this, alive = is_alive_] {
    if (*alive) {
      is_scheduled_ = false;
      Flush();
    }
  });
}

// While the store fails, transactions are sent one at a time.
auto ProgressRecorder::MaxInFlight() const -> int {
  return consecutive_failures_ == 0 ? kMaxInFlight : 1;
}

auto ProgressRecorder::Flush() -> void {
  const auto pause_ms = retry_at_ms_ - MonotonicMs();
  if (pause_ms > 0) {
    Schedule(pause_ms);
    return;
  }
  while (!dirty_.empty() && in_flight_ < MaxInFlight()) {
    Batch batch;
    Transaction transaction;
    transaction.conditions_.push_back({kOwnerKey, owner_revision_});
    while (!dirty_.empty() && batch.keys_.size() < kKeysPerTransaction) {
      const auto key = dirty_.begin()->second;
      dirty_.erase(dirty_.begin());
      auto& state = keys_[key];
      state.is_in_flight_ = true;
      batch.keys_.push_back(key);
      batch.versions_.push_back(state.version_);
      batch.first_versions_.push_back(state.unsent_version_);
      state.unsent_version_ = 0;
      transaction.conditions_.push_back({key, state.revision_});
      transaction.puts_.push_back({key, hooks_.encode_(key), 0});
    }
    last_flush_ms_ = MonotonicMs();
    ++in_flight_;
    store_->Commit(transaction, [this, batch, alive = is_alive_](
                                    const CommitResult& result) {
      if (*alive) {
        OnCommit(batch, result);
      }
    });
  }
}

auto ProgressRecorder::OnCommit(const Batch& batch, const CommitResult& result)
    -> void {
  --in_flight_;
  const auto is_ok = result.status_ == StoreStatus::kOk;
  auto is_owner = result.status_ != StoreStatus::kConflict;
  std::map<std::string, std::int64_t> current;
  for (const auto& record : result.current_) {
    current[record.key_] = record.revision_;
    is_owner |= record.key_ == kOwnerKey && record.revision_ == owner_revision_;
  }
  if (!is_owner) {
    hooks_.on_deposed_();
    return;
  }
  for (std::size_t i = 0; i < batch.keys_.size(); ++i) {
    auto& state = keys_[batch.keys_[i]];
    state.is_in_flight_ = false;
    if (is_ok) {
      state.revision_ = result.revision_;
      state.durable_version_ = batch.versions_[i];
    } else if (result.status_ == StoreStatus::kConflict) {
      // An earlier write that got no answer was executed after all; the retry
      // is conditional on the revision that it left.
      state.revision_ = current[batch.keys_[i]];
    }
    if (!is_ok) {
      state.unsent_version_ = batch.first_versions_[i];
    }
    if (state.unsent_version_ != 0) {
      dirty_[state.unsent_version_] = batch.keys_[i];
    }
  }
  if (is_ok) {
    consecutive_failures_ = 0;
    if (!dirty_.empty()) {
      Schedule(kMinIntervalMs);
    }
    hooks_.on_durable_(batch.keys_);
    return;
  }
  ++consecutive_failures_;
  LogEvent(Event::kProgressNotRecorded,
           {{"status", StoreStatusName(result.status_)},
            {"keys", std::to_string(batch.keys_.size())},
            {"failures", std::to_string(consecutive_failures_)}});
  const auto pause_ms =
      std::min(kMaxRetryMs, kRetryStepMs * consecutive_failures_);
  retry_at_ms_ = MonotonicMs() + pause_ms;
  Schedule(pause_ms);
}

}  // namespace lentilscale::fleet
