// Deduplicates non-idempotent requests so that each one runs at most once.
//
// The owner of a request's home shard keeps an entry for it. A repeat through
// any instance finds this entry and gets the same answer:
//
//   RequestTable table(options);
//   table.Open(horizon);
//   auto decision = table.Begin({team, request_id}, issued_at, now_wall,
//                               authority_expiry);
//   if (decision.kind_ == RequestDecision::Kind::kFresh) { ... run ...
//     table.End({team, request_id}, answer);
//   }
//
// A request carries the time at which its caller first issued it; a repeat
// carries the same time. Each owner runs only requests that were issued while
// it had authority over the shard. A new owner sets a horizon and runs nothing
// issued before it; an old owner runs nothing issued after its authority
// expired. The two ranges never overlap, however long a process is paused.

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

// Identifies a request.
struct RequestKey {
  std::string team_;
  std::string request_id_;
  auto operator<=>(const RequestKey&) const
      -> std::strong_ordering = default;  // NOLINT(modernize-use-nullptr)
};

// The stored answer to a request.
struct StoredAnswer {
  int http_status_ = 0;
  std::string body_;
};

// How to handle a request.
struct RequestDecision {
  enum class Kind {
    // Not seen before: run it.
    kFresh,
    // Running now: wait for its end.
    kRunning,
    // Ended: return the stored answer.
    kEnded,
    // May have run, under an earlier owner or before the retention period.
    kUnknown,
    // Issued after this owner's authority expires, or too far in the future.
    kNoAuthority,
  };
  Kind kind_;
  StoredAnswer answer_;
};

// The entries of one shard, for the hand-over to its next owner.
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

// The request table of one shard. Times are wall-clock milliseconds.
class RequestTable {
 public:
  struct Options {
    Millis retention_ms_ = 60000;
    Millis clock_skew_ms_ = 500;
    // Longest time that a request can run. If an entry has not ended by then,
    // its end was lost with an earlier owner.
    Millis max_run_ms_ = 600000;
    std::size_t max_stored_answer_bytes_ = 16384;
  };

  explicit RequestTable(const Options& options) : options_(options) {}

  // Starts with an empty table; requests issued before `horizon` are not run.
  auto Open(Millis horizon) -> void;

  // Starts with the entries of the previous owner, which no longer runs
  // requests of the shard.
  auto OpenFrom(const RequestSnapshot& snapshot) -> void;

  // Decides how to handle a request. `authority_expiry` is the time at which
  // this owner's authority expires unless it is renewed.
  auto Begin(const RequestKey& key, Millis issued, Millis now,
             Millis authority_expiry) -> RequestDecision;

  // Records the end of a request for which Begin returned kFresh. An answer
  // longer than `max_stored_answer_bytes_` is replaced by an empty one, whose
  // HTTP status is 0.
  auto End(const RequestKey& key, const StoredAnswer& answer) -> void;

  // Removes the entry of a request that is proved not to have run, so that a
  // repeat may run.
  auto Forget(const RequestKey& key) -> void;

  // Removes entries older than the retention period, unless they may still be
  // running.
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
    // Start of the retention period: the issue time, or a later time if the
    // request was still running when it expired.
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
