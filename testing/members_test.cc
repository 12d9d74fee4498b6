#define BOOST_TEST_MODULE members
#include "lentilscale/members.h"

#include <boost/test/unit_test.hpp>
#include <set>

#include "lentilscale/authority.h"
#include "lentilscale/shard_map.h"

namespace lentilscale {
namespace {

auto Record(const std::string& id, const std::string& data_centre = "a",
            const std::string& region = "r") -> MemberRecord {
  return {id, id + ":1", data_centre, region};
}

auto Digest(const std::string& id) -> MemberDigest {
  MemberDigest digest;
  digest.id_ = id;
  return digest;
}

BOOST_AUTO_TEST_CASE(OnlyTheStoreAndSilenceTogetherMakeAMemberGone) {
  Members members("self", {1000, 300, 60000});
  members.SetRecords({Record("self"), Record("x")}, 0);
  members.OnHeartbeat(Digest("x"), 10, 20);
  BOOST_TEST(members.IsReachable("x", 900));
  BOOST_TEST(!members.IsReachable("x", 1021));
  // Silent but listed: suspected, not gone.
  BOOST_TEST(!members.IsGone("x", 5000));
  members.SetRecords({Record("self")}, 5000);
  BOOST_TEST(!members.IsGone("x", 5299));
  BOOST_TEST(members.IsGone("x", 5300));
  // It answers after all: not gone.
  members.OnHeartbeat(Digest("x"), 5300, 5310);
  BOOST_TEST(!members.IsGone("x", 5400));
  BOOST_TEST(!members.IsGone("self", 99999));
}

BOOST_AUTO_TEST_CASE(OvertakenHeartbeatsAreIgnored) {
  Members members("self", {});
  members.SetRecords({Record("self"), Record("x")}, 0);
  auto late = Digest("x");
  late.ticket_ = 5;
  members.OnHeartbeat(late, 20, 30);
  members.OnHeartbeat(Digest("x"), 10, 40);
  BOOST_TEST(members.Find("x")->digest_.ticket_ == 5);
}

// Lease 2000 ms, drift 100 ms.
BOOST_AUTO_TEST_CASE(RightsRestOnLeaseAndReadingByTheirSendingTimes) {
  Authority authority({2000, 100});
  authority.SetStoreReachable(true);
  BOOST_TEST(authority.RightsUntil() == 0);
  authority.OnRegistered(1000);
  BOOST_TEST(authority.RightsUntil() == 0);
  authority.OnConfigurationRead(1200, 1);
  BOOST_TEST(authority.RightsUntil() == 1000 + 1900);
  authority.OnRenewed(5000);
  BOOST_TEST(authority.RightsUntil() == 1200 + 1900);
  // A new registration voids readings from before it.
  authority.OnRegistered(9000);
  BOOST_TEST(authority.RightsUntil() == 0);
}

BOOST_AUTO_TEST_CASE(AnOutageForAllIsNotAnIsolation) {
  Authority authority({2000, 100});
  authority.OnRegistered(1000);
  authority.OnConfigurationRead(1000, 7);
  authority.SetPeers({"x", "y"});
  authority.SetStoreReachable(false);
  const auto say = [&authority](const std::string& id, Millis sent,
                                bool has_store) {
    authority.OnPeer({id, sent, has_store, 7, 100000});
  };
  say("x", 8000, false);
  BOOST_TEST(authority.RightsUntil() == 2900);  // y may have the store.
  say("y", 7500, false);
  BOOST_TEST(authority.RightsUntil() == 7500 + 1900);
  BOOST_TEST(authority.ConfigurationConfirmedAt() == 7500);
  say("y", 9000, true);
  BOOST_TEST(authority.RightsUntil() == 2900);
}

BOOST_AUTO_TEST_CASE(AnInstanceAloneCannotTellAnOutageFromIsolation) {
  Authority authority({2000, 100});
  authority.OnRegistered(1000);
  authority.OnConfigurationRead(1000, 1);
  authority.SetPeers({});
  authority.SetStoreReachable(false);
  BOOST_TEST(authority.RightsUntil() == 2900);
}

BOOST_AUTO_TEST_CASE(PeersVouchForTheConfigurationButNotForRights) {
  Authority authority({2000, 100});
  authority.OnRegistered(1000);
  authority.OnConfigurationRead(1000, 7);
  authority.SetPeers({"x"});
  authority.OnPeer({"x", 9000, true, 7, 200});
  BOOST_TEST(authority.ConfigurationConfirmedAt() == 8800);
  BOOST_TEST(authority.RightsUntil() == 2900);
  // A peer that is ahead proves nothing about what is known here.
  authority.OnPeer({"x", 9500, true, 8, 10});
  BOOST_TEST(authority.ConfigurationConfirmedAt() == 8800);
}

auto Places(int count, const std::string& data_centre) {
  std::vector<ShardLocation> out;
  out.reserve(static_cast<std::size_t>(count));
  for (auto i = 0; i < count; ++i) {
    out.push_back(
        {"s/" + data_centre + "/" + std::to_string(i), data_centre, "r"});
  }
  return out;
}

BOOST_AUTO_TEST_CASE(ShardsStayInTheirDataCentreAndAreEven) {
  const std::vector<MemberRecord> members = {Record("x", "a"), Record("y", "a"),
                                             Record("z", "b")};
  std::map<std::string, int> counts;
  for (const auto& [shard, member] : AssignShards(Places(20, "a"), members)) {
    BOOST_TEST(member != "z");
    ++counts[member];
  }
  BOOST_TEST(counts["x"] <= 12);
  BOOST_TEST(counts["y"] <= 12);
}

BOOST_AUTO_TEST_CASE(AMemberThatLeavesMovesFewOtherShards) {
  std::vector<MemberRecord> members;
  members.reserve(9);
  for (auto i = 0; i < 9; ++i) {
    members.push_back(Record("m" + std::to_string(i)));
  }
  const auto before = AssignShards(Places(64, "a"), members);
  members.pop_back();
  const auto after = AssignShards(Places(64, "a"), members);
  auto moved = 0;
  for (const auto& [shard, member] : before) {
    const auto is_orphan = member == "m8";
    moved += !is_orphan && after.at(shard) != member ? 1 : 0;
  }
  BOOST_TEST(moved <= 12);
  BOOST_TEST(AssignShards(Places(3, "a"), {}).empty());
}

BOOST_AUTO_TEST_CASE(ShardNamesRoundTrip) {
  const auto shard = ShardForRack("photo", "home-a", "rack-7", 4);
  const auto name = ShardName::FromString(shard);
  BOOST_TEST(name.ToString() == shard);
  BOOST_TEST(name.service_ == "photo");
  BOOST_TEST(HomeShard({}, "k").empty());
  BOOST_TEST(HomeShard({"a/b/1", "a/b/2"}, "k") ==
             HomeShard({"a/b/1", "a/b/2"}, "k"));
}

}  // namespace
}  // namespace lentilscale
