// The members: the entry instances that run lentild.
//
// The store holds one record per member under a lease; that list decides over
// rights. Direct heartbeats carry a small digest and only steer routing:
//
//   members.SetRecords(records_from_store, now);
//   members.OnHeartbeat(id, digest, sent_at, now);
//   if (members.IsReachable(id, now)) ...
//
// Suspicion by heartbeat alone never moves a right.

#ifndef LENTILSCALE_MEMBERS_H_
#define LENTILSCALE_MEMBERS_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale {

// A member's record in the store.
struct MemberRecord {
  static auto FromJson(const Json::Value& object) -> MemberRecord;
  auto ToJson() const -> Json::Value;

  // Random and new at each start of the process.
  std::string id_;
  // Address of the listener for peers.
  std::string address_;
  std::string data_centre_;
  std::string region_;
};

// What a member offers for one service.
struct ServiceLoad {
  std::string service_;
  std::int64_t free_slots_ = 0;
  std::int64_t queued_ = 0;
  // Slots of open workers, free or not.
  std::int64_t slots_ = 0;
};

// What a member tells in a heartbeat.
struct MemberDigest {
  static auto FromJson(const Json::Value& object) -> MemberDigest;
  auto ToJson() const -> Json::Value;

  std::string id_;
  // Number of the latest ticket applied.
  std::int64_t ticket_ = 0;
  // True if the member reached the store within its latest two polls.
  bool has_store_ = false;
  // Age of the member's knowledge of the configuration.
  Millis configuration_age_ms_ = 0;
  bool is_draining_ = false;
  std::vector<ServiceLoad> loads_;
};

// What is known of one member.
struct MemberState {
  MemberRecord record_;
  MemberDigest digest_;
  // When the latest answered heartbeat was sent, and when it was answered.
  Millis heartbeat_sent_ms_ = 0;
  Millis heartbeat_ms_ = 0;
  bool has_digest_ = false;
  // True while the member is in the store's list.
  bool is_listed_ = false;
  // When the member was first missed in the store's list.
  Millis missing_since_ms_ = 0;
};

// The table of members as one instance sees it.
class Members {
 public:
  struct Options {
    // Silence after which a member gets no forwarded work.
    Millis suspect_ms_ = 1200;
    // Time for which a member must be missing in the store's list before its
    // rights may be taken.
    Millis missing_grace_ms_ = 300;
    // Time for which a missing member is still remembered.
    Millis forget_ms_ = 60000;
  };

  // A difference between two lists, for the log.
  struct Change {
    std::string id_;
    std::string address_;
    bool is_joined_;
  };

  Members(std::string self_id, const Options& options)
      : self_id_(std::move(self_id)), options_(options) {}

  // Takes the store's list as read at `now`.
  auto SetRecords(const std::vector<MemberRecord>& records, Millis now)
      -> std::vector<Change>;

  // Takes the digest from an answered heartbeat that was sent at `sent`.
  auto OnHeartbeat(const MemberDigest& digest, Millis sent, Millis now) -> void;

  // Takes the digest from a heartbeat that a member sent. It says nothing about
  // whether the member can be reached.
  auto OnHeard(const MemberDigest& digest) -> void;

  // Starts the missing times anew, after an outage of the store in which
  // leases may have lapsed although their holders live.
  auto RestartMissingTimes(Millis now) -> void;

  // Returns true if `id` answered a heartbeat lately. The instance itself is
  // always reachable.
  auto IsReachable(const std::string& id, Millis now) const -> bool;

  // Returns true if the rights of `id` may be taken: the store does not list
  // it, has not for the grace time, and it does not answer heartbeats.
  auto IsGone(const std::string& id, Millis now) const -> bool;

  auto Find(const std::string& id) const -> const MemberState*;

  // Returns all members that are remembered, listed or not, without the
  // instance itself.
  auto Others() const -> std::vector<const MemberState*>;

  // Returns when the list of members last changed.
  auto changed_ms() const -> Millis { return changed_ms_; }

  // Returns the members that the store lists, itself included, by id.
  auto Listed() const -> std::vector<const MemberState*>;

  // Returns listed members that may take new shards: not draining.
  auto Candidates() const -> std::vector<MemberRecord>;

  auto self_id() const -> const std::string& { return self_id_; }

  // Marks the instance itself as draining.
  auto SetDraining(bool is_draining) -> void { is_draining_ = is_draining; }

 private:
  std::string self_id_;
  Options options_;
  bool is_draining_ = false;
  Millis changed_ms_ = 0;
  std::map<std::string, MemberState, std::less<>> members_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_MEMBERS_H_
