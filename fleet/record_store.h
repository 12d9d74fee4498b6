// Client interface of the platform's key-value store.
//
// The store offers linearizable reads, watches, conditional transactions and
// leases. Platform adapters and test fakes implement RecordStore:
//
//   store->Commit({.conditions_ = {{"job/17", 0}},
//                  .puts_ = {{"job/17", text}}},
//                 [](const CommitResult& result) { ... });
//
// A write that ends with kUnknown may have been executed or may still be
// executed later. The caller must retry it with a condition or read it back.
//
// An answer is late if its call has ended with kUnknown before.
// ReadAwaitingLate and RenewLease report it in a second run of the callback: it
// holds from the call's sending, as one in time does, and takes the failure
// back.

#ifndef LENTILSCALE_FLEET_RECORD_STORE_H_
#define LENTILSCALE_FLEET_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// Outcome of a store call.
enum class StoreStatus {
  kOk,
  // A condition of the transaction did not hold; nothing was written.
  kConflict,
  // The key or lease does not exist.
  kAbsent,
  // The store no longer has the revisions that a watch asked for.
  kCompacted,
  // The store refused the call or was not reached; nothing was executed.
  kRefused,
  // No valid answer; a write may have been executed, or may be executed later.
  kUnknown,
};

// Returns the name of `status` for logs.
auto StoreStatusName(StoreStatus status) -> const char*;

// A key with its value and metadata.
struct Record {
  std::string key_;
  std::string value_;
  // The store's revision at the last change of the key; 0 for an absent key.
  std::int64_t revision_ = 0;
  std::int64_t lease_ = 0;
  // In the result of a watch: true if the key was deleted.
  bool is_removed_ = false;
};

// Result of a read or watch.
struct ReadResult {
  StoreStatus status_ = StoreStatus::kRefused;
  std::vector<Record> records_;
  // The store's revision that the result reflects.
  std::int64_t revision_ = 0;
  // When the call was sent (BootMs); the result is at least as recent.
  Millis sent_ms_ = 0;
  // Bytes of the answer that had arrived, also if the read failed.
  std::size_t received_bytes_ = 0;
  // True if the call was reported as kUnknown before.
  bool is_late_ = false;
};

// A conditional write, applied atomically.
struct Transaction {
  struct Condition {
    std::string key_;
    // The revision that the key must have; 0 means that it must not exist.
    std::int64_t revision_ = 0;
  };
  struct Put {
    std::string key_;
    std::string value_;
    std::int64_t lease_ = 0;
  };
  std::vector<Condition> conditions_;
  std::vector<Put> puts_;
  std::vector<std::string> deletes_;
};

// The store's limit on conditions, puts and deletes of a transaction together.
inline constexpr std::size_t kMaxTransactionEntries = 32;

// Result of a transaction.
struct CommitResult {
  StoreStatus status_ = StoreStatus::kRefused;
  // On kOk: the revision of the write.
  std::int64_t revision_ = 0;
  // On kConflict: the current records of the conditions' keys; absent keys may
  // be missing.
  std::vector<Record> current_;
};

// Result of a lease call.
struct LeaseResult {
  StoreStatus status_ = StoreStatus::kRefused;
  std::int64_t lease_ = 0;
  Millis ttl_ms_ = 0;
  Millis sent_ms_ = 0;
  // True if the call was reported as kUnknown before.
  bool is_late_ = false;
};

// Asynchronous store client. Callbacks run later, exactly once each unless a
// call reports late answers.
class RecordStore {
 public:
  using ReadCallback = std::function<void(const ReadResult&)>;
  using CommitCallback = std::function<void(const CommitResult&)>;
  using LeaseCallback = std::function<void(const LeaseResult&)>;

  virtual ~RecordStore() = default;

  // Reads one key; kAbsent if it does not exist.
  virtual auto Read(const std::string& key, ReadCallback callback) -> void = 0;
  // The same; also reports a late answer.
  virtual auto ReadAwaitingLate(const std::string& key, ReadCallback callback)
      -> void {
    Read(key, std::move(callback));
  }
  // Reads all keys with `prefix`, in key order. Several pages are read in
  // sequence and are not a snapshot; revision_ is that of the first page.
  virtual auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void = 0;
  // Waits up to `wait_ms` for changes under `prefix` after `after_revision`.
  virtual auto Watch(const std::string& prefix, std::int64_t after_revision,
                     Millis wait_ms, ReadCallback callback) -> void = 0;
  virtual auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void = 0;
  virtual auto GrantLease(Millis ttl_ms, LeaseCallback callback) -> void = 0;
  // Also reports a late answer.
  virtual auto RenewLease(std::int64_t lease, LeaseCallback callback)
      -> void = 0;
  virtual auto RevokeLease(std::int64_t lease) -> void = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_RECORD_STORE_H_
