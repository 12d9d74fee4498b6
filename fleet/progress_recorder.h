// Writes job progress to the store, with several keys in one transaction.
//
// Each change of a key gets a version. The key is durable up to the version
// that the store holds:
//
//   const auto version = recorder.MarkDirty(key);
//   ... on_durable(): if (recorder.IsDurable(key, version)) Acknowledge(end);
//
// Every write is conditional on the revision of the owner record, so that an
// instance that lost ownership cannot write. It is also conditional on the last
// known revision of each key, so that a write that the store executes late
// cannot overwrite a newer one.

#ifndef LENTILSCALE_FLEET_PROGRESS_RECORDER_H_
#define LENTILSCALE_FLEET_PROGRESS_RECORDER_H_

#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/record_store.h"

namespace lentilscale::fleet {

class ProgressRecorder {
 public:
  struct Hooks {
    // Returns the value to store for a key.
    std::function<std::string(const std::string& key)> encode_;
    // Called when the store holds these keys with the values that encode_
    // returned for the write.
    std::function<void(const std::vector<std::string>& keys)> on_durable_;
    // Called when the owner record is no longer this instance's.
    std::function<void()> on_deposed_;
  };

  ProgressRecorder(uv_loop_t* loop, RecordStore* store,
                   std::int64_t owner_revision, Hooks hooks);
  ~ProgressRecorder() { *is_alive_ = false; }
  ProgressRecorder(const ProgressRecorder&) = delete;
  auto operator=(const ProgressRecorder&) -> ProgressRecorder& = delete;

  // Sets the revision of a key as read from the store; 0 if it does not exist.
  auto SetRevision(const std::string& key, std::int64_t revision) -> void;
  // Schedules a write of `key`; returns the version of the change.
  auto MarkDirty(const std::string& key) -> std::uint64_t;
  // Returns true if the store holds `version` of `key` or a later one.
  auto IsDurable(const std::string& key, std::uint64_t version) const -> bool;
  // Drops the state of a key that is durable and will not be written again.
  auto Forget(const std::string& key) -> void { keys_.erase(key); }

 private:
  struct KeyState {
    // Last known revision in the store; 0 if the key does not exist.
    std::int64_t revision_ = 0;
    std::uint64_t version_ = 0;
    std::uint64_t durable_version_ = 0;
    // The first version that no write has been sent with; 0 if there is none.
    std::uint64_t unsent_version_ = 0;
    bool is_in_flight_ = false;
  };
  struct Batch {
    std::vector<std::string> keys_;
    std::vector<std::uint64_t> versions_;
    // The first unsent version of each key when the batch was sent.
    std::vector<std::uint64_t> first_versions_;
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
  // Keys that have a version to write and no write in flight, by their first
  // unsent version. In any other order, keys that change often could keep one
  // that does not from being written.
  std::map<std::uint64_t, std::string> dirty_;
  int in_flight_ = 0;
  bool is_scheduled_ = false;
  Millis last_flush_ms_ = 0;
  int consecutive_failures_ = 0;
  // No write starts before this time, after one that failed.
  Millis retry_at_ms_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_PROGRESS_RECORDER_H_
