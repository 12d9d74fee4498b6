// Tests of the dispatcher's state for one worker.

#define BOOST_TEST_MODULE fleet_worker
#include "fleet/fleet_worker.h"

#include <boost/test/unit_test.hpp>

namespace lentilscale::fleet {
namespace {

constexpr Millis kNowMs = 100000;

// Returns a worker that has joined and answers.
auto MakeUsableWorker() -> FleetWorker {
  FleetWorker worker;
  worker.entry_.id_ = "w-1";
  worker.entry_.incarnation_ = 7;
  worker.entry_.capacity_ = {0, 4000, 4000, 0};
  worker.incarnation_ = 7;
  worker.is_in_workers_record_ = true;
  worker.is_claimed_ = true;
  worker.UpdateClock(500, kNowMs);
  return worker;
}

}  // namespace

// Guards against LIMIT and ROUTE: a start on the new life of a worker by the
// capacity and the labels of its former one.
BOOST_AUTO_TEST_CASE(a_new_life_is_not_used_by_the_entry_of_the_former_one) {
  auto worker = MakeUsableWorker();
  BOOST_TEST(worker.IsUsable(kNowMs));
  worker.incarnation_ = 8;
  BOOST_TEST(!worker.IsUsable(kNowMs));
  worker.entry_.incarnation_ = 8;
  BOOST_TEST(worker.IsUsable(kNowMs));
}

// Guards against LOST: a worker kept empty for a task that can't fit beside one
// that lasts.
BOOST_AUTO_TEST_CASE(only_runs_that_end_make_room) {
  auto worker = MakeUsableWorker();
  PlacedRun run;
  run.task_ = *TaskId::FromString("j.0.0.0");
  run.run_ = 1;
  run.demand_ = {0, 1000, 1000, 0};
  worker.Add(run);
  run.run_ = 2;
  run.is_long_running_ = true;
  auto& lasting = worker.Add(run);
  const auto beside = Resources{0, 3000, 3000, 0};
  const auto whole = Resources{0, 4000, 4000, 0};
  BOOST_TEST((worker.CapacityOnceEnded() == beside));
  lasting.phase_ = PlacedRun::Phase::kStopping;
  BOOST_TEST((worker.CapacityOnceEnded() == whole));
}

// Guards against LOST: room kept closed for seconds since one job's tasks fail
// together.
BOOST_AUTO_TEST_CASE(one_jobs_failures_do_not_extend_a_quarantine) {
  auto worker = MakeUsableWorker();
  BOOST_TEST(!worker.CountFailure("job-1", kNowMs));
  BOOST_TEST(worker.CountFailure("job-2", kNowMs));
  const auto until = worker.quarantined_until_ms_;
  for (auto i = 0; i < 4; ++i) {
    BOOST_TEST(!worker.CountFailure("job-2", kNowMs + 100));
  }
  BOOST_TEST(worker.quarantined_until_ms_ == until);
  // Other jobs speak against the worker.
  BOOST_TEST(worker.CountFailure("job-3", kNowMs + 100));
  BOOST_TEST(worker.quarantined_until_ms_ > until);
}

// Guards against LOST: a worker that is quarantined for longer each time a task
// that lasts fails, as such a task never is done.
BOOST_AUTO_TEST_CASE(failures_far_apart_do_not_quarantine) {
  auto worker = MakeUsableWorker();
  for (auto i = 0; i < 6; ++i) {
    BOOST_TEST(!worker.CountFailure("job-" + std::to_string(i),
                                    kNowMs + i * Millis{20000}));
  }
}

// Guards against LOST: a task that lasts kept from the only room by a long
// quarantine.
BOOST_AUTO_TEST_CASE(a_long_quarantine_ends_early_for_tasks_that_last) {
  auto worker = MakeUsableWorker();
  for (const auto* job : {"job-1", "job-2", "job-3", "job-4"}) {
    worker.CountFailure(job, kNowMs);
  }
  BOOST_TEST(worker.quarantine_ms_ == 6000);
  BOOST_TEST(!worker.IsUsable(kNowMs + 1000, true));
  BOOST_TEST(worker.IsUsable(kNowMs + 1500, true));
  BOOST_TEST(!worker.IsUsable(kNowMs + 1500));
  // Each failure keeps them away again.
  worker.CountFailure("job-1", kNowMs + 1600);
  BOOST_TEST(!worker.IsUsable(kNowMs + 1700, true));
}

// Guards against LOST: a step that never asks again about a worker that was
// down when the advice service was asked.
BOOST_AUTO_TEST_CASE(a_refusal_of_advice_ends_with_the_workers_life) {
  StepRun step;
  step.advice_by_worker_["w-1"] = {false, 7};
  step.advice_by_worker_["w-2"] = {true, 7};
  BOOST_TEST((step.IsAllowedOn("w-1", 7) == std::optional<bool>(false)));
  BOOST_TEST(!step.IsAllowedOn("w-1", 8).has_value());
  BOOST_TEST((step.IsAllowedOn("w-2", 8) == std::optional<bool>(true)));
  BOOST_TEST(!step.IsAllowedOn("w-3", 7).has_value());
}

}  // namespace lentilscale::fleet
