#define BOOST_TEST_MODULE requests
#include <boost/test/unit_test.hpp>

#include "lentilscale/error.h"
#include "lentilscale/request_deduplicator.h"
#include "lentilscale/request_table.h"
#include "lentilscale/work.h"

namespace lentilscale {
namespace {

using Kind = RequestDecision::Kind;

const RequestKey kKey{"t", "r1"};

auto MakeTable() -> RequestTable {
  return RequestTable({60000, 500, 600000, 16});
}

BOOST_AUTO_TEST_CASE(RepeatsNeverRun) {
  auto table = MakeTable();
  table.Open(1000);
  BOOST_TEST((table.Begin(kKey, 2000, 2000, 5000).kind_ == Kind::kFresh));
  BOOST_TEST((table.Begin(kKey, 2000, 2100, 5000).kind_ == Kind::kRunning));
  table.End(kKey, {200, "answer"});
  const auto again = table.Begin(kKey, 2000, 2200, 5000);
  BOOST_TEST((again.kind_ == Kind::kEnded));
  BOOST_TEST(again.answer_.body_ == "answer");
  table.Forget(kKey);
  BOOST_TEST((table.Begin(kKey, 2000, 2300, 5000).kind_ == Kind::kFresh));
}

struct IssueCase {
  Millis issued_;
  Kind kind_;
};

// Horizon 10000, now 20000, right until 21000, skew 500, retention 60000.
BOOST_AUTO_TEST_CASE(OnlyRequestsIssuedWithinTheRightRun) {
  const IssueCase cases[] = {
      {9999, Kind::kUnknown},      {10000, Kind::kFresh},
      {20000, Kind::kFresh},       {20500, Kind::kFresh},
      {20501, Kind::kNoAuthority}, {21001, Kind::kNoAuthority},
  };
  for (const auto& item : cases) {
    auto table = MakeTable();
    table.Open(10000);
    BOOST_TEST(
        (table.Begin(kKey, item.issued_, 20000, 21000).kind_ == item.kind_));
  }
}

// An old owner whose right ended and a new owner with a horizon: no issue time
// lets both run a request.
BOOST_AUTO_TEST_CASE(TwoOwnersNeverBothRun) {
  constexpr Millis kRightEnds = 5000;
  constexpr Millis kSkew = 500;
  for (Millis issued = 3000; issued < 8000; issued += 50) {
    auto old_owner = MakeTable();
    old_owner.Open(0);
    auto new_owner = MakeTable();
    new_owner.Open(kRightEnds + kSkew);
    const auto old_runs =
        old_owner.Begin(kKey, issued, issued, kRightEnds).kind_ == Kind::kFresh;
    const auto new_runs =
        new_owner.Begin(kKey, issued, 9000, 99999).kind_ == Kind::kFresh;
    BOOST_TEST(!(old_runs && new_runs));
  }
}

BOOST_AUTO_TEST_CASE(MemoryIsBoundedAndForgettingDoesNotRunAgain) {
  auto table = MakeTable();
  table.Open(0);
  for (auto i = 0; i < 100; ++i) {
    const RequestKey key{"t", std::to_string(i)};
    table.Begin(key, 1000 + i, 1000 + i, 999999);
    table.End(key, {200, "x"});
  }
  table.Expire(1050 + 61000);
  BOOST_TEST(table.size() == 50U);
  BOOST_TEST((table.Begin({"t", "0"}, 1000, 1050 + 61000, 999999).kind_ ==
              Kind::kUnknown));
}

BOOST_AUTO_TEST_CASE(AnswersAboveTheBoundAreRememberedAsEnded) {
  auto table = MakeTable();
  table.Open(0);
  table.Begin(kKey, 1, 1, 10);
  table.End(kKey, {200, std::string(17, 'x')});
  const auto again = table.Begin(kKey, 1, 2, 10);
  BOOST_TEST((again.kind_ == Kind::kEnded));
  BOOST_TEST(again.answer_.http_status_ == 0);
}

BOOST_AUTO_TEST_CASE(TablesMoveWhole) {
  RequestDeduplicator from({60000, 500, 600000, 1000});
  from.Open("s", 100);
  auto runs = 0;
  const auto ignore = [](const RequestReply&) {};
  from.Begin("s", kKey, 200, 200, 999, ignore, [&runs] { ++runs; });
  from.Begin("s", {"t", "r2"}, 200, 200, 999, ignore, [&runs] { ++runs; });
  from.End("s", kKey, {200, "done"});
  from.SetFrozen("s", true);
  BOOST_CHECK_THROW(from.Begin("s", {"t", "r3"}, 300, 300, 999, ignore, [] {}),
                    Error);

  RequestDeduplicator to({60000, 500, 600000, 1000});
  to.OpenFrom("s", SnapshotFromJson(SnapshotToJson(from.Snapshot("s"))));
  std::string got;
  const auto keep = [&got](const RequestReply& reply) { got = reply.body_; };
  to.Begin("s", kKey, 200, 400, 999, keep, [&runs] { ++runs; });
  BOOST_TEST(got == "done");
  got.clear();
  to.Begin("s", {"t", "r2"}, 200, 400, 999, keep, [&runs] { ++runs; });
  BOOST_TEST(got.empty());
  // The old home tells of the end; the repeat that waits gets it.
  BOOST_TEST(to.End("s", {"t", "r2"}, {200, "late"}));
  BOOST_TEST(got == "late");
  BOOST_TEST(runs == 2);
}

// Seed 1 of the chaos schedules: a retry's refusal hid an unknown outcome.
BOOST_AUTO_TEST_CASE(NotRunIsNotSaidAfterAnUnknownAttempt) {
  CallOutcome refused;
  refused.kind_ = CallOutcome::Kind::kNotRun;
  refused.code_ = ErrorCode::kDeadlinePassed;
  BOOST_TEST(
      (FinalOutcome(refused, false).kind_ == CallOutcome::Kind::kNotRun));
  BOOST_TEST(
      (FinalOutcome(refused, true).kind_ == CallOutcome::Kind::kUnknown));
  CallOutcome answered;
  answered.kind_ = CallOutcome::Kind::kAnswered;
  BOOST_TEST(
      (FinalOutcome(answered, true).kind_ == CallOutcome::Kind::kAnswered));
}

}  // namespace
}  // namespace lentilscale
