// Steps are served strictly by priority and then by acceptance; what does not
// fit is passed over, so that smaller work uses the room meanwhile. Within a
// priority, jobs that are late anyway let those pass that can still be on time:
// in a backlog, first-come-first-served would make every job a little late.
//
// Tasks that need accelerators go where the fewest are left, which keeps whole
// workers free for the tasks that need all of one; other tasks go where the
// most processors are left, which keeps bursts from piling up on one worker.

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "fleet/dispatcher.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Placement waits this long for further events to join the same pass.
constexpr Millis kCoalesceMs = 2;
// A pass is followed by a pause of twice its length, so that placement takes no
// more than a third of the processor however much work waits.
constexpr double kPassPauseFactor = 2;
constexpr Millis kMaxPauseMs = 100;
// A ticket is not used in the last part of its validity, the way to the worker.
constexpr Millis kTicketMarginMs = 120;
// A worker that refused or did not answer gets no starts for this long.
constexpr Millis kSuspectMs = 400;
// Run numbers of successive owners do not overlap.
constexpr std::int64_t kRunsPerEpoch = 1000;
// Room is kept for tasks that take at least this share of a worker.
constexpr double kLargeShare = 0.3;
// One in this many workers of a service is kept free for large tasks at most.
constexpr std::size_t kKeptDivisor = 3;
// Scores: a worker near the data, or without tasks that would be disturbed,
// goes before any difference in room.
constexpr double kNearBonus = 10;
constexpr double kDisturbancePenalty = 5;
constexpr double kFailedOnPenalty = 20;
constexpr double kNsPerMs = 1e6;

// Calls `take` with each resource's amount in `into` and in `from`.
template <typename Take>
auto ForEachResource(Resources& into, const Resources& from, Take take)
    -> void {
  take(into.slots_, from.slots_);
  take(into.cpu_milli_, from.cpu_milli_);
  take(into.memory_mb_, from.memory_mb_);
  take(into.accelerators_, from.accelerators_);
}

// Returns how many of a service's workers may be kept free for large tasks.
auto MostKept(std::size_t workers) -> std::size_t {
  return std::max<std::size_t>(1, workers / kKeptDivisor);
}

}  // namespace

auto Dispatcher::RequestSchedule() -> void {
  if (is_schedule_requested_) {
    return;
  }
  is_schedule_requested_ = true;
  const auto pause =
      std::clamp(static_cast<Millis>(kPassPauseFactor * pass_ms_), kCoalesceMs,
                 kMaxPauseMs);
  RunAfter(loop_, pause, [this, alive = is_alive_] {
    if (*alive) {
      Schedule();
    }
  });
}

auto Dispatcher::Schedule() -> void {
  is_schedule_requested_ = false;
  if (!is_state_read_ || waiting_.empty() || !hooks_.has_rights_()) {
    return;
  }
  const auto now = BootMs();
  const auto begun_ns = uv_hrtime();
  ReadRooms(now);
  for (const auto& turn : WaitingInOrder()) {
    auto& step = *turn.step_;
    const auto is_placed = step.step_->is_gang_
                               ? PlaceGang(step, *turn.queue_, now)
                               : PlaceStep(step, *turn.queue_, now);
    if (is_placed) {
      step.fruitless_calls_ = 0;
      waiting_.erase(WaitingKeyOf(step));
    }
  }
  AskForWishes(now);
  rooms_.clear();
  pass_ms_ = static_cast<double>(uv_hrtime() - begun_ns) / kNsPerMs;
}

auto Dispatcher::WaitingInOrder() -> std::vector<Turn> {
  const auto wall = WallMs();
  std::vector<Turn> turns;
  for (const auto& [key, step] : waiting_) {
    const auto& job = *step->job_;
    const auto* queue = FindQueuePolicy(job.record().queue_);
    if (queue != nullptr && !job.IsEnded()) {
      turns.push_back(
          {step, queue, std::get<0>(key), job.IsYielding(*step, *queue, wall)});
    }
  }
  std::stable_sort(turns.begin(), turns.end(),
                   [](const Turn& a, const Turn& b) {
                     return std::tuple(a.priority_, a.is_yielding_) <
                            std::tuple(b.priority_, b.is_yielding_);
                   });
  return turns;
}

auto Dispatcher::ReadRooms(Millis now_ms) -> void {
  for (auto& [id, worker] : workers_) {
    worker.kept_for_.clear();
    const auto& capacity = worker.entry_.capacity_;
    auto& room = rooms_[worker.entry_.service_];
    ++room.workers_;
    ForEachResource(room.least_capacity_, capacity,
                    [](std::int64_t& least, std::int64_t amount) {
                      if (amount > 0 && (least == 0 || amount < least)) {
                        least = amount;
                      }
                    });
    if (worker.IsUsable(now_ms)) {
      room.usable_.push_back(&worker);
      auto free = capacity;
      free -= worker.used_;
      ForEachResource(room.most_free_, free,
                      [](std::int64_t& most, std::int64_t amount) {
                        most = std::max(most, amount);
                      });
    }
  }
}

auto Dispatcher::IsHopeless(const StepRun& step, const Queue& queue) -> bool {
  const auto& room = rooms_[queue.service_];
  const auto demand = CapacityDemand(*step.step_);
  if (room.usable_.empty()) {
    return true;
  }
  return !demand.FitsIn(room.most_free_) &&
         (room.kept_ >= MostKept(room.workers_) ||
          demand.DominantShare(room.least_capacity_) < kLargeShare);
}

auto Dispatcher::IsCandidate(const FleetWorker& worker, const StepRun& step,
                             const Queue& queue, Millis now_ms) const -> bool {
  const auto& need = *step.step_;
  if (worker.entry_.service_ != queue.service_ || !worker.IsUsable(now_ms) ||
      !worker.HasLabel(need.required_label_) ||
      !CapacityDemand(need).FitsIn(
          worker.FreeFor(step.name_, queue.priority_))) {
    return false;
  }
  if (need.max_per_worker_ > 0) {
    const auto it = step.per_worker_.find(worker.entry_.id_);
    if (it != step.per_worker_.end() && it->second >= need.max_per_worker_) {
      return false;
    }
  }
  const auto allowed = step.allowed_.find(worker.entry_.id_);
  return !queue.advice_.has_value() || allowed == step.allowed_.end() ||
         allowed->second;
}

auto Dispatcher::HasTicket(const FleetWorker& worker, const StepRun& step,
                           const Queue& queue, Millis now_ms) const -> bool {
  if (!queue.advice_.has_value()) {
    return true;
  }
  const auto it = step.tickets_.find(worker.entry_.id_);
  return it != step.tickets_.end() &&
         it->second.worker_born_ms_ == worker.born_ms_ &&
         now_ms + kTicketMarginMs < it->second.expires_ms_;
}

auto Dispatcher::Score(const FleetWorker& worker, const StepRun& step) const
    -> double {
  const auto& need = *step.step_;
  const auto& capacity = worker.entry_.capacity_;
  const auto fraction = [](std::int64_t used, std::int64_t whole) {
    return whole <= 0 ? 0.0
                      : static_cast<double>(used) / static_cast<double>(whole);
  };
  const auto cpu = fraction(worker.used_.cpu_milli_, capacity.cpu_milli_);
  auto score =
      need.demand_.accelerators_ > 0
          ? fraction(worker.used_.accelerators_, capacity.accelerators_) +
                cpu / 2
          : -std::max(cpu,
                      fraction(worker.used_.memory_mb_, capacity.memory_mb_));
  if (!need.near_rack_.empty() && worker.Rack() == need.near_rack_) {
    score += kNearBonus;
  }
  if ((need.fills_ && worker.serving_ > 0) ||
      (need.tail_target_ms_ > 0 && worker.filling_ > 0)) {
    score -= kDisturbancePenalty;
  }
  return score;
}

auto Dispatcher::FindWorker(const StepRun& step, const Queue& queue,
                            const std::string& avoid, Millis now_ms)
    -> FleetWorker* {
  FleetWorker* best = nullptr;
  auto best_score = -std::numeric_limits<double>::infinity();
  for (auto* worker : rooms_[queue.service_].usable_) {
    if (!IsCandidate(*worker, step, queue, now_ms) ||
        !HasTicket(*worker, step, queue, now_ms)) {
      continue;
    }
    const auto score = Score(*worker, step) -
                       (worker->entry_.id_ == avoid ? kFailedOnPenalty : 0);
    if (score > best_score) {
      best = worker;
      best_score = score;
    }
  }
  return best;
}

auto Dispatcher::HasTeamRoom(const std::string& team,
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
  const auto is_within = [](std::int64_t amount, std::int64_t limit) {
    return limit == 0 || amount <= limit;
  };
  return is_within(used.cpu_milli_, found->limit_.cpu_milli_) &&
         is_within(used.memory_mb_, found->limit_.memory_mb_) &&
         is_within(used.accelerators_, found->limit_.accelerators_);
}

auto Dispatcher::NextRun(const Task& task) const -> std::int64_t {
  return std::max(task.run_, (claim_.epoch_ - 1) * kRunsPerEpoch) + 1;
}

auto Dispatcher::PlaceStep(StepRun& step, const Queue& queue, Millis now_ms)
    -> bool {
  if (IsHopeless(step, queue)) {
    return false;
  }
  auto unplaced = 0;
  auto is_unsettled = false;
  for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
    auto& task = step.tasks_[i];
    if (task.phase_ != Task::Phase::kWaiting) {
      continue;
    }
    if (step.job_->is_recovered() &&
        !IsSettled(queue.service_, step.IdOf(static_cast<int>(i)).ToString())) {
      is_unsettled = true;
      continue;
    }
    if (!HasTeamRoom(step.job_->record().team_, step.step_->demand_)) {
      return false;
    }
    auto* worker = unplaced > 0 && task.failed_on_.empty()
                       ? nullptr
                       : FindWorker(step, queue, task.failed_on_, now_ms);
    if (worker == nullptr) {
      ++unplaced;
      continue;
    }
    StartTask(step, static_cast<int>(i), *worker, NextRun(task), now_ms);
  }
  if (unplaced > 0) {
    KeepRoom(step, queue, unplaced, now_ms);
    AddWish(step, queue, unplaced);
  }
  return unplaced == 0 && !is_unsettled;
}

auto Dispatcher::PlaceGang(StepRun& step, const Queue& queue, Millis now_ms)
    -> bool {
  const auto count = static_cast<int>(step.tasks_.size());
  if (step.waiting_ < count || IsHopeless(step, queue)) {
    // Members of an earlier run have not ended yet.
    return false;
  }
  for (auto i = 0; i < count; ++i) {
    if (step.job_->is_recovered() &&
        !IsSettled(queue.service_, step.IdOf(i).ToString())) {
      return false;
    }
  }
  Resources total;
  for (auto i = 0; i < count; ++i) {
    total += step.step_->demand_;
  }
  if (!HasTeamRoom(step.job_->record().team_, total)) {
    return false;
  }
  // Members are placed one by one on trial; all sums are put back after.
  const auto demand = CapacityDemand(*step.step_);
  std::vector<FleetWorker*> chosen;
  for (auto i = 0; i < count; ++i) {
    auto* worker =
        FindWorker(step, queue,
                   step.tasks_[static_cast<std::size_t>(i)].failed_on_, now_ms);
    if (worker == nullptr) {
      break;
    }
    chosen.push_back(worker);
    worker->used_ += demand;
    ++step.per_worker_[worker->entry_.id_];
  }
  for (auto* worker : chosen) {
    worker->used_ -= demand;
    --step.per_worker_[worker->entry_.id_];
  }
  if (static_cast<int>(chosen.size()) < count) {
    KeepRoom(step, queue, count, now_ms);
    AddWish(step, queue, count);
    return false;
  }
  std::int64_t run = 0;
  for (const auto& task : step.tasks_) {
    run = std::max(run, NextRun(task));
  }
  for (auto i = 0; i < count; ++i) {
    StartTask(step, i, *chosen[static_cast<std::size_t>(i)], run, now_ms);
  }
  return true;
}

// A task that needs much of a worker would wait for ever behind smaller ones
// that fill each gap. The allowed workers that will have room for it first take
// no less urgent tasks until it is placed.
auto Dispatcher::KeepRoom(StepRun& step, const Queue& queue, int tasks,
                          Millis now_ms) -> void {
  if (queue.advice_.has_value() && step.allowed_.empty()) {
    return;
  }
  struct Option {
    FleetWorker* worker_;
    Millis free_in_ms_;
  };
  const auto demand = CapacityDemand(*step.step_);
  std::vector<Option> options;
  auto& room = rooms_[queue.service_];
  const auto most = MostKept(room.workers_);
  if (room.kept_ >= most ||
      demand.DominantShare(room.least_capacity_) < kLargeShare) {
    return;
  }
  for (auto* worker : room.usable_) {
    const auto allowed = step.allowed_.find(worker->entry_.id_);
    if (worker->kept_for_.empty() && demand.FitsIn(worker->entry_.capacity_) &&
        demand.DominantShare(worker->entry_.capacity_) >= kLargeShare &&
        (!queue.advice_.has_value() ||
         (allowed != step.allowed_.end() && allowed->second)) &&
        worker->HasLabel(step.step_->required_label_)) {
      options.push_back({worker, worker->RoomInMs(demand, now_ms)});
    }
  }
  std::sort(options.begin(), options.end(),
            [](const Option& a, const Option& b) {
              return a.free_in_ms_ < b.free_in_ms_;
            });
  for (const auto& option : options) {
    if (tasks <= 0 || room.kept_ >= most) {
      break;
    }
    option.worker_->kept_for_ = step.name_;
    option.worker_->kept_priority_ = queue.priority_;
    ++room.kept_;
    --tasks;
  }
}

auto Dispatcher::StartTask(StepRun& step, int index, FleetWorker& worker,
                           std::int64_t run, Millis now_ms) -> void {
  const auto id = step.IdOf(index);
  const auto& task = step.tasks_[static_cast<std::size_t>(index)];
  const auto& job = *step.job_;
  PlacedRun placed;
  placed.task_ = id;
  placed.run_ = run;
  placed.demand_ = CapacityDemand(*step.step_);
  placed.team_demand_ = step.step_->demand_;
  placed.team_ = job.record().team_;
  placed.tail_target_ms_ = step.step_->tail_target_ms_;
  placed.fills_ = step.step_->fills_;
  placed.is_long_running_ = step.step_->is_long_running_;
  placed.estimate_ms_ = step.step_->estimate_ms_;
  placed.started_ms_ = now_ms;
  worker.Add(placed);
  team_usage_[placed.team_] += placed.team_demand_;
  ++step.per_worker_[worker.entry_.id_];

  StartOrder order;
  order.run_ = {id.ToString(), run};
  order.spec_ = job.record().spec_;
  order.checkpoint_ = task.checkpoint_;
  if (const auto ticket = step.tickets_.find(worker.entry_.id_);
      ticket != step.tickets_.end()) {
    order.ticket_ = ticket->second.text_;
  }
  order.fencing_token_ = claim_.epoch_;
  order.worker_deadline_ms_ = worker.GrantLease(now_ms, options_.lease_ms_);
  const auto waited = now_ms - task.waiting_since_ms_;
  metrics_->Add(FleetCounter::kStarts);
  metrics_->Record(FleetLatency::kStartWait, job.record().queue_,
                   static_cast<double>(waited));
  step.job_->MarkPlaced(step, index, run, worker.entry_.id_);
  LogEvent(Event::kFleetRunStarting,
           {{"task", order.run_.task_},
            {"run", std::to_string(run)},
            {"worker", worker.entry_.id_},
            {"waited_ms", std::to_string(waited)},
            {"token", std::to_string(claim_.epoch_)}});
  gateway_->Start(
      worker.entry_, order,
      [this, worker_id = worker.entry_.id_, service = worker.entry_.service_,
       id, run, now_ms, alive = is_alive_](const OrderResult& result) {
        if (*alive) {
          metrics_->Record(FleetLatency::kStartOrder, service,
                           static_cast<double>(BootMs() - now_ms));
          OnStartAnswer(worker_id, id, run, result);
        }
      });
}

auto Dispatcher::OnStartAnswer(const std::string& worker_id, const TaskId& id,
                               std::int64_t run, const OrderResult& result)
    -> void {
  const auto it = workers_.find(worker_id);
  auto* placed =
      it == workers_.end() ? nullptr : it->second.Find(id.ToString(), run);
  if (placed == nullptr) {
    // The run has ended already.
    return;
  }
  auto& worker = it->second;
  const auto now = BootMs();
  worker.ReadClock(result.worker_clock_ms_, now);
  if (result.status_ == WorkerStatus::kOk) {
    if (auto* job = FindJob(id.job_); job != nullptr) {
      job->MarkStarted();
    }
    if (placed->phase_ == PlacedRun::Phase::kStarting) {
      placed->phase_ = PlacedRun::Phase::kRunning;
      placed->settled_ms_ = now;
    }
    return;
  }
  metrics_->Add(FleetCounter::kStartsFailed);
  LogEvent(Event::kFleetStartFailed,
           {{"task", id.ToString()},
            {"run", std::to_string(run)},
            {"worker", worker_id},
            {"status", WorkerStatusName(result.status_)}});
  if (result.status_ == WorkerStatus::kFenced) {
    hooks_.step_down_(
        fmt::format("worker {} has seen a higher token", worker_id));
    return;
  }
  auto* job = FindJob(id.job_);
  auto* step =
      job == nullptr ? nullptr : job->FindStep(id.occurrence_, id.step_);
  if (result.status_ == WorkerStatus::kBadTicket && step != nullptr) {
    step->tickets_.erase(worker_id);
  } else if (result.status_ != WorkerStatus::kOldRun) {
    worker.suspect_until_ms_ = now + kSuspectMs;
  }
  if (result.status_ == WorkerStatus::kUnknown) {
    // The order may still be carried out; a stop that is answered rules it out.
    StopRun(*placed);
    if (step != nullptr && step->step_->is_gang_) {
      StopGang(*step, run);
    }
    SendStop(worker, *placed, now);
    return;
  }
  const auto gone = *placed;
  OnRunGone(worker, gone);
}

}  // namespace lentilscale::fleet
