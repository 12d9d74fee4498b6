// Calls that a service gets faster than its workers can answer them.

#define BOOST_TEST_MODULE call_overload
#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

#include "lentilscale/call_time_model.h"
#include "lentilscale/scheduler.h"

namespace lentilscale {
namespace {

constexpr std::int64_t kSlots = 8;
constexpr Millis kDeadlineMs = 1000;
constexpr std::size_t kMaxPlacements = 256;

// Calls that arrive at a fixed interval, and the time that each takes.
struct Load {
  Millis interval_ms_ = 10;
  Millis run_ms_ = 100;
  // Most by which the time of a call differs from `run_ms_`.
  Millis spread_ms_ = 0;

  // Returns the time that call `number` takes.
  auto RunMs(int number) const -> Millis {
    constexpr auto kStep = 37;
    return run_ms_ - spread_ms_ + number * kStep % (2 * spread_ms_ + 1);
  }
};

// What became of calls.
struct Counts {
  int offered_ = 0;
  int in_time_ = 0;
  int late_ = 0;
  // Calls that were refused when they arrived, and while they waited.
  int refused_at_once_ = 0;
  int refused_ = 0;
};

// One worker, a simulated clock, and what the executor does with calls.
class World {
 public:
  World() : scheduler_(Scheduler::Options{}) {
    const Resources capacity{kSlots, 8000, 8192, 0};
    scheduler_.AddWorker({"w", "s/a/0", "rack", "a", capacity});
    scheduler_.SetOpen("w", true);
    scheduler_.SetTeamLimit("t", "s/a/0", kSlots);
  }

  auto SetOpen(bool is_open) -> void { scheduler_.SetOpen("w", is_open); }
  auto model() -> CallTimeModel& { return model_; }

  // Offers calls for a while and counts what happened meanwhile.
  auto Run(Millis duration_ms, const Load& load) -> Counts {
    Counts counts;
    for (const auto end = now_ + duration_ms; now_ < end; ++now_) {
      EndCalls(counts);
      if (now_ % load.interval_ms_ == 0) {
        ++counts.offered_;
        Offer(counts);
      }
      counts.refused_ +=
          static_cast<int>(scheduler_.RemoveExpired(now_).size());
      for (const auto& placement : scheduler_.Place(now_, kMaxPlacements)) {
        running_.emplace(now_ + load.RunMs(++last_start_),
                         Started{placement.item_, now_});
      }
    }
    return counts;
  }

 private:
  struct Started {
    WorkItem item_;
    Millis at_ms_ = 0;
  };

  auto EndCalls(Counts& counts) -> void {
    while (!running_.empty() && running_.begin()->first <= now_) {
      const auto [item, at_ms] = running_.begin()->second;
      running_.erase(running_.begin());
      scheduler_.Release(item.key_, now_);
      if (now_ <= item.deadline_ms_) {
        ++counts.in_time_;
        model_.OnAnswered(item.team_, item.group_, now_ - at_ms);
      } else {
        // The caller has given up at the deadline.
        ++counts.late_;
        model_.OnUnanswered(item.team_, item.group_, item.deadline_ms_ - at_ms);
      }
    }
  }

  auto Offer(Counts& counts) -> void {
    WorkItem item;
    item.key_ = "c" + std::to_string(++last_call_);
    item.lane_ = Lane::kCall;
    item.team_ = "t";
    item.need_ = {1, 100, 100, 0};
    item.group_ = "g";
    item.enqueued_ms_ = now_;
    item.deadline_ms_ = now_ + kDeadlineMs;
    item.expected_run_ms_ = model_.ExpectedMs(item.team_, item.group_);
    if (!scheduler_.CanStartInTime(item, now_)) {
      ++counts.refused_at_once_;
      return;
    }
    scheduler_.Enqueue(item);
  }

  Scheduler scheduler_;
  CallTimeModel model_;
  std::multimap<Millis, Started> running_;
  int last_call_ = 0;
  int last_start_ = 0;
  Millis now_ = 1;
};

// Calls were started up to their deadlines: under 1.25 times the load that the
// worker can bear, every call was answered too late.
BOOST_AUTO_TEST_CASE(an_overloaded_worker_answers_in_time_what_it_can) {
  World world;
  world.Run(10000, {});
  const auto counts = world.Run(10000, {});
  BOOST_TEST(counts.offered_ == 1000);
  BOOST_TEST(counts.in_time_ >= 780);
  BOOST_TEST(counts.late_ <= 8);
  BOOST_TEST(counts.refused_at_once_ + counts.refused_ <= 210);
}

// Calls that could not be served waited in vain until it was too late for them.
BOOST_AUTO_TEST_CASE(what_cannot_be_served_is_refused_at_once) {
  World world;
  world.Run(10000, {});
  const auto counts = world.Run(10000, {});
  BOOST_TEST(counts.refused_at_once_ >= 180);
  BOOST_TEST(counts.refused_ <= 20);
}

// The pace of a time without workers must not be held against calls that come
// when there is room again.
BOOST_AUTO_TEST_CASE(no_call_is_refused_once_there_is_room) {
  World world;
  world.Run(5000, {20, 100});
  world.SetOpen(false);
  world.Run(30000, {20, 100});
  world.SetOpen(true);
  world.Run(1000, {20, 100});
  const auto counts = world.Run(5000, {20, 100});
  BOOST_TEST(counts.in_time_ >= counts.offered_ - 1);
  BOOST_TEST(counts.refused_at_once_ + counts.refused_ == 0);
}

// Where calls take different times, only a few may be started too late.
BOOST_AUTO_TEST_CASE(calls_of_different_times_are_answered_in_time) {
  World world;
  const Load load{10, 100, 80};
  world.Run(10000, load);
  const auto counts = world.Run(10000, load);
  BOOST_TEST(counts.in_time_ >= 750);
  BOOST_TEST(counts.late_ <= 30);
}

// A burst left a queue in which every call was answered late, also long after
// it.
BOOST_AUTO_TEST_CASE(calls_after_a_burst_are_answered_in_time) {
  World world;
  world.Run(5000, {20, 100});
  world.Run(2000, {5, 100});
  const auto after = world.Run(10000, {13, 100});
  BOOST_TEST(after.late_ <= 8);
  BOOST_TEST(after.in_time_ >= 760);
}

// Calls that take longer than they did were all started too late.
BOOST_AUTO_TEST_CASE(a_class_that_gets_slower_is_learned) {
  World world;
  world.Run(5000, {10, 20});
  world.Run(10000, {10, 300});
  const auto counts = world.Run(10000, {10, 300});
  BOOST_TEST(counts.in_time_ >= 250);
  BOOST_TEST(counts.late_ <= 16);
}

// An expectation above the deadline would refuse all calls, and so never be
// corrected.
BOOST_AUTO_TEST_CASE(an_expectation_that_is_too_high_is_corrected) {
  World world;
  for (auto i = 0; i < 10; ++i) {
    world.model().OnAnswered("t", "g", 60 * kDeadlineMs);
  }
  world.Run(5000, {});
  const auto counts = world.Run(10000, {});
  BOOST_TEST(counts.in_time_ >= 780);
}

// A worker without a sign of life must not raise what is expected of a class
// beyond the next answer.
BOOST_AUTO_TEST_CASE(an_answer_ends_what_silence_has_raised) {
  CallTimeModel model;
  for (auto i = 0; i < 50; ++i) {
    model.OnAnswered("t", "g", 100);
  }
  BOOST_TEST(model.ExpectedMs("t", "g") == 100);
  for (auto i = 0; i < 50; ++i) {
    model.OnUnanswered("t", "g", kDeadlineMs);
  }
  BOOST_TEST(model.ExpectedMs("t", "g") <= 2 * kDeadlineMs);
  model.OnAnswered("t", "g", 100);
  BOOST_TEST(model.ExpectedMs("t", "g") == 100);
}

// Work without a deadline was never refused, and still is not.
BOOST_AUTO_TEST_CASE(work_without_a_deadline_stays_queued) {
  WorkItem item;
  item.enqueued_ms_ = 5;
  item.expected_run_ms_ = 100;
  BOOST_TEST(item.LatestStartMs() == 0);
  BOOST_TEST(Scheduler(Scheduler::Options{}).CanStartInTime(item, 1000));
}

}  // namespace
}  // namespace lentilscale
