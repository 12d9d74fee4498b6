// Which shard a worker belongs to, and which member should own a shard.
//
// A shard is a set of workers of one service in one data centre; whole racks
// fall into one shard. The name is a function of service, data centre and rack
// alone, so that all instances agree without talking:
//
//   auto shard = ShardForRack("photo", "home-a", "rack-7", 4);
//   auto targets = AssignShards(shards, members);
//
// Ownership itself is decided in the store; the assignment only says who
// should try.

#ifndef LENTILSCALE_SHARD_MAP_H_
#define LENTILSCALE_SHARD_MAP_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "lentilscale/members.h"

namespace lentilscale {

// The parts of a shard's name.
struct ShardName {
  std::string service_;
  std::string data_centre_;
  std::int64_t index_ = 0;

  // Returns "service/data_centre/index".
  auto ToString() const -> std::string;

  // Reads such a name; throws Error(kBadRequest) if it is malformed.
  static auto FromString(std::string_view text) -> ShardName;
};

// A seeded 64-bit hash that is the same on every instance.
auto StableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// Returns the shard of a rack.
auto ShardForRack(const std::string& service, const std::string& data_centre,
                  const std::string& rack, std::int64_t shards_per_data_centre)
    -> std::string;

// A shard with the region of its data centre.
struct ShardLocation {
  std::string shard_;
  std::string data_centre_;
  std::string region_;
};

// The member that should own each shard, by shard.
using ShardAssignment = std::map<std::string, std::string, std::less<>>;

// Assigns each shard to a member of its data centre if there is one, else of
// its region, else to any. No member gets more than the bounded load of its
// group. Returns an empty map if there are no members.
auto AssignShards(const std::vector<ShardLocation>& shards,
                  const std::vector<MemberRecord>& members) -> ShardAssignment;

// Returns the shard among `shards` that is home to `key`, or "" if there are
// none: rendezvous hashing, so that a change of the list moves few keys.
auto HomeShard(const std::vector<std::string>& shards, std::string_view key)
    -> std::string;

}  // namespace lentilscale

#endif  // LENTILSCALE_SHARD_MAP_H_
