// Which jobs are refused for load: by the expected wait of their class, and by
// what is known of it.

#define BOOST_TEST_MODULE admission
#include "fleet/admission.h"

#include <boost/test/unit_test.hpp>

#include "fleet/class_backlog.h"
#include "fleet/job.h"

namespace lentilscale::fleet {
namespace {

constexpr std::uint64_t kSeed = 9101;
constexpr Millis kSlackMs = 1000;
constexpr int kDraws = 2000;

auto CountRefused(Admission& admission, Millis wait_ms) -> int {
  auto refused = 0;
  for (auto i = 0; i < kDraws; ++i) {
    refused += admission.RefuseFor(wait_ms, kSlackMs).has_value() ? 1 : 0;
  }
  return refused;
}

}  // namespace

// Guards against instances that refuse all or nothing, so that the backlog
// swings between empty and too long.
BOOST_AUTO_TEST_CASE(the_share_that_is_refused_rises_with_the_wait) {
  Admission admission(kSeed);
  BOOST_TEST(CountRefused(admission, 0) == 0);
  BOOST_TEST(CountRefused(admission, kSlackMs / 2) == 0);
  const auto at_three_quarters = CountRefused(admission, 750);
  BOOST_TEST(at_three_quarters > 0.45 * kDraws);
  BOOST_TEST(at_three_quarters < 0.55 * kDraws);
  BOOST_TEST(CountRefused(admission, kSlackMs) == kDraws);
  BOOST_TEST(CountRefused(admission, 60000) == kDraws);
  for (Millis wait = 0; wait < 2 * kSlackMs; wait += 10) {
    BOOST_TEST(RefusalProbability(wait, kSlackMs) <=
               RefusalProbability(wait + 10, kSlackMs));
    BOOST_TEST(RefusalProbability(wait, kSlackMs) >=
               RefusalProbability(wait, 2 * kSlackMs));
  }
}

// Guards against jobs without slack that are refused for a wait of nothing.
BOOST_AUTO_TEST_CASE(a_job_without_slack_is_admitted_while_the_wait_is_short) {
  BOOST_TEST(RefusalProbability(50, 0) == 0);
  BOOST_TEST(RefusalProbability(200, 0) == 1);
}

// Guards against clients that come back while there is no room, or far later.
BOOST_AUTO_TEST_CASE(clients_are_told_when_there_is_room) {
  BOOST_TEST(RetryAfterS(500, kSlackMs) == 1);
  BOOST_TEST(RetryAfterS(1500, kSlackMs) == 1);
  BOOST_TEST(RetryAfterS(1501, kSlackMs) == 2);
  BOOST_TEST(RetryAfterS(5000, kSlackMs) == 5);
  BOOST_TEST(RetryAfterS(60000, kSlackMs) == 10);
}

// Guards against refusals by what an owner said that is gone or does not
// answer, and of queues that have room.
BOOST_AUTO_TEST_CASE(only_what_is_known_and_recent_counts) {
  Admission admission(kSeed);
  BOOST_TEST(admission.WaitMs("a", 0) == 0);
  admission.Update({{"a", 3000}, {"b", 700}}, 10000);
  BOOST_TEST(admission.WaitMs("a", 10100) == 3000);
  BOOST_TEST(admission.WaitMs("b", 10100) == 700);
  BOOST_TEST(admission.WaitMs("c", 10100) == 0);
  BOOST_TEST(admission.LongestWaitMs(10100) == 3000);
  BOOST_TEST(admission.WaitMs("a", 11500) == 3000);
  BOOST_TEST(admission.WaitMs("a", 11501) == 0);
  BOOST_TEST(admission.LongestWaitMs(11501) == 0);
  admission.Update({{"b", 700}}, 11600);
  BOOST_TEST(admission.WaitMs("a", 11600) == 0);
  admission.Forget();
  BOOST_TEST(admission.WaitMs("b", 11600) == 0);
}

// Guards against a short burst that is taken for an overload because few starts
// have been sent yet, and against a rate from a time when nothing waited.
BOOST_AUTO_TEST_CASE(the_rate_is_that_of_a_lasting_backlog) {
  ClassBacklog backlog;
  std::int64_t started = 0;
  const auto update = [&](bool is_held_back, Millis now_ms) {
    backlog.Update({is_held_back, started, 1000}, now_ms);
    return backlog.WaitMs();
  };
  BOOST_TEST(update(false, 0) == 0);
  started = 10;
  BOOST_TEST(update(false, 1000) == 0);
  for (Millis now = 1100; now < 1600; now += 100) {
    started += 50;
    BOOST_TEST(update(true, now) == 0);
  }
  // 50 starts each 100 ms.
  started += 50;
  BOOST_TEST(update(true, 1600) == 2000);
  for (Millis now = 1700; now <= 4000; now += 100) {
    started += 10;
    update(true, now);
  }
  BOOST_TEST(update(true, 4100) > 9000);
  // Nothing at all is started.
  for (Millis now = 4200; now <= 9000; now += 100) {
    update(true, now);
  }
  BOOST_TEST(update(true, 9100) == 60000);
  BOOST_TEST(update(false, 9200) == 0);
  BOOST_TEST(update(true, 9300) == 0);
}

// Guards against refusals for a class that starts little for want of room or
// tickets: its share of the starts would be enough for it.
BOOST_AUTO_TEST_CASE(a_class_below_its_share_does_not_wait_for_starts) {
  ClassBacklog backlog;
  for (Millis now = 0; now <= 1000; now += 100) {
    backlog.Update({true, now / 100, 200, 400}, now);
  }
  BOOST_TEST(backlog.WaitMs() == 500);
}

// Guards against late work that grows without bound, as what is accepted
// becomes late in its turn.
BOOST_AUTO_TEST_CASE(late_work_counts_with_what_can_be_in_time) {
  ClassBacklog in_time;
  ClassBacklog late;
  for (Millis now = 0; now <= 1000; now += 100) {
    in_time.Update({true, now / 2, 100}, now);
    late.Update({true, now / 10, 5900}, now);
  }
  BOOST_TEST(in_time.WaitMs() == 200);
  BOOST_TEST(late.WaitMs() == 59000);
  BOOST_TEST(ClassBacklog::WaitMs({&in_time, &late}) == 10000);
  // Of late work alone starts are held back.
  in_time.Update({false, 500, 0}, 1100);
  BOOST_TEST(ClassBacklog::WaitMs({&in_time, &late}) == 59000);
}

// Guards against refusals of what has room: the owner counts only while steps
// wait and it has rights, so that counts from before a pause stay. Starts are
// held back again from 11,000 ms on, which is too short for a rate.
BOOST_AUTO_TEST_CASE(a_pause_without_counts_is_not_part_of_the_rate) {
  ClassBacklog backlog;
  std::int64_t started = 0;
  for (Millis now = 0; now <= 1000; now += 100) {
    backlog.Update({true, started, 100}, now);
    started += 100;
  }
  backlog.Update({true, started, 200}, 11000);
  BOOST_TEST(backlog.WaitMs() == 0);
  started += 100;
  backlog.Update({true, started, 200}, 11100);
  BOOST_TEST(backlog.WaitMs() <= 200);
}

// Guards against lasting jobs that are held to an objective, and against jobs
// of long steps that are held to that of short ones.
BOOST_AUTO_TEST_CASE(the_slack_is_what_the_objective_leaves) {
  Queue queue;
  queue.stretch_ = 2;
  queue.target_ms_ = 300;
  JobRecord record;
  record.steps_.resize(2);
  record.steps_[0].estimate_ms_ = 1000;
  record.steps_[1].estimate_ms_ = 500;
  record.steps_[1].after_ = {0};
  const auto slack = [&] { return Job(record, {}, false).SlackMs(queue); };
  BOOST_TEST(slack().value() == 1800);
  queue.stretch_ = 0.5;
  BOOST_TEST(slack().value() == 0);
  record.steps_[1].is_long_running_ = true;
  BOOST_TEST(!slack().has_value());
}

}  // namespace lentilscale::fleet
