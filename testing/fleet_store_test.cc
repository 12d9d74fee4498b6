// What happens between the fleet scheduler and its store: answers that arrive
// out of order, records that cannot be read, reads of several pages and history
// that is gone. Most cases answer each store call by hand.

#define BOOST_TEST_MODULE fleet_store
#include <uv.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <list>
#include <string>
#include <vector>

#include "fleet/election.h"
#include "fleet/store_keys.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

// Cases wait for conditions; this bounds a case that never gets there.
constexpr Millis kPatienceMs = 20000;

auto RunUntil(const std::function<bool()>& condition) -> bool {
  const auto until = MonotonicMs() + kPatienceMs;
  RepeatingTimer waker(uv_default_loop(), 5, [] {});
  while (!condition() && MonotonicMs() < until) {
    uv_run(uv_default_loop(), UV_RUN_ONCE);
  }
  return condition();
}

// A store whose calls are answered by the test, in any order.
class ScriptedStore : public RecordStore {
 public:
  struct Call {
    // "read KEY", "range PREFIX", "watch PREFIX", "commit" or "grant".
    std::string name_;
    Transaction transaction_;
    ReadCallback read_;
    CommitCallback commit_;
    LeaseCallback lease_;
  };

  auto Read(const std::string& key, ReadCallback callback) -> void override {
    calls_.push_back({"read " + key, {}, std::move(callback), {}, {}});
  }
  auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void override {
    calls_.push_back({"range " + prefix, {}, std::move(callback), {}, {}});
  }
  auto Watch(const std::string& prefix, std::int64_t, Millis,
             ReadCallback callback) -> void override {
    calls_.push_back({"watch " + prefix, {}, std::move(callback), {}, {}});
  }
  auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void override {
    calls_.push_back({"commit", transaction, {}, std::move(callback), {}});
  }
  auto GrantLease(Millis, LeaseCallback callback) -> void override {
    calls_.push_back({"grant", {}, {}, {}, std::move(callback)});
  }
  auto RenewLease(std::int64_t, LeaseCallback) -> void override {}
  auto RevokeLease(std::int64_t) -> void override {}

  // Waits for a call and takes it off the list.
  auto Await(const std::string& name) -> Call {
    const auto find = [&] {
      return std::find_if(calls_.begin(), calls_.end(),
                          [&](const Call& call) { return call.name_ == name; });
    };
    BOOST_REQUIRE_MESSAGE(RunUntil([&] { return find() != calls_.end(); }),
                          "no call: " << name);
    const auto it = find();
    auto call = *it;
    calls_.erase(it);
    return call;
  }

 private:
  std::list<Call> calls_;
};

auto Found(std::vector<Record> records, std::int64_t revision) -> ReadResult {
  return {StoreStatus::kOk, std::move(records), revision, BootMs()};
}

struct Candidate {
  ScriptedStore store_;
  Election election_{
      uv_default_loop(),
      &store_,
      {"i", "i:1", 1500, 0},
      {[](const OwnerClaim&) {}, [](const std::string&) {}, [] {}}};

  Candidate() { SetLogLevel(LogLevel::kError); }

  // Answers the calls of a claim up to its transaction, which is returned.
  auto AwaitClaim() -> ScriptedStore::Call {
    store_.Await("grant").lease_({StoreStatus::kOk, 5, 1500, BootMs()});
    store_.Await("read ls/epoch").read_(Found({{kEpochKey, "3", 8}}, 9));
    return store_.Await("commit");
  }
};

}  // namespace

// Guards against: nobody claims, because the claim expects no owner record
// while one that cannot be read is there.
BOOST_AUTO_TEST_CASE(an_unreadable_owner_record_is_replaced_by_a_claim) {
  for (const auto* text : {"{", "{}", R"({"instance":"x","address":"a:1"})"}) {
    BOOST_TEST_CONTEXT(text) {
      Candidate candidate;
      candidate.store_.Await("read ls/owner")
          .read_(Found({{kOwnerKey, text, 9, 4}}, 9));
      const auto claim = candidate.AwaitClaim();
      BOOST_REQUIRE_EQUAL(claim.transaction_.conditions_.size(), 2U);
      BOOST_TEST(claim.transaction_.conditions_[1].key_ == kOwnerKey);
      BOOST_TEST(claim.transaction_.conditions_[1].revision_ == 9);
    }
  }
}

}  // namespace lentilscale::fleet
