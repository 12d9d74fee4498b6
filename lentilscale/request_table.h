// The memory of non-idempotent requests that makes each run at most once.
//
// The owner of a request's home shard keeps its entry. A repeat, through any
// instance, meets the entry and gets the same answer:
//
//   RequestTable table(options);
//   table.Open(horizon);
//   auto decision = table.Begin({team, request_id}, issued_at, now_wall);
//   if (decision.kind_ == RequestDecision::Kind::kFresh) { ... run ...
//     table.End({team, request_id}, answer, now_wall);
//   }
//
// A request carries the time at which its caller first issued it; a repeat
// carries the same time. Each owner answers only for requests issued within
// its own right: a new owner sets a horizon and never runs what was issued
// before it, and an old owner never runs what was issued after its right
// ended. The two ranges do not meet, whatever pauses happen in between.

#ifndef LENTILSCALE_REQUEST_TABLE_H_
#define LENTILSCALE_REQUEST_TABLE_H_

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale {

// What identifies a request.
struct RequestKey {
  std::string team_;
  std::string request_id_;
  auto operator<=>(const RequestKey&) const
      -> std::strong_ordering = default;  // NOLINT(modernize-use-nullptr)
};

// A remembered answer.
struct StoredAnswer {
  int http_status_ = 0;
  std::string body_;
};

// What to do with a request.
struct RequestDecision {
  enum class Kind {
    // Not seen before: run it.
    kFresh,
    // Being run now.
    kRunning,
    // Ended: give the same answer again.
    kEnded,
    // It may have run under an earlier owner, or longer ago than the table
    // remembers.
    kUnknown,
    // Issued after this owner's right ends, or too far in the future.
    kNoAuthority,
  };
  Kind kind_;
  StoredAnswer answer_;
};

// The entries of one shard as they are handed to its next owner.
struct RequestSnapshot {
  struct Entry {
    RequestKey key_;
    Millis issued_ms_ = 0;
    bool is_ended_ = false;
    StoredAnswer answer_;
  };
  Millis horizon_ms_ = 0;
  std::vector<Entry> entries_;
};

// The table of one shard. Times are wall-clock milliseconds.
class RequestTable {
 public:
  struct Options {
    Millis retention_ms_ = 60000;
    Millis clock_skew_ms_ = 500;
    // Longest time that a request can run; an entry that has not ended by then
    // was lost with an earlier owner.
    Millis max_run_ms_ = 600000;
    std::size_t max_stored_answer_bytes_ = 16384;
  };

  explicit RequestTable(const Options& options) : options_(options) {}

  // Starts to answer; nothing issued before `horizon` is run.
  auto Open(Millis horizon) -> void;

  // Starts from the entries of the previous owner, which has stopped.
  auto OpenFrom(const RequestSnapshot& snapshot) -> void;

  // Decides on a request. `right_until` is the time at which this owner's
  // right ends unless it is renewed.
  auto Begin(const RequestKey& key, Millis issued, Millis now,
             Millis right_until) -> RequestDecision;

  // Records the end of a request that Begin called fresh. An answer above the
  // bound is remembered as ended without its body.
  auto End(const RequestKey& key, const StoredAnswer& answer) -> void;

  // Forgets a request that was proved not to have run, so that a repeat may
  // run.
  auto Forget(const RequestKey& key) -> void;

  // Drops ended entries older than the retention.
  auto Expire(Millis now) -> void;

  auto Snapshot() const -> RequestSnapshot;
  auto size() const -> std::size_t { return entries_.size(); }

 private:
  struct Entry {
    Millis issued_ms_ = 0;
    bool is_ended_ = false;
    StoredAnswer answer_;
  };

  struct ExpiryEntry {
    Millis retained_from_ms_;
    RequestKey key_;
  };

  Options options_;
  Millis horizon_ms_ = 0;
  std::map<RequestKey, Entry> entries_;
  std::deque<ExpiryEntry> expiry_queue_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_REQUEST_TABLE_H_
