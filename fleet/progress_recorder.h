// Writes the progress of jobs into the store, several jobs in one transaction.
//
// Each change of a key gets a version; the key is durable up to the version
// that the store holds:
//
//   const auto version = recorder.MarkDirty(key);
//   ... on_durable(): if (recorder.IsDurable(key, version)) Acknowledge(end);
//
// Every write is conditional on the owner's record, so that an instance that
// lost its rights cannot write, and on the key's last known revision, so that a
// write that is carried out late cannot overwrite a newer one.

#ifndef LENTILSCALE_FLEET_PROGRESS_RECORDER_H_
#define LENTILSCALE_FLEET_PROGRESS_RECORDER_H_

#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fleet/record_store.h"

namespace lentilscale::fleet {

class ProgressRecorder {
 public:
  struct Hooks {
    // Returns the text to store for a key.
    std::function<std::string(const std::string& key)> encode_;
    // These keys are stored as they were when their text was taken.
    std::function<void(const std::vector<std::string>& keys)> on_durable_;
    // Another instance owns the record of the owner.
    std::function<void()> on_deposed_;
  };

  ProgressRecorder(uv_loop_t* loop, RecordStore* store,
                   std::int64_t owner_revision, Hooks hooks);
  ~ProgressRecorder() { *is_alive_ = false; }
  ProgressRecorder(const ProgressRecorder&) = delete;
  auto operator=(const ProgressRecorder&) -> ProgressRecorder& = delete;

  // Notes the revision of a key that the store holds already.
  auto SetRevision(const std::string& key, std::int64_t revision) -> void;
  // Has `key` written; returns the version of the change.
  auto MarkDirty(const std::string& key) -> std::uint64_t;
  auto IsDurable(const std::string& key, std::uint64_t version) const -> bool;
  // Forgets a key that is durable and will not be written again.
  auto Forget(const std::string& key) -> void { keys_.erase(key); }

 private:
  struct KeyState {
    // The store's revision of the key; 0 if it does not exist.
    std::int64_t revision_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t durable_version_ = 0;
    bool is_in_flight_ = false;
  };
  struct Batch {
    std::vector<std::string> keys_;
    std::vector<std::uint64_t> versions_;
  };

  auto Schedule(Millis delay_ms) -> void;
  auto MaxInFlight() const -> int;
  auto Flush() -> void;
  auto OnCommit(const Batch& batch, const CommitResult& result) -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  std::int64_t owner_revision_;
  Hooks hooks_;
  std::uint64_t next_version_ = 1;
  std::map<std::string, KeyState> keys_;
  // Keys whose latest version is neither durable nor in flight.
  std::set<std::string> dirty_;
  int in_flight_ = 0;
  bool is_scheduled_ = false;
  Millis last_flush_ms_ = 0;
  int consecutive_failures_ = 0;
  // No write before this time, after one that failed.
  Millis retry_at_ms_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_PROGRESS_RECORDER_H_
