// Rendezvous hashing (Thaler and Ravishankar, "Using Name-Based Mappings to
// Increase Hit Rates", 1998) moves only the shards of a member that joins or
// leaves. By itself it distributes a few dozen shards over a few members
// unevenly. A bound on each member's load (as in Mirrokni et al., "Consistent
// Hashing with Bounded Loads", 2016) evens this out at the cost of a few more
// moves.

#include "lentilscale/shard_map.h"

#include <fmt/format.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>

#include "lentilscale/error.h"

namespace lentilscale {
namespace {

// Of a group's shards, each of its n members gets at most
// ceil(kMaxLoadPercent / 100 * shards / n).
constexpr std::size_t kMaxLoadPercent = 115;

struct CandidateGroup {
  std::vector<const MemberRecord*> members_;
  std::size_t shard_count_ = 0;
};

// Returns the key of the group of members that may own `shard`. Shards with the
// same candidates have the same key.
auto CandidateGroupKey(const ShardLocation& shard,
                       const std::vector<MemberRecord>& members)
    -> std::string {
  const auto any_member = [&members](auto matches) {
    return std::any_of(members.begin(), members.end(), matches);
  };
  if (any_member([&](const auto& m) {
        return m.data_centre_ == shard.data_centre_;
      })) {
    return "data_centre/" + shard.data_centre_;
  }
  if (any_member([&](const auto& m) { return m.region_ == shard.region_; })) {
    return "region/" + shard.region_;
  }
  return "any";
}

auto IsInCandidateGroup(const MemberRecord& member, const std::string& key)
    -> bool {
  return key == "any" || key == "data_centre/" + member.data_centre_ ||
         key == "region/" + member.region_;
}

auto RendezvousScore(const std::string& shard, const std::string& member)
    -> std::uint64_t {
  return StableHash(shard, StableHash(member));
}

}  // namespace

auto ShardName::ToString() const -> std::string {
  return fmt::format("{}/{}/{}", service_, data_centre_, index_);
}

auto ShardName::FromString(std::string_view text) -> ShardName {
  const auto first = text.find('/');
  const auto last = text.rfind('/');
  ShardName out;
  const auto* end = text.data() + text.size();
  const auto has_parts = first != std::string_view::npos && first < last;
  if (!has_parts ||
      std::from_chars(text.data() + last + 1, end, out.index_).ptr != end) {
    throw Error(ErrorCode::kBadRequest,
                fmt::format("'{}' is not a shard name", text));
  }
  out.service_ = text.substr(0, first);
  out.data_centre_ = text.substr(first + 1, last - first - 1);
  return out;
}

auto StableHash(std::string_view text, std::uint64_t seed) -> std::uint64_t {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto ShardForRack(const std::string& service, const std::string& data_centre,
                  const std::string& rack, std::int64_t shards_per_data_centre)
    -> std::string {
  const auto hash = StableHash(service + "/" + data_centre + "/" + rack);
  const auto index = hash % static_cast<std::uint64_t>(shards_per_data_centre);
  return ShardName{service, data_centre, static_cast<std::int64_t>(index)}
      .ToString();
}

auto AssignShards(const std::vector<ShardLocation>& shards,
                  const std::vector<MemberRecord>& members) -> ShardAssignment {
  ShardAssignment out;
  if (members.empty()) {
    return out;
  }
  std::map<std::string, CandidateGroup, std::less<>> groups;
  std::map<std::string, std::string, std::less<>> group_of;
  for (const auto& shard : shards) {
    const auto key = CandidateGroupKey(shard, members);
    group_of[shard.shard_] = key;
    auto& group = groups[key];
    ++group.shard_count_;
    if (!group.members_.empty()) {
      continue;
    }
    for (const auto& member : members) {
      if (IsInCandidateGroup(member, key)) {
        group.members_.push_back(&member);
      }
    }
  }
  std::map<std::string, std::size_t, std::less<>> loads;
  // Every instance visits the shards in the same order: group_of is sorted.
  for (const auto& [shard, key] : group_of) {
    const auto& group = groups[key];
    const auto numerator = kMaxLoadPercent * group.shard_count_;
    const auto divisor = 100 * group.members_.size();
    const auto bound = (numerator + divisor - 1) / divisor;
    const MemberRecord* best = nullptr;
    std::uint64_t best_score = 0;
    for (const auto* member : group.members_) {
      const auto score = RendezvousScore(shard, member->id_);
      const auto is_full = loads[key + "|" + member->id_] >= bound;
      if (!is_full && (best == nullptr || score > best_score)) {
        best = member;
        best_score = score;
      }
    }
    // A group's bounds sum to at least its number of shards, so some member is
    // below its bound and best is set.
    ++loads[key + "|" + best->id_];
    out[shard] = best->id_;
  }
  return out;
}

auto HomeShard(const std::vector<std::string>& shards, std::string_view key)
    -> std::string {
  const std::string* best = nullptr;
  std::uint64_t best_score = 0;
  for (const auto& shard : shards) {
    const auto score = StableHash(key, StableHash(shard));
    if (best == nullptr || score > best_score) {
      best = &shard;
      best_score = score;
    }
  }
  return best == nullptr ? "" : *best;
}

}  // namespace lentilscale
