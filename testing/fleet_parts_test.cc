// The fleet scheduler's parts by themselves: the memory of a job, the lease of
// a worker, and the record of progress.

#define BOOST_TEST_MODULE fleet_parts
#include <uv.h>

#include <boost/test/unit_test.hpp>
#include <functional>
#include <sstream>
#include <string>
#include <vector>

#include "fleet/election.h"
#include "fleet/fleet_metrics.h"
#include "fleet/fleet_worker.h"
#include "fleet/job.h"
#include "fleet/progress_recorder.h"
#include "fleet/store_keys.h"
#include "fleet/wait_reason.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

auto MakeRecord(std::vector<Step> steps) -> JobRecord {
  JobRecord record;
  record.id_ = "00000000000000a1";
  record.queue_ = "q";
  record.steps_ = std::move(steps);
  return record;
}

auto MakeStep(int count, std::vector<int> after = {}) -> Step {
  Step step;
  step.count_ = count;
  step.demand_.cpu_milli_ = 1000;
  step.after_ = std::move(after);
  return step;
}

// A store whose answers a test gives by hand.
class ManualStore : public RecordStore {
 public:
  struct Pending {
    Transaction transaction_;
    CommitCallback callback_;
  };
  std::vector<Pending> pending_;

  auto Read(const std::string&, ReadCallback) -> void override {}
  auto ReadPrefix(const std::string&, ReadCallback) -> void override {}
  auto Watch(const std::string&, std::int64_t, Millis, ReadCallback)
      -> void override {}
  auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void override {
    pending_.push_back({transaction, std::move(callback)});
  }
  auto GrantLease(Millis, LeaseCallback) -> void override {}
  auto RenewLease(std::int64_t, LeaseCallback) -> void override {}
  auto RevokeLease(std::int64_t) -> void override {}

  // Runs the loop until `count` transactions wait.
  auto AwaitPending(std::size_t count) -> void {
    while (pending_.size() < count) {
      uv_run(uv_default_loop(), UV_RUN_ONCE);
    }
  }
  auto Answer(const CommitResult& result) -> void {
    const auto first = pending_.front();
    pending_.erase(pending_.begin());
    first.callback_(result);
  }
};

struct Recording {
  ManualStore store_;
  std::vector<std::string> durable_;
  bool is_deposed_ = false;
  ProgressRecorder recorder_{
      uv_default_loop(),
      &store_,
      7,
      {[](const std::string& key) { return "text of " + key; },
       [this](const std::vector<std::string>& keys) {
         durable_.insert(durable_.end(), keys.begin(), keys.end());
       },
       [this] { is_deposed_ = true; }}};

  Recording() { SetLogLevel(LogLevel::kError); }
};

}  // namespace

BOOST_AUTO_TEST_CASE(steps_become_ready_in_order) {
  Job job(MakeRecord({MakeStep(2), MakeStep(1, {0}), MakeStep(1, {0, 1})}), {},
          false);
  const auto first = job.CreateDueOccurrences(0, 0);
  BOOST_REQUIRE_EQUAL(first.size(), 1U);
  BOOST_TEST(first[0]->step_number_ == 0);
  BOOST_TEST(job.MarkDone(*first[0], 0, 0).empty());
  const auto second = job.MarkDone(*first[0], 1, 0);
  BOOST_REQUIRE_EQUAL(second.size(), 1U);
  BOOST_TEST(second[0]->step_number_ == 1);
  const auto third = job.MarkDone(*second[0], 0, 0);
  BOOST_REQUIRE_EQUAL(third.size(), 1U);
  BOOST_TEST(job.MarkDone(*third[0], 0, 0).empty());
  BOOST_TEST((job.state() == JobState::kCompleted));
}

BOOST_AUTO_TEST_CASE(progress_survives_a_take_over) {
  const auto record = MakeRecord({MakeStep(3), MakeStep(1, {0})});
  Job job(record, {}, false);
  auto* step = job.CreateDueOccurrences(0, 0)[0];
  job.MarkPlaced(*step, 0, 5, "w");
  job.MarkDone(*step, 0, 0);
  job.MarkFailed(*step, 1, 4, 3);
  job.MarkFailed(*step, 1, 4, 3);
  step->tasks_[2].checkpoint_ = "c";
  const auto progress = DecodeProgress(EncodeProgress(job.Progress()));
  BOOST_REQUIRE(progress.ok());

  Job again(record, *progress, true);
  auto* same = again.CreateDueOccurrences(0, 0)[0];
  BOOST_TEST((same->tasks_[0].phase_ == Task::Phase::kDone));
  BOOST_TEST((same->tasks_[1].phase_ == Task::Phase::kWaiting));
  BOOST_TEST(same->tasks_[2].checkpoint_ == "c");
  // The run that was counted already does not count again.
  again.MarkFailed(*same, 1, 4, 3);
  again.MarkFailed(*same, 1, 5, 3);
  BOOST_TEST(!again.IsEnded());
  again.MarkFailed(*same, 1, 6, 3);
  BOOST_TEST((again.state() == JobState::kFailed));
}

BOOST_AUTO_TEST_CASE(one_member_ends_the_whole_gang) {
  auto step = MakeStep(3);
  step.is_gang_ = true;
  Job job(MakeRecord({step}), {}, false);
  auto* run = job.CreateDueOccurrences(0, 0)[0];
  job.MarkDone(*run, 1, 0);
  BOOST_TEST((job.state() == JobState::kCompleted));
}

BOOST_AUTO_TEST_CASE(occurrences_appear_when_they_are_due) {
  auto record = MakeRecord({MakeStep(1)});
  record.repeat_count_ = 3;
  record.first_due_ms_ = 1000;
  record.interval_ms_ = 500;
  Job job(record, {}, false);
  BOOST_TEST(job.CreateDueOccurrences(999, 0).empty());
  BOOST_TEST(job.NextDueMs() == 1000);
  const auto two = job.CreateDueOccurrences(1500, 0);
  BOOST_REQUIRE_EQUAL(two.size(), 2U);
  // The later one may end first.
  job.MarkDone(*two[1], 0, 0);
  job.MarkDone(*two[0], 0, 0);
  BOOST_TEST(!job.IsEnded());
  const auto last = job.CreateDueOccurrences(2000, 0);
  BOOST_REQUIRE_EQUAL(last.size(), 1U);
  job.MarkDone(*last[0], 0, 0);
  BOOST_TEST((job.state() == JobState::kCompleted));
}

// Guards against: an owner whose clock is behind forgets what was done of an
// occurrence, or never records the end of a job whose last one was done first.
BOOST_AUTO_TEST_CASE(recorded_occurrences_do_not_wait_for_a_slow_clock) {
  auto record = MakeRecord({MakeStep(2)});
  record.repeat_count_ = 2;
  record.first_due_ms_ = 1000;
  record.interval_ms_ = 500;
  Job job(record, {}, false);
  const auto steps = job.CreateDueOccurrences(1500, 0);
  BOOST_REQUIRE_EQUAL(steps.size(), 2U);
  job.MarkDone(*steps[1], 0, 0);
  Job second(record, job.Progress(), true);
  second.CreateDueOccurrences(1200, 0);
  Job third(record, second.Progress(), true);
  third.CreateDueOccurrences(1500, 0);
  BOOST_REQUIRE(third.FindStep(1, 0) != nullptr);
  BOOST_TEST(third.FindStep(1, 0)->done_count_ == 1);

  job.MarkDone(*steps[1], 1, 0);
  Job last(record, job.Progress(), true);
  last.CreateDueOccurrences(1200, 0);
  last.MarkDone(*last.FindStep(0, 0), 0, 0);
  last.MarkDone(*last.FindStep(0, 0), 1, 0);
  BOOST_TEST((last.state() == JobState::kCompleted));
}

// Guards against: the record of a job that repeats for long outgrows what the
// store takes, and with it all records of the same write are refused for ever.
BOOST_AUTO_TEST_CASE(failures_of_finished_occurrences_leave_the_record) {
  auto gang = MakeStep(2);
  gang.is_gang_ = true;
  auto record = MakeRecord({MakeStep(1), gang});
  record.repeat_count_ = 100;
  record.interval_ms_ = 10;
  Job job(record, {}, false);
  for (std::int64_t i = 0; i < 20; ++i) {
    job.CreateDueOccurrences(10 * i, 0);
    job.MarkFailed(*job.FindStep(i, 0), 0, 1, 3);
    job.MarkFailed(*job.FindStep(i, 1), 0, 1, 3);
    // The second occurrence stays open until the others are done.
    if (i != 1) {
      job.MarkDone(*job.FindStep(i, 0), 0, 0);
      job.MarkDone(*job.FindStep(i, 1), 0, 0);
    }
  }
  const auto open = job.Progress();
  BOOST_TEST(!open.failures_.contains("0.0.0"));
  BOOST_TEST(!open.failures_.contains("0.1"));
  BOOST_TEST(open.failures_.contains("1.0.0"));
  BOOST_TEST(open.failures_.contains("1.1"));
  job.MarkDone(*job.FindStep(1, 0), 0, 0);
  job.MarkDone(*job.FindStep(1, 1), 0, 0);
  BOOST_TEST(job.Progress().failures_.empty());
  BOOST_TEST(job.Progress().occurrences_done_ == 20);
}

// Guards against: one job with very many due occurrences exhausts the memory of
// each owner in turn, and no other job runs.
BOOST_AUTO_TEST_CASE(due_occurrences_are_created_as_earlier_ones_end) {
  auto record = MakeRecord({MakeStep(1)});
  record.repeat_count_ = 20000;
  Job job(record, {}, false);
  auto open = job.CreateDueOccurrences(1000, 0);
  const auto most = open.size();
  BOOST_TEST(most <= kMaxOpenOccurrences);
  BOOST_TEST(job.CreateDueOccurrences(1000, 0).empty());
  BOOST_TEST(job.NextDueMs() != 0);
  // The first one stays open; the others make room as they end.
  for (std::size_t i = 1; i < open.size(); ++i) {
    job.MarkDone(*open[i], 0, 0);
    const auto added = job.CreateDueOccurrences(1000, 0);
    open.insert(open.end(), added.begin(), added.end());
  }
  BOOST_TEST(open.size() == 20000U);
  BOOST_TEST(!job.IsEnded());
  job.MarkDone(*open[0], 0, 0);
  BOOST_TEST((job.state() == JobState::kCompleted));
}

// After a take-over, runs of a job that has ended still take their room.
BOOST_AUTO_TEST_CASE(the_shape_of_an_ended_jobs_tasks_is_known) {
  ProgressRecord progress;
  progress.state_ = JobState::kCancelled;
  Job job(MakeRecord({MakeStep(2)}), progress, true);
  const TaskId id{"00000000000000a1", 0, 0, 1};
  BOOST_TEST(job.CreateDueOccurrences(0, 0).empty());
  BOOST_TEST(job.FindTask(id) == nullptr);
  BOOST_REQUIRE(job.FindStepDefinition(id) != nullptr);
  BOOST_TEST(job.FindStepDefinition(id)->demand_.cpu_milli_ == 1000);
  BOOST_TEST(job.FindStepDefinition({"00000000000000a1", 0, 1, 0}) == nullptr);
}

BOOST_AUTO_TEST_CASE(the_objective_follows_the_longest_chain) {
  struct Case {
    std::vector<std::pair<Millis, std::vector<int>>> estimates_and_after_;
    Millis objective_ms_;
  };
  const std::vector<Case> cases = {
      {{{1000, {}}}, 2 * 1060 + 300},
      {{{1000, {}}, {500, {0}}}, 2 * 1620 + 300},
      {{{1000, {}}, {5000, {}}, {500, {0}}}, 2 * 5060 + 300},
      {{{1000, {}}, {200, {0}}, {900, {0}}, {100, {1, 2}}}, 2 * 2180 + 300},
  };
  Queue queue;
  queue.stretch_ = 2;
  queue.target_ms_ = 300;
  queue.advice_ = AdvicePolicy{30, 1, 2000};
  for (const auto& c : cases) {
    std::vector<Step> steps;
    for (const auto& [estimate, after] : c.estimates_and_after_) {
      steps.push_back(MakeStep(1, after));
      steps.back().estimate_ms_ = estimate;
    }
    const Job job(MakeRecord(steps), {}, false);
    BOOST_TEST(job.ObjectiveMs(queue) == c.objective_ms_);
  }
}

BOOST_AUTO_TEST_CASE(a_late_job_lets_others_pass_for_a_while) {
  struct Case {
    Millis age_ms_;
    bool is_yielding_;
  };
  // The objective is 2,300 ms; the step itself takes 1,000.
  const std::vector<Case> cases = {{0, false},   {1300, false}, {1301, true},
                                   {4599, true}, {4600, false}, {9000, false}};
  Queue queue;
  queue.stretch_ = 2;
  queue.target_ms_ = 300;
  auto step = MakeStep(1);
  step.estimate_ms_ = 1000;
  auto record = MakeRecord({step});
  record.accepted_ms_ = 50000;
  Job job(record, {}, false);
  const auto* ready = job.CreateDueOccurrences(0, 0).front();
  record.repeat_count_ = 3;
  record.first_due_ms_ = 40000;
  record.interval_ms_ = 10000;
  Job repeating(record, {}, false);
  const auto* second = repeating.CreateDueOccurrences(50000, 0).back();
  record = MakeRecord({step});
  record.steps_[0].is_long_running_ = true;
  Job lasting(record, {}, false);
  const auto* lasting_step = lasting.CreateDueOccurrences(0, 0).front();
  for (const auto& c : cases) {
    BOOST_TEST_CONTEXT("age " << c.age_ms_) {
      const auto wall = 50000 + c.age_ms_;
      BOOST_TEST(job.IsYielding(*ready, queue, wall) == c.is_yielding_);
      BOOST_TEST(repeating.IsYielding(*second, queue, wall) == c.is_yielding_);
      BOOST_TEST(!lasting.IsYielding(*lasting_step, queue, wall));
      // A late job stays late, however old it is.
      BOOST_TEST(job.IsLate(*ready, queue, wall) == (c.age_ms_ > 1300));
      BOOST_TEST(repeating.IsLate(*second, queue, wall) == (c.age_ms_ > 1300));
      BOOST_TEST(!lasting.IsLate(*lasting_step, queue, wall));
    }
  }
}

BOOST_AUTO_TEST_CASE(task_names_are_read_strictly) {
  BOOST_TEST(TaskId::FromString("ab.1.2.3")->ToString() == "ab.1.2.3");
  for (const auto* text :
       {"", "ab", "ab.1.2", "ab.1.2.x", ".1.2.3", "a.1.2.3.4"}) {
    BOOST_TEST_CONTEXT(text) {
      BOOST_TEST(!TaskId::FromString(text).has_value());
    }
  }
}

BOOST_AUTO_TEST_CASE(a_lease_must_have_lapsed_also_by_a_slow_clock) {
  FleetWorker worker;
  worker.UpdateClock(50000, 1000, 1000, 10000);
  // 200 ms after the reading the worker's clock shows 50196 at least.
  BOOST_TEST(worker.GrantLease(1200, 5000) == 55196);
  // A clock that runs at 0.98 takes 5103 ms for the 5 s.
  BOOST_TEST(worker.LatestLeaseExpiryMs() >= 1200 + 5103);
  const auto before = worker.LatestLeaseExpiryMs();
  // A shorter lease does not shorten what was granted.
  worker.GrantLease(1200, 1000);
  BOOST_TEST(worker.LatestLeaseExpiryMs() == before);
}

// Guards against TWICE: a lease by an old reading of a slow clock, which lasts
// longer than a successor that knows only the time of the grant waits.
BOOST_AUTO_TEST_CASE(a_lease_is_no_longer_for_an_old_reading_of_the_clock) {
  constexpr Millis kReadMs = 1000;
  constexpr Millis kClockMs = 50000;
  constexpr Millis kLeaseMs = 5000;
  for (const auto elapsed_ms : {0, 200, 2500, 60000}) {
    FleetWorker worker;
    worker.UpdateClock(kClockMs, kReadMs, kReadMs, 2 * kLeaseMs);
    const auto granted_ms = kReadMs + elapsed_ms;
    const auto expiry = worker.GrantLease(granted_ms, kLeaseMs);
    const auto slow_end_ms =
        static_cast<double>(kReadMs) +
        static_cast<double>(expiry - kClockMs) / kMinWorkerClockRate;
    const auto bound_ms = LatestLeaseEndMs(granted_ms, kLeaseMs);
    BOOST_TEST(slow_end_ms <= static_cast<double>(bound_ms));
    BOOST_TEST(worker.LatestLeaseExpiryMs() == bound_ms);
    // The lease is short by the inaccuracy of the reading and no more.
    BOOST_TEST(static_cast<double>(expiry) >
               static_cast<double>(kClockMs + kLeaseMs) +
                   static_cast<double>(elapsed_ms) * kMinWorkerClockRate - 1);
  }
}

BOOST_AUTO_TEST_CASE(room_is_what_capacity_runs_and_reservations_leave) {
  FleetWorker worker;
  worker.entry_.capacity_ = {0, 4000, 100, 2};
  PlacedRun run;
  run.task_ = {"a", 0, 0, 0};
  run.run_ = 1;
  run.demand_ = {0, 1000, 10, 1};
  worker.Add(run);
  BOOST_TEST(worker.FreeCapacityFor("s", 1).cpu_milli_ == 3000);
  worker.reservations_["other"] = {{0, 2000, 0, 0}, 1};
  BOOST_TEST(worker.FreeCapacityFor("s", 1).cpu_milli_ == 1000);
  BOOST_TEST(worker.FreeCapacityFor("other", 1).cpu_milli_ == 3000);
  BOOST_TEST(worker.FreeCapacityFor("urgent", 0).cpu_milli_ == 3000);
  worker.exclusive_for_ = "large";
  worker.exclusive_priority_ = 1;
  BOOST_TEST(worker.FreeCapacityFor("s", 1).cpu_milli_ < 0);
  BOOST_TEST(worker.FreeCapacityFor("large", 1).cpu_milli_ == 1000);
  worker.Remove("a.0.0.0", 1);
  BOOST_TEST(worker.used_.cpu_milli_ == 0);
}

BOOST_AUTO_TEST_CASE(the_next_end_on_a_worker_follows_the_estimates) {
  struct Case {
    std::vector<std::pair<Millis, bool>> estimates_and_lasting_;
    Millis next_ms_;
  };
  const std::vector<Case> cases = {
      {{}, kNeverMs},
      {{{700, false}}, 200},
      {{{700, false}, {600, false}, {5000, false}}, 100},
      {{{100, false}}, 0},
      {{{100, true}}, kNeverMs},
      {{{100, true}, {900, false}}, 400},
  };
  for (const auto& c : cases) {
    FleetWorker worker;
    std::int64_t number = 0;
    for (const auto& [estimate, is_lasting] : c.estimates_and_lasting_) {
      PlacedRun run;
      run.run_ = ++number;
      run.started_ms_ = 1000;
      run.estimate_ms_ = estimate;
      run.is_long_running_ = is_lasting;
      worker.Add(run);
    }
    BOOST_TEST(worker.TimeUntilNextEndMs(1500) == c.next_ms_);
  }
}

BOOST_AUTO_TEST_CASE(filling_tasks_take_no_processors_of_the_capacity) {
  auto step = MakeStep(1);
  step.demand_.memory_mb_ = 5;
  step.uses_idle_cpu_ = true;
  BOOST_TEST(CapacityDemand(step).cpu_milli_ == 0);
  BOOST_TEST(CapacityDemand(step).memory_mb_ == 5);
}

BOOST_AUTO_TEST_CASE(a_change_is_durable_only_in_the_version_that_was_sent) {
  Recording recording;
  auto& recorder = recording.recorder_;
  const auto first = recorder.MarkDirty("k");
  recording.store_.AwaitPending(1);
  const auto second = recorder.MarkDirty("k");
  recording.store_.Answer({StoreStatus::kOk, 11, {}});
  BOOST_TEST(recorder.IsDurable("k", first));
  BOOST_TEST(!recorder.IsDurable("k", second));
  recording.store_.AwaitPending(1);
  // The second write is conditional on the first, and on the owner's record.
  const auto& conditions =
      recording.store_.pending_[0].transaction_.conditions_;
  BOOST_REQUIRE_EQUAL(conditions.size(), 2U);
  BOOST_TEST(conditions[0].key_ == kOwnerKey);
  BOOST_TEST(conditions[0].revision_ == 7);
  BOOST_TEST(conditions[1].revision_ == 11);
  recording.store_.Answer({StoreStatus::kOk, 12, {}});
  BOOST_TEST(recorder.IsDurable("k", second));
}

BOOST_AUTO_TEST_CASE(an_unknown_write_is_repeated_under_the_revision_found) {
  Recording recording;
  const auto version = recording.recorder_.MarkDirty("k");
  recording.store_.AwaitPending(1);
  recording.store_.Answer({StoreStatus::kUnknown, 0, {}});
  recording.store_.AwaitPending(1);
  recording.store_.Answer(
      {StoreStatus::kConflict, 0, {{kOwnerKey, "", 7}, {"k", "", 21}}});
  BOOST_TEST(!recording.is_deposed_);
  recording.store_.AwaitPending(1);
  BOOST_TEST(
      recording.store_.pending_[0].transaction_.conditions_[1].revision_ == 21);
  BOOST_TEST(!recording.recorder_.IsDurable("k", version));
  recording.store_.Answer({StoreStatus::kOk, 22, {}});
  BOOST_TEST(recording.recorder_.IsDurable("k", version));
}

// While the store resets connections, each change used to send a write at once.
BOOST_AUTO_TEST_CASE(a_failing_store_gets_one_write_at_a_time) {
  Recording recording;
  recording.recorder_.MarkDirty("k");
  recording.store_.AwaitPending(1);
  recording.store_.Answer({StoreStatus::kUnknown, 0, {}});
  for (auto i = 0; i < 40; ++i) {
    recording.recorder_.MarkDirty("k" + std::to_string(i));
    uv_run(uv_default_loop(), UV_RUN_NOWAIT);
  }
  BOOST_TEST(recording.store_.pending_.empty());
  recording.store_.AwaitPending(1);
  for (auto i = 0; i < 5; ++i) {
    uv_run(uv_default_loop(), UV_RUN_NOWAIT);
  }
  BOOST_TEST(recording.store_.pending_.size() == 1U);
}

// Pattern: jobs whose progress changes with each write, more than a transaction
// holds. Guards against LOST: the end of another job is never stored, no later
// end of its workers is acknowledged, and each new owner receives all again.
BOOST_AUTO_TEST_CASE(a_key_is_written_before_those_that_changed_later) {
  constexpr auto kBusyKeys = 100;
  constexpr auto kWrites = 12;
  Recording recording;
  const auto change_busy_keys = [&] {
    for (auto i = 0; i < kBusyKeys; ++i) {
      recording.recorder_.MarkDirty("busy" + std::to_string(i));
    }
  };
  change_busy_keys();
  const auto version = recording.recorder_.MarkDirty("later");
  for (auto i = 0; i < kWrites; ++i) {
    recording.store_.AwaitPending(1);
    recording.store_.Answer({StoreStatus::kOk, 11 + i, {}});
    change_busy_keys();
  }
  BOOST_TEST(recording.recorder_.IsDurable("later", version));
}

BOOST_AUTO_TEST_CASE(a_write_of_a_previous_owner_is_refused) {
  Recording recording;
  recording.recorder_.MarkDirty("k");
  recording.store_.AwaitPending(1);
  recording.store_.Answer({StoreStatus::kConflict, 0, {{kOwnerKey, "", 8}}});
  BOOST_TEST(recording.is_deposed_);
  BOOST_TEST(recording.durable_.empty());
}

BOOST_AUTO_TEST_CASE(transactions_keep_within_the_stores_bound) {
  Recording recording;
  for (auto i = 0; i < 40; ++i) {
    recording.recorder_.MarkDirty("k" + std::to_string(i));
  }
  recording.store_.AwaitPending(3);
  for (const auto& pending : recording.store_.pending_) {
    const auto& transaction = pending.transaction_;
    BOOST_TEST(transaction.conditions_.size() + transaction.puts_.size() <=
               kMaxTransactionEntries);
  }
}

BOOST_AUTO_TEST_CASE(instances_with_little_processor_time_claim_last) {
  ManualStore store;
  const auto delay = [&](double cores) {
    const Election election(uv_default_loop(), &store, {"i", "a", 1500, cores},
                            {});
    return election.ClaimDelayMs();
  };
  // Unknown and sufficient shares are alike; the distance to the store, 150 ms
  // at most, does not outweigh half of what is needed.
  BOOST_TEST(delay(0) == delay(0.25));
  BOOST_TEST(delay(0.5) == delay(0.25));
  BOOST_TEST(delay(0.12) > delay(0.25) + 150);
  BOOST_TEST(delay(0.06) > delay(0.12));
}

BOOST_AUTO_TEST_CASE(metrics_are_prometheus_text) {
  FleetMetrics metrics;
  metrics.Increment(FleetCounter::kStarts);
  metrics.Record(FleetLatency::kAccept, "q", 7);
  metrics.Record(FleetLatency::kAccept, "q", 1e9);
  const auto text = metrics.ToPrometheusText({{"workers", 3}});
  std::istringstream lines(text);
  auto samples = 0;
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("# TYPE lentilscale_")) {
      continue;
    }
    BOOST_TEST_CONTEXT(line) {
      const auto space = line.rfind(' ');
      BOOST_REQUIRE(space != std::string::npos);
      std::size_t used = 0;
      (void)std::stod(line.substr(space + 1), &used);
      BOOST_TEST(used == line.size() - space - 1);
      BOOST_TEST(line.starts_with("lentilscale_"));
      ++samples;
    }
  }
  BOOST_TEST(samples > 20);
  BOOST_TEST(text.find("lentilscale_starts_total 1\n") != std::string::npos);
  BOOST_TEST(text.find("lentilscale_workers 3\n") != std::string::npos);
  BOOST_TEST(
      text.find(R"(lentilscale_accept_ms_bucket{queue="q",le="10"} 1)") !=
      std::string::npos);
  BOOST_TEST(text.find(R"(lentilscale_accept_ms_count{queue="q"} 2)") !=
             std::string::npos);
}

// Guards against reports that blame a condition that some worker meets.
BOOST_AUTO_TEST_CASE(the_first_condition_without_a_worker_is_the_wait_reason) {
  const WorkerCounts all{1, 1, 1, 1, 1, 1, 1};
  BOOST_TEST((FindWaitReason(all, true) == WaitReason::kPlaceable));
  struct Case {
    int WorkerCounts::*count_;
    WaitReason reason_;
  };
  for (const auto& c :
       {Case{&WorkerCounts::ticketed_, WaitReason::kNoTicket},
        Case{&WorkerCounts::allowed_, WaitReason::kNotAllowed},
        Case{&WorkerCounts::within_limit_, WaitReason::kWorkerLimit},
        Case{&WorkerCounts::unreserved_, WaitReason::kReserved},
        Case{&WorkerCounts::fitting_, WaitReason::kNoCapacity},
        Case{&WorkerCounts::usable_, WaitReason::kNoUsableWorker}}) {
    auto counts = all;
    counts.*c.count_ = 0;
    BOOST_TEST_CONTEXT(WaitReasonName(c.reason_)) {
      BOOST_TEST((FindWaitReason(counts, false) == c.reason_));
    }
  }
  auto unticketed = all;
  unticketed.ticketed_ = 0;
  BOOST_TEST((FindWaitReason(unticketed, true) == WaitReason::kAdvicePending));
  BOOST_TEST(WaitReasonName(WaitReason::kNoQueue) == "no_queue");
  BOOST_TEST(WaitReasonName(WaitReason::kPlaceable) == "placeable");
}

}  // namespace lentilscale::fleet
