// Maps workers to shards, and shards to the members that should own them.
//
// A shard is a set of workers of one service in one data centre. All workers of
// a rack belong to the same shard. A shard's name depends only on service, data
// centre, rack and the number of shards, so all instances compute the same map
// without coordination:
//
//   auto shard = ShardForRack("photo", "home-a", "rack-7", 4);
//   auto targets = AssignShards(shards, members);
//
// The store decides who owns a shard; the assignment only determines which
// member tries to claim it.

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

  // Parses the result of ToString. Throws Error(kBadRequest) if `text` is
  // malformed.
  static auto FromString(std::string_view text) -> ShardName;
};

// Returns a seeded 64-bit hash that is the same on every instance.
auto StableHash(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

// Returns the name of the shard to which a rack's workers of `service` belong.
auto ShardForRack(const std::string& service, const std::string& data_centre,
                  const std::string& rack, std::int64_t shards_per_data_centre)
    -> std::string;

// A shard with its data centre and region.
struct ShardLocation {
  std::string shard_;
  std::string data_centre_;
  std::string region_;
};

// Maps each shard to the id of the member that should own it.
using ShardAssignment = std::map<std::string, std::string, std::less<>>;

// Assigns each shard to a member in its data centre if there is one, else in
// its region, else to any member. Among shards with the same candidates, the
// number per member is bounded. Returns an empty map if there are no members.
auto AssignShards(const std::vector<ShardLocation>& shards,
                  const std::vector<MemberRecord>& members) -> ShardAssignment;

// Returns the shard that is home to `key`, or "" if `shards` is empty. Uses
// rendezvous hashing, so a change of the list moves few keys.
auto HomeShard(const std::vector<std::string>& shards, std::string_view key)
    -> std::string;

}  // namespace lentilscale

#endif  // LENTILSCALE_SHARD_MAP_H_
