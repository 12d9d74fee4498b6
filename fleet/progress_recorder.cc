// One transaction is under way at a time, and the next takes all that became
// dirty meanwhile: the store's latency sets the batch size by itself. A short
// pause between transactions bounds their number, since each is priced.

#include "fleet/progress_recorder.h"

#include <algorithm>

#include "fleet/store_keys.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

// At most 40 transactions a second, a tenth of the smallest store's rate.
constexpr Millis kMinIntervalMs = 25;
constexpr Millis kRetryMs = 100;
constexpr Millis kMaxRetryMs = 800;
// One entry is the condition on the owner, two are needed for each key.
constexpr std::size_t kKeysPerTransaction = (kMaxTransactionEntries - 1) / 2;

}  // namespace

ProgressRecorder::ProgressRecorder(uv_loop_t* loop, RecordStore* store,
                                   std::int64_t owner_revision, Hooks hooks)
    : loop_(loop),
      store_(store),
      owner_revision_(owner_revision),
      hooks_(std::move(hooks)) {}

auto ProgressRecorder::MarkDirty(const std::string& key) -> void {
  dirty_.insert(key);
  if (!is_writing_) {
    const auto since = MonotonicMs() - last_flush_ms_;
    Schedule(std::max<Millis>(0, kMinIntervalMs - since));
  }
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

auto ProgressRecorder::Flush() -> void {
  if (is_writing_ || (dirty_.empty() && queue_.empty())) {
    return;
  }
  if (queue_.empty()) {
    queue_.assign(dirty_.begin(), dirty_.end());
    written_ = queue_;
    dirty_.clear();
    ++generation_;
  }
  last_flush_ms_ = MonotonicMs();
  is_writing_ = true;
  WriteNext();
}

auto ProgressRecorder::WriteNext() -> void {
  const auto count = std::min(queue_.size(), kKeysPerTransaction);
  const std::vector<std::string> keys(
      queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
  Transaction transaction;
  transaction.conditions_.push_back({kOwnerKey, owner_revision_});
  for (const auto& key : keys) {
    transaction.conditions_.push_back({key, hooks_.revision_(key)});
    transaction.puts_.push_back({key, hooks_.text_(key), 0});
  }
  store_->Commit(transaction,
                 [this, keys, alive = is_alive_](const CommitResult& result) {
                   if (*alive) {
                     OnCommit(keys, result);
                   }
                 });
}

auto ProgressRecorder::OnCommit(const std::vector<std::string>& keys,
                                const CommitResult& result) -> void {
  if (result.status_ == StoreStatus::kOk) {
    failures_ = 0;
    for (const auto& key : keys) {
      hooks_.set_revision_(key, result.revision_);
    }
    queue_.erase(queue_.begin(),
                 queue_.begin() + static_cast<std::ptrdiff_t>(keys.size()));
    if (!queue_.empty()) {
      WriteNext();
      return;
    }
    is_writing_ = false;
    if (!dirty_.empty()) {
      Schedule(kMinIntervalMs);
    }
    hooks_.on_durable_(generation_ - 1, written_);
    return;
  }
  is_writing_ = false;
  ++failures_;
  if (result.status_ == StoreStatus::kConflict) {
    auto is_owner = false;
    std::map<std::string, std::int64_t> current;
    for (const auto& record : result.current_) {
      current[record.key_] = record.revision_;
      is_owner |= record.key_ == kOwnerKey &&
                  record.revision_ == owner_revision_;
    }
    if (!is_owner) {
      hooks_.on_deposed_();
      return;
    }
    // An earlier write without an answer was done after all.
    for (const auto& key : keys) {
      hooks_.set_revision_(key, current[key]);
    }
  }
  LogEvent(Event::kProgressNotRecorded,
           {{"status", StoreStatusName(result.status_)},
            {"keys", std::to_string(keys.size())},
            {"failures", std::to_string(failures_)}});
  Schedule(std::min(kMaxRetryMs, kRetryMs * failures_));
}

}  // namespace lentilscale::fleet
