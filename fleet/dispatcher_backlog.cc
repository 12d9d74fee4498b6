// Which share of the new jobs of each queue is let in, and how long one of them
// would wait for its starts.
//
// Ahead of it are the tasks of its class that wait and can still be on time:
// those of late jobs yield to it, but for their share of the starts. However
// much late work there is, new jobs are let in at the rate of what it leaves;
// to refuse them until it is gone would spend all starts on what is late.
//
// Tasks that wait for something else, for room on a worker or for their team's
// limit, delay nobody, and are not counted, nor are those that may be running
// on workers of a previous owner. The count is made as part of a placement
// pass, which knows all this.

#include <algorithm>
#include <cmath>
#include <string>
#include <string_view>

#include "fleet/dispatcher.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Interval between the counts; each takes time in proportion to the waiting
// steps.
constexpr Millis kBacklogIntervalMs = 100;
// Starts of a class count as held back for this long after the last one was.
constexpr Millis kHeldBackMemoryMs = 300;
// Shortest interval between the log lines of one queue.
constexpr Millis kReportIntervalMs = 1000;
constexpr double kPerMille = 1000;
constexpr double kMsPerS = 1000;
// Part of a class's starts that its steps in time have at least.
constexpr double kInTimeShare = 1 - StartShares::kLateShare;
// Part by which the mean slack of a class follows that of a new job.
constexpr double kSlackSmoothing = 0.05;
// Age at which the last count says nothing any more.
constexpr Millis kMaxBacklogAgeMs = 1000;

// Returns how many of the tasks, up to `count`, fit beside `used`. A limit of 0
// is none.
auto CountWithinLimit(const Resources& used, const Resources& demand,
                      const Resources& limit, int count) -> int {
  const auto fit = [&](std::int64_t in_use, std::int64_t each,
                       std::int64_t most) {
    return most == 0 || each == 0
               ? std::int64_t{count}
               : std::max<std::int64_t>(0, most - in_use) / each;
  };
  return static_cast<int>(std::min(
      {std::int64_t{count},
       fit(used.cpu_milli_, demand.cpu_milli_, limit.cpu_milli_),
       fit(used.memory_mb_, demand.memory_mb_, limit.memory_mb_),
       fit(used.accelerators_, demand.accelerators_, limit.accelerators_)}));
}

}  // namespace

auto Dispatcher::BacklogOf(const Queue& queue, Lateness lateness)
    -> ClassBacklog& {
  return class_backlogs_[&start_shares_.ClassOf(
      {queue.service_, queue.priority_, lateness})];
}

auto Dispatcher::CountTasksAhead(const std::vector<WaitingStep>& steps)
    -> std::map<const StartClass*, std::int64_t> {
  std::map<const StartClass*, std::int64_t> tasks_ahead;
  std::map<std::string_view, const Team*> limited_teams;
  for (const auto& team : last_config_->teams_) {
    if (team.limit_ != Resources{}) {
      limited_teams[team.name_] = &team;
    }
  }
  // By service and label: whether a worker of the service has it.
  std::map<std::pair<std::string_view, std::string_view>, bool> labels;
  const auto has_label = [&](const std::string& service,
                             const std::string& label) {
    const auto [it, is_new] = labels.try_emplace({service, label}, false);
    if (is_new) {
      const auto& workers = services_[service].usable_workers_;
      it->second = std::any_of(
          workers.begin(), workers.end(),
          [&](const auto* worker) { return worker->HasLabel(label); });
    }
    return it->second;
  };
  // What the teams' running tasks and those counted so far take.
  auto used = team_usage_;
  for (const auto& waiting : steps) {
    const auto& step = *waiting.step_;
    if ((!unclaimed_workers_.empty() && step.job_->may_be_running()) ||
        IsInfeasible(step, *waiting.queue_) ||
        !has_label(waiting.queue_->service_, step.step_->required_label_)) {
      continue;
    }
    const auto& demand = step.step_->demand_;
    auto count = step.waiting_count_;
    if (const auto team = limited_teams.find(step.job_->record().team_);
        team != limited_teams.end()) {
      auto& used_by_team = used[team->second->name_];
      count =
          CountWithinLimit(used_by_team, demand, team->second->limit_, count);
      for (auto i = 0; i < count; ++i) {
        used_by_team += demand;
      }
    }
    tasks_ahead[waiting.class_] += count;
  }
  return tasks_ahead;
}

auto Dispatcher::ReportAdmission(const Queue& queue) -> void {
  const auto& in_time = BacklogOf(queue, Lateness::kInTime);
  const auto& late = BacklogOf(queue, Lateness::kLate);
  const auto per_s = [](const ClassBacklog& backlog) {
    return std::to_string(std::llround(backlog.StartsPerS()));
  };
  const auto share = admitted_shares_.find(queue.name_);
  LogEvent(
      Event::kFleetAdmission,
      {{"queue", queue.name_},
       {"admitted_permille",
        std::to_string(std::llround(kPerMille * (share == admitted_shares_.end()
                                                     ? 1
                                                     : share->second)))},
       {"wait_ms", std::to_string(in_time.WaitMs())},
       {"drain_ms", std::to_string(ClassBacklog::WaitMs({&in_time, &late}))},
       {"in_time_tasks", std::to_string(in_time.tasks_ahead())},
       {"in_time_starts_per_s", per_s(in_time)},
       {"late_tasks", std::to_string(late.tasks_ahead())},
       {"late_starts_per_s", per_s(late)}});
}

auto Dispatcher::MeasureBacklog(const std::vector<WaitingStep>& steps,
                                Millis now_ms) -> void {
  if (now_ms - backlog_counted_ms_ < kBacklogIntervalMs) {
    return;
  }
  backlog_counted_ms_ = now_ms;
  expected_waits_.clear();
  admitted_shares_.clear();
  if (last_config_ == nullptr) {
    class_backlogs_.clear();
    return;
  }
  auto tasks_ahead = CountTasksAhead(steps);
  for (const auto& [start_class, backlog] : class_backlogs_) {
    tasks_ahead.try_emplace(start_class, 0);
  }
  const auto least_per_s = start_shares_.LeastPerS();
  for (const auto& [start_class, count] : tasks_ahead) {
    const auto is_held_back =
        now_ms - start_class->left_held_back_ms_ <= kHeldBackMemoryMs;
    class_backlogs_[start_class].Update(
        {is_held_back, start_class->started_, count,
         std::max(start_shares_.SharePerS(*start_class), least_per_s)},
        now_ms);
  }
  const auto is_report_due = now_ms >= next_admission_report_ms_;
  for (const auto& queue : last_config_->queues_) {
    UpdateAdmittedShare(queue, now_ms);
    if (is_report_due && (admitted_shares_.contains(queue.name_) ||
                          expected_waits_.contains(queue.name_))) {
      next_admission_report_ms_ = now_ms + kReportIntervalMs;
      ReportAdmission(queue);
    }
  }
}

auto Dispatcher::UpdateAdmittedShare(const Queue& queue, Millis now_ms)
    -> void {
  const auto& start_class = start_shares_.ClassOf(
      {queue.service_, queue.priority_, Lateness::kInTime});
  const auto& in_time = BacklogOf(queue, Lateness::kInTime);
  auto& admission = class_admissions_[&start_class];
  // Queues of one class have the same share.
  if (admission.updated_ms_ != now_ms) {
    admission.updated_ms_ = now_ms;
    // Late steps also have what those in time leave.
    const auto& late_class = start_shares_.ClassOf(
        {queue.service_, queue.priority_, Lateness::kLate});
    const auto late_tasks = BacklogOf(queue, Lateness::kLate).tasks_ahead();
    const auto all_per_s =
        start_class.rate_.PerSecond() + late_class.rate_.PerSecond();
    const auto is_held_back =
        now_ms - start_class.left_held_back_ms_ <= kHeldBackMemoryMs;
    const auto is_late_held_back =
        now_ms - late_class.left_held_back_ms_ <= kHeldBackMemoryMs;
    const auto drain_ms =
        is_late_held_back
            ? static_cast<Millis>(kMsPerS * static_cast<double>(late_tasks) /
                                  std::max(1.0, all_per_s))
            : 0;
    const auto per_s =
        in_time.StartsPerS() == 0 && !is_late_held_back
            ? 0
            : std::max(in_time.StartsPerS(), kInTimeShare * all_per_s);
    admission.share_.Update(
        {is_held_back, per_s, in_time.tasks_ahead(),
         static_cast<Millis>(admission.slack_ms_), drain_ms},
        now_ms);
  }
  if (const auto share = admission.share_.value(); share < 1) {
    admitted_shares_[queue.name_] = share;
  }
  if (const auto wait_ms = in_time.WaitMs(); wait_ms > 0) {
    expected_waits_[queue.name_] = wait_ms;
  }
}

auto Dispatcher::CountAdmitted(const Job& job) -> void {
  const auto& record = job.record();
  const auto* queue = FindQueuePolicy(record.queue_);
  const auto slack_ms = queue == nullptr || record.repeat_count_ > 0
                            ? std::nullopt
                            : job.SlackMs(*queue);
  if (!slack_ms.has_value()) {
    return;
  }
  auto& admission = class_admissions_[&start_shares_.ClassOf(
      {queue->service_, queue->priority_, Lateness::kInTime})];
  const auto slack = static_cast<double>(*slack_ms);
  admission.slack_ms_ += admission.slack_ms_ == 0
                             ? slack
                             : kSlackSmoothing * (slack - admission.slack_ms_);
  auto tasks = 0;
  for (const auto& step : record.steps_) {
    tasks += step.count_;
  }
  admission.share_.OnAdmitted(tasks, BootMs());
}

auto Dispatcher::IsBacklogKnown() const -> bool {
  return !waiting_.empty() &&
         BootMs() - backlog_counted_ms_ <= kMaxBacklogAgeMs;
}

auto Dispatcher::ExpectedWaits() const -> std::map<std::string, Millis> {
  return IsBacklogKnown() ? expected_waits_ : std::map<std::string, Millis>();
}

auto Dispatcher::AdmittedShares() const -> std::map<std::string, double> {
  return IsBacklogKnown() ? admitted_shares_ : std::map<std::string, double>();
}

}  // namespace lentilscale::fleet
