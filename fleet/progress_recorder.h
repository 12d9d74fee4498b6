// Writes the progress of jobs into the store, several jobs in one transaction.
//
// Ends are collected in generations. When a generation is durable, workers may
// forget the ends that belong to it:
//
//   recorder.MarkDirty(job_id);
//   acks.push_back({end.number_, recorder.generation()});
//   ... on_durable(generation): acknowledge all ends up to `generation`
//
// Every write is conditional on the owner's record, so that an instance that
// lost its rights cannot write, and on the record's last known revision, so
// that a write that is carried out late cannot overwrite a newer one.

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
    // Returns the text to store for a key, and its last known revision.
    std::function<std::string(const std::string& key)> text_;
    std::function<std::int64_t(const std::string& key)> revision_;
    // Tells the revision that the store now has for a key.
    std::function<void(const std::string& key, std::int64_t revision)>
        set_revision_;
    // All keys that were dirty up to this generation are stored.
    std::function<void(std::uint64_t generation,
                       const std::vector<std::string>& keys)>
        on_durable_;
    // Another instance owns the record of the owner.
    std::function<void()> on_deposed_;
  };

  ProgressRecorder(uv_loop_t* loop, RecordStore* store,
                   std::int64_t owner_revision, Hooks hooks);
  ~ProgressRecorder() { *is_alive_ = false; }
  ProgressRecorder(const ProgressRecorder&) = delete;
  auto operator=(const ProgressRecorder&) -> ProgressRecorder& = delete;

  // Has `key` written with the next transaction.
  auto MarkDirty(const std::string& key) -> void;
  // The generation that collects what is marked now.
  auto generation() const -> std::uint64_t { return generation_; }
  auto IsIdle() const -> bool { return dirty_.empty() && !is_writing_; }

 private:
  auto Schedule(Millis delay_ms) -> void;
  auto Flush() -> void;
  auto WriteNext() -> void;
  auto OnCommit(const std::vector<std::string>& keys,
                const CommitResult& result) -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  std::int64_t owner_revision_;
  Hooks hooks_;
  std::uint64_t generation_ = 1;
  std::set<std::string> dirty_;
  // Keys of the generation that is being written, not yet sent.
  std::vector<std::string> queue_;
  std::vector<std::string> written_;
  bool is_writing_ = false;
  bool is_scheduled_ = false;
  Millis last_flush_ms_ = 0;
  int failures_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_PROGRESS_RECORDER_H_
