// Tasks that need accelerators go to the worker with the fewest left, which
// keeps whole workers free for tasks that need all accelerators of one. Other
// tasks go to the least loaded worker, which spreads bursts over the workers.
// Both avoid room that is kept for another step if there is other room: a gang
// that has just asked about a worker would otherwise find it taken.

#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet/dispatcher.h"

namespace lentilscale::fleet {
namespace {

// A ticket is not used this close to its expiry, as the start order still has
// to reach the worker.
constexpr Millis kTicketMarginMs = 120;
// Run numbers set aside for each epoch, so that those of successive owners do
// not overlap.
constexpr std::int64_t kRunsPerEpoch = 1000;
// Score adjustments, each larger than any difference in load: a worker near the
// data or without tasks that would be disturbed is preferred, one on which the
// task's last run failed is avoided.
constexpr double kNearRackBonus = 10;
constexpr double kInterferencePenalty = 5;
constexpr double kLastFailurePenalty = 20;
// A step asks about the room that is kept for it, and uses it.
constexpr double kKeptRoomBonus = 40;

// Teams with a limit start nothing after a take-over before this share of the
// workers has told what it runs.
constexpr double kMinKnownWorkerShare = 0.5;

}  // namespace

auto Dispatcher::IsEligible(const FleetWorker& worker, const StepRun& step,
                            const Queue& queue, Millis now_ms) const -> bool {
  return !worker.IsKeptForSuspect() &&
         CapacityDemand(*step.step_)
             .FitsIn(FreeCapacity(worker, step, queue)) &&
         MayRunOn(worker, step, queue, now_ms);
}

auto Dispatcher::FreeCapacity(const FleetWorker& worker, const StepRun& step,
                              const Queue& queue) const -> Resources {
  return worker.FreeCapacityFor(
      step.name_, step.is_overdue_ ? kOverduePriority : queue.priority_,
      step.ignores_exclusivity_);
}

auto Dispatcher::MayRunOn(const FleetWorker& worker, const StepRun& step,
                          const Queue& queue, Millis now_ms) const -> bool {
  const auto& requirements = *step.step_;
  if (worker.entry_.service_ != queue.service_ ||
      !worker.IsUsable(now_ms, requirements.is_long_running_) ||
      !worker.HasLabel(requirements.required_label_)) {
    return false;
  }
  if (requirements.max_per_worker_ > 0) {
    const auto it = step.runs_per_worker_.find(worker.entry_.id_);
    if (it != step.runs_per_worker_.end() &&
        it->second >= requirements.max_per_worker_) {
      return false;
    }
  }
  return !queue.advice_.has_value() ||
         step.IsAllowedOn(worker.entry_.id_, worker.incarnation_)
             .value_or(true);
}

auto Dispatcher::HasValidTicket(const FleetWorker& worker, const StepRun& step,
                                const Queue& queue, Millis now_ms) const
    -> bool {
  if (!queue.advice_.has_value()) {
    return true;
  }
  const auto it = step.tickets_.find(worker.entry_.id_);
  return it != step.tickets_.end() &&
         it->second.worker_incarnation_ == worker.incarnation_ &&
         now_ms + kTicketMarginMs < it->second.expires_ms_;
}

auto Dispatcher::ScoreWorker(const FleetWorker& worker,
                             const StepRun& step) const -> double {
  const auto& requirements = *step.step_;
  const auto& capacity = worker.entry_.capacity_;
  auto score = 0.0;
  const auto used_or_kept = worker.UsedOrKept(step.name_);
  if (requirements.demand_.accelerators_ > 0) {
    const auto fraction = [](std::int64_t used, std::int64_t whole) {
      return whole <= 0
                 ? 0.0
                 : static_cast<double>(used) / static_cast<double>(whole);
    };
    auto kept = used_or_kept;
    kept -= worker.used_;
    score = fraction(worker.used_.accelerators_, capacity.accelerators_) +
            fraction(worker.used_.cpu_milli_, capacity.cpu_milli_) / 2 -
            fraction(kept.accelerators_, capacity.accelerators_);
  } else {
    score = -LoadOf(used_or_kept, capacity);
  }
  if (!requirements.preferred_rack_.empty() &&
      worker.Rack() == requirements.preferred_rack_) {
    score += kNearRackBonus;
  }
  if ((requirements.uses_idle_cpu_ && worker.serving_runs_ > 0) ||
      (requirements.tail_latency_target_ms_ > 0 && worker.filling_runs_ > 0)) {
    score -= kInterferencePenalty;
  }
  score += worker.KeepsRoomFor(step.name_) ? kKeptRoomBonus : 0;
  return score;
}

auto Dispatcher::FindTicketedWorkers(const StepRun& step, const Queue& queue,
                                     Millis now_ms)
    -> std::vector<FleetWorker*> {
  std::vector<FleetWorker*> ticketed;
  if (!queue.advice_.has_value()) {
    return ticketed;
  }
  for (const auto& [id, ticket] : step.tickets_) {
    if (now_ms + kTicketMarginMs >= ticket.expires_ms_) {
      continue;
    }
    if (const auto it = workers_.find(id);
        it != workers_.end() &&
        it->second.incarnation_ == ticket.worker_incarnation_) {
      ticketed.push_back(&it->second);
    }
  }
  return ticketed;
}

auto Dispatcher::FindBestWorker(const StepRun& step, const Queue& queue,
                                const std::vector<FleetWorker*>& ticketed,
                                const std::string& avoided_worker,
                                Millis now_ms) -> FleetWorker* {
  FleetWorker* best = nullptr;
  auto best_score = -std::numeric_limits<double>::infinity();
  std::size_t best_index = 0;
  const auto consider = [&](FleetWorker& worker, std::size_t index) {
    if (!IsEligible(worker, step, queue, now_ms)) {
      return;
    }
    const auto is_avoided =
        worker.entry_.id_ == avoided_worker || !worker.IsUsable(now_ms);
    const auto score =
        ScoreWorker(worker, step) - (is_avoided ? kLastFailurePenalty : 0);
    if (best == nullptr || score > best_score ||
        (score == best_score && index < best_index)) {
      best = &worker;
      best_score = score;
      best_index = index;
    }
  };
  if (!queue.advice_.has_value()) {
    auto& service = services_[queue.service_];
    if (step.step_->demand_.accelerators_ > 0) {
      for (std::size_t i = 0; i < service.usable_workers_.size(); ++i) {
        consider(*service.usable_workers_[i], i);
      }
      return best;
    }
    if (service.by_load_.entries().empty()) {
      service.by_load_ = LoadOrder(service.usable_workers_);
    }
    const auto bonus =
        (step.step_->preferred_rack_.empty() ? 0.0 : kNearRackBonus) +
        (step.is_overdue_ ? kKeptRoomBonus : 0.0);
    for (const auto& entry : service.by_load_.entries()) {
      const auto best_possible = -entry.load_ + bonus;
      if (best != nullptr &&
          (best_possible < best_score ||
           (best_possible == best_score && best_index < entry.index_))) {
        break;
      }
      consider(*entry.worker_, entry.index_);
    }
    return best;
  }
  for (std::size_t i = 0; i < ticketed.size(); ++i) {
    consider(*ticketed[i], i);
  }
  return best;
}

auto Dispatcher::KnownWorkerShare() const -> double {
  const auto unclaimed = unclaimed_workers_.size();
  const auto all = std::max(workers_.size(), unclaimed);
  return unclaimed == 0
             ? 1
             : 1 - static_cast<double>(unclaimed) / static_cast<double>(all);
}

auto Dispatcher::IsWithinTeamLimit(const std::string& team,
                                   const Resources& demand) const -> bool {
  const auto config = hooks_.config_();
  const auto* found =
      config == nullptr || team.empty() ? nullptr : config->FindTeam(team);
  if (found == nullptr) {
    return true;
  }
  auto used = demand;
  if (const auto it = team_usage_.find(team); it != team_usage_.end()) {
    used += it->second;
  }
  const auto known_share = KnownWorkerShare();
  const auto is_within = [&](std::int64_t amount, std::int64_t limit) {
    return limit == 0 || (known_share >= kMinKnownWorkerShare &&
                          static_cast<double>(amount) <=
                              known_share * static_cast<double>(limit));
  };
  return is_within(used.cpu_milli_, found->limit_.cpu_milli_) &&
         is_within(used.memory_mb_, found->limit_.memory_mb_) &&
         is_within(used.accelerators_, found->limit_.accelerators_);
}

auto Dispatcher::NextRunNumber(const Task& task) const -> std::int64_t {
  return std::max(task.highest_run_, (claim_.epoch_ - 1) * kRunsPerEpoch) + 1;
}

auto Dispatcher::MayRunAlready(const StepRun& step, int index,
                               const Queue& queue) const -> bool {
  const auto may_be_running = step.job_->may_be_running();
  if (stopping_runs_.empty() && !may_be_running) {
    return false;
  }
  const auto name = step.TaskIdAt(index).ToString();
  return stopping_runs_.contains(name) ||
         (may_be_running && !IsKnownNotRunning(queue.name_, name));
}

auto Dispatcher::PlaceStep(WaitingStep& waiting, Millis now_ms) -> bool {
  auto& step = *waiting.step_;
  const auto& queue = *waiting.queue_;
  if (IsInfeasible(step, queue) && !step.is_overdue_) {
    return false;
  }
  const auto is_recorded = IsQueueServiceRecorded(queue);
  auto unplaced = 0;
  auto unrecorded = 0;
  auto maybe_running = 0;
  auto suspects = 0;
  // Known from the last task, until a start changes what the team uses.
  auto is_within_limit = false;
  const auto ticketed = FindTicketedWorkers(step, queue, now_ms);
  for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
    auto& task = step.tasks_[i];
    if (task.phase_ != Task::Phase::kWaiting) {
      continue;
    }
    const auto index = static_cast<int>(i);
    if (MayRunAlready(step, index, queue)) {
      ++maybe_running;
      continue;
    }
    is_within_limit =
        is_within_limit ||
        IsWithinTeamLimit(step.job_->record().team_, step.step_->demand_);
    if (!is_within_limit) {
      return false;
    }
    if (!is_recorded) {
      ++unrecorded;
      continue;
    }
    if (NeedsIsolation(step, index, now_ms)) {
      if (!MayStart(waiting)) {
        HoldBack(waiting, now_ms);
        break;
      }
      if (PlaceSuspect(waiting, index, 1, now_ms)) {
        start_shares_.OnStarted(*waiting.class_, 1);
        is_within_limit = false;
      } else {
        ++suspects;
      }
      continue;
    }
    auto* worker =
        unplaced > 0 && task.failed_on_.empty()
            ? nullptr
            : FindBestWorker(step, queue, ticketed, task.failed_on_, now_ms);
    if (worker == nullptr) {
      ++unplaced;
      continue;
    }
    if (!MayStart(waiting)) {
      HoldBack(waiting, now_ms);
      break;
    }
    StartTask(step, index, *worker, NextRunNumber(task), now_ms);
    start_shares_.OnStarted(*waiting.class_, 1);
    is_within_limit = false;
  }
  if (unplaced > 0) {
    MakeWorkersExclusive(step, queue, unplaced, now_ms);
    AddPendingAdvice(waiting, unplaced, now_ms);
  }
  if (unrecorded > 0) {
    // The tickets are requested while the record is written.
    AddPendingAdvice(waiting, unrecorded, now_ms);
  }
  if (maybe_running > 0) {
    AddAdviceForTakeOver(waiting, maybe_running, now_ms);
  }
  return unplaced == 0 && unrecorded == 0 && maybe_running == 0 &&
         suspects == 0 && waiting.is_visited_;
}

auto Dispatcher::PlaceGang(WaitingStep& waiting, Millis now_ms) -> bool {
  auto& step = *waiting.step_;
  const auto& queue = *waiting.queue_;
  const auto count = static_cast<int>(step.tasks_.size());
  if (step.waiting_count_ < count ||
      (IsInfeasible(step, queue) && !step.is_overdue_)) {
    // Members of an earlier run have not ended yet, or there is no capacity.
    return false;
  }
  for (auto i = 0; i < count; ++i) {
    if (MayRunAlready(step, i, queue)) {
      AddAdviceForTakeOver(waiting, count, now_ms);
      return false;
    }
  }
  Resources total;
  for (auto i = 0; i < count; ++i) {
    total += step.step_->demand_;
  }
  if (!IsWithinTeamLimit(step.job_->record().team_, total)) {
    return false;
  }
  if (NeedsIsolation(step, 0, now_ms)) {
    if (!MayStartGang(waiting, count)) {
      HoldBack(waiting, now_ms);
      return false;
    }
    if (!IsQueueServiceRecorded(queue) ||
        !PlaceSuspect(waiting, 0, count, now_ms)) {
      return false;
    }
    start_shares_.OnStarted(*waiting.class_, count);
    return true;
  }
  // Place the members tentatively, one by one, and restore all sums afterwards.
  const auto demand = CapacityDemand(*step.step_);
  const auto ticketed = FindTicketedWorkers(step, queue, now_ms);
  std::vector<FleetWorker*> chosen;
  for (auto i = 0; i < count; ++i) {
    auto* worker = FindBestWorker(
        step, queue, ticketed,
        step.tasks_[static_cast<std::size_t>(i)].failed_on_, now_ms);
    if (worker == nullptr) {
      break;
    }
    chosen.push_back(worker);
    worker->used_ += demand;
    services_[queue.service_].by_load_.Update(*worker);
    ++step.runs_per_worker_[worker->entry_.id_];
  }
  for (auto* worker : chosen) {
    worker->used_ -= demand;
    services_[queue.service_].by_load_.Update(*worker);
    --step.runs_per_worker_[worker->entry_.id_];
  }
  if (static_cast<int>(chosen.size()) < count) {
    MakeWorkersExclusive(step, queue, count, now_ms);
    AddPendingAdvice(waiting, count, now_ms);
    return false;
  }
  if (!IsQueueServiceRecorded(queue)) {
    return false;
  }
  if (!MayStartGang(waiting, count)) {
    HoldBack(waiting, now_ms);
    return false;
  }
  std::int64_t run = 0;
  for (const auto& task : step.tasks_) {
    run = std::max(run, NextRunNumber(task));
  }
  for (auto i = 0; i < count; ++i) {
    StartTask(step, i, *chosen[static_cast<std::size_t>(i)], run, now_ms);
  }
  start_shares_.OnStarted(*waiting.class_, count);
  return true;
}

}  // namespace lentilscale::fleet
