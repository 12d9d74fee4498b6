// The platform's key-value store as the fleet scheduler sees it.
//
// The store offers linearizable reads, waits for changes, conditional
// transactions and leases. Platform adapters and test fakes implement this
// class:
//
//   store->Commit({.conditions_ = {{"job/17", 0}}, .puts_ = {{"job/17",
//   text}}},
//                 [](const CommitResult& result) { ... });
//
// A write without an answer may have been done or may still be done later, so
// whoever gets kUnknown must repeat it under a condition or read back.

#ifndef LENTILSCALE_FLEET_RECORD_STORE_H_
#define LENTILSCALE_FLEET_RECORD_STORE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale::fleet {

// How a store call ended.
enum class StoreStatus {
  kOk,
  // The condition did not hold, or the key or lease does not exist.
  kConflict,
  kAbsent,
  // The history that a watch asked for is no longer there.
  kCompacted,
  // Refused or not reached: nothing was done.
  kRefused,
  // No answer: a write may have been done, or may be done later.
  kUnknown,
};

// Returns the name of `status` for logs.
auto StoreStatusName(StoreStatus status) -> const char*;

// One stored item.
struct Record {
  std::string key_;
  std::string value_;
  // The store's revision of the last change; 0 for an absent key.
  std::int64_t revision_ = 0;
  std::int64_t lease_ = 0;
  // True in a watch's result if the key was removed.
  bool is_removed_ = false;
};

// The answer to a read or a watch.
struct ReadResult {
  StoreStatus status_ = StoreStatus::kRefused;
  std::vector<Record> records_;
  // The store's revision that the answer stands for.
  std::int64_t revision_ = 0;
  // When the call was sent, by BootMs: the answer is at least as new.
  Millis sent_ms_ = 0;
};

// A conditional write. All or nothing is done.
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

// The store's bound on conditions, puts and deletes of one transaction.
inline constexpr std::size_t kMaxTransactionEntries = 32;

// The answer to a transaction.
struct CommitResult {
  StoreStatus status_ = StoreStatus::kRefused;
  // The revision of the write.
  std::int64_t revision_ = 0;
  // On kConflict: the conditions' keys as they are; absent keys may be missing.
  std::vector<Record> current_;
};

// The answer to a lease call.
struct LeaseResult {
  StoreStatus status_ = StoreStatus::kRefused;
  std::int64_t lease_ = 0;
  Millis ttl_ms_ = 0;
  Millis sent_ms_ = 0;
};

// Access to the store. Callbacks run later, exactly once each.
class RecordStore {
 public:
  using ReadCallback = std::function<void(const ReadResult&)>;
  using CommitCallback = std::function<void(const CommitResult&)>;
  using LeaseCallback = std::function<void(const LeaseResult&)>;

  virtual ~RecordStore() = default;

  // Reads one key; kAbsent if there is none.
  virtual auto Read(const std::string& key, ReadCallback callback) -> void = 0;
  // Reads all keys under `prefix`, in order of the keys. Pages are read one
  // after the other and are not a snapshot; revision_ is the first page's.
  virtual auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void = 0;
  // Waits up to `wait_ms` for changes after `after_revision`.
  virtual auto Watch(const std::string& prefix, std::int64_t after_revision,
                     Millis wait_ms, ReadCallback callback) -> void = 0;
  virtual auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void = 0;
  virtual auto GrantLease(Millis ttl_ms, LeaseCallback callback) -> void = 0;
  virtual auto RenewLease(std::int64_t lease, LeaseCallback callback)
      -> void = 0;
  virtual auto RevokeLease(std::int64_t lease) -> void = 0;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_RECORD_STORE_H_
