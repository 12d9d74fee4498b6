// Steps are placed in order of priority, then of acceptance. A step that does
// not fit is skipped, so that smaller steps use the capacity meanwhile. Within
// a priority, jobs that will be late anyway yield to jobs that can still be on
// time: under a backlog, first-come-first-served would make every job slightly
// late.
//
// Late jobs yield however late they are, but for a share that they have in
// what is scarce, so that each ends some day. If they yielded for a bounded
// time, a backlog beyond that bound would be worked off
// first-come-first-served, and nothing would be on time while work keeps
// coming. Where starts are scarce their share is that of start_shares.h. Where
// room is, jobs that are about to count as lost go first in one pass of a few:
// a pass hands out the room that has become free since the last one.
//
// One turn of the loop sends a bounded number of starts, and none while as many
// are awaited as start_window.h allows; start_shares.h decides whose they are.
// The first step that is held back closes its class, so that those behind it do
// neither take the room for which it waits nor ask for tickets that they cannot
// use yet. Other classes are looked at all the same: they may have workers of
// their own, and a call for advice takes longer than a turn. Of those steps
// that cannot start, each turn looks at some, until each has been looked at
// once and a new round begins.

#include <algorithm>
#include <limits>
#include <tuple>

#include "fleet/dispatcher.h"

namespace lentilscale::fleet {
namespace {

// Shortest delay before a pass, so that further events join it.
constexpr Millis kCoalesceMs = 2;
// A pass is followed by a pause of twice its duration, up to kMaxPassPauseMs.
// Within that bound, placement takes at most a third of the processor however
// many steps wait.
constexpr double kPassPauseFactor = 2;
constexpr Millis kMaxPassPauseMs = 100;
// The same for what a pass does before its first start, which costs as much
// when one task waits as when many do: at most a tenth of the processor.
constexpr double kPreparationPauseFactor = 9;
// A step waits for more urgent classes for this share of its job's objective;
// then its class has a share of the starts. Tasks that last have no objective,
// and no time to lose.
constexpr double kPatientObjectiveShare = 0.1;
// Steps of each class that cannot start and that a pass looks at while starts
// are held back. The passes then follow each other without a pause, so that
// their cost must not grow with the backlog.
constexpr int kMaxLooksPerPass = 64;
constexpr int kAllSteps = std::numeric_limits<int>::max();
// One pass in this many is the turn of jobs that are about to count as lost.
constexpr std::int64_t kPassesPerLateTurn = 4;
constexpr double kNsPerMs = 1e6;

// Calls `visit` for each resource with its amount in `into` and in `from`.
template <typename Visit>
auto ForEachResource(Resources& into, const Resources& from, Visit visit)
    -> void {
  visit(into.slots_, from.slots_);
  visit(into.cpu_milli_, from.cpu_milli_);
  visit(into.memory_mb_, from.memory_mb_);
  visit(into.accelerators_, from.accelerators_);
}

}  // namespace

auto Dispatcher::RequestPlacementPass() -> void {
  if (is_pass_requested_) {
    return;
  }
  is_pass_requested_ = true;
  const auto pause =
      std::clamp(static_cast<Millis>(
                     std::max(kPassPauseFactor * last_pass_ms_,
                              kPreparationPauseFactor * last_preparation_ms_)),
                 kCoalesceMs, kMaxPassPauseMs);
  RunAfter(loop_, pause, [this, alive = is_alive_] {
    if (*alive) {
      RunPlacementPass();
    }
  });
}

auto Dispatcher::RunPlacementPass() -> void {
  is_pass_requested_ = false;
  // The leases of this pass count from a time before the rights are checked.
  const auto now = BootMs();
  if (!is_state_read_ || waiting_.empty() || !hooks_.has_rights_()) {
    return;
  }
  const auto start_ns = uv_hrtime();
  ReleaseUnneededSuspectStarts(now);
  SummarizeServices(now);
  auto steps = OrderWaitingSteps(now);
  KeepRoomForOverdue(steps, now);
  last_preparation_ms_ = static_cast<double>(uv_hrtime() - start_ns) / kNsPerMs;
  const auto budget = pass_budget_.starts();
  starts_ns_ = 0;
  start_shares_.BeginPass(std::min(budget, start_window_.room()),
                          is_start_held_back_ ? kMaxLooksPerPass : kAllSteps,
                          now);
  VisitSteps(steps, now);
  if (start_shares_.HasRoom()) {
    start_shares_.ReleaseRest();
    VisitSteps(steps, now);
  }
  AddAdviceAhead(steps, now);
  is_start_held_back_ = start_shares_.EndPass();
  MeasureBacklog(steps, now);
  RequestPendingAdvice(now);
  services_.clear();
  last_pass_ms_ = static_cast<double>(uv_hrtime() - start_ns) / kNsPerMs;
  ReportHeldBackStarts(now);
  pass_budget_.OnPass(start_shares_.sent(), starts_ns_);
  if (start_shares_.sent() >= budget) {
    is_start_held_back_ = true;
    last_pass_ms_ = 0;
    last_preparation_ms_ = 0;
    RequestPlacementPass();
  }
}

auto Dispatcher::ClassOf(StepRun& step, const Queue& queue) -> StartClass& {
  return start_shares_.ClassOf(
      {queue.service_, std::get<0>(WaitingKeyOf(step)),
       step.is_late_ ? Lateness::kLate : Lateness::kInTime});
}

auto Dispatcher::OrderWaitingSteps(Millis now_ms) -> std::vector<WaitingStep> {
  const auto wall = WallMs();
  UpdateKnownQueues();
  // By queue, priority and lateness: a lookup by the service's name for each
  // step would take longer than all else here.
  std::map<std::tuple<const Queue*, int, bool>, StartClass*> classes;
  std::vector<WaitingStep> urgent;
  std::vector<WaitingStep> steps;
  std::vector<WaitingStep> yielding;
  const auto is_late_turn =
      !is_start_held_back_ && ++pass_number_ % kPassesPerLateTurn == 0;
  auto priority = std::numeric_limits<int>::min();
  const auto add_yielding = [&] {
    steps.insert(steps.end(), yielding.begin(), yielding.end());
    yielding.clear();
  };
  for (const auto& [key, step] : waiting_) {
    UpdateTurn(*step);
    const auto* queue = step->turn_.policy_;
    if (queue == nullptr || step->job_->IsEnded()) {
      continue;
    }
    if (std::get<0>(key) != priority) {
      add_yielding();
      priority = std::get<0>(key);
    }
    const auto& lateness = step->turn_.lateness_;
    const auto is_late = lateness.IsLate(wall);
    if (is_late != step->is_late_) {
      // It has not been looked at in the rounds of its new class.
      step->is_late_ = is_late;
      step->look_round_ = 0;
    }
    auto& start_class = classes[{queue, priority, is_late}];
    if (start_class == nullptr) {
      start_class = &ClassOf(*step, *queue);
    }
    const auto is_yielding = is_late_turn ? lateness.IsYielding(wall) : is_late;
    step->is_overdue_ = step->IsOverdue(now_ms);
    step->unticketed_places_ = 0;
    const auto is_urgent = is_start_held_back_ && step->is_overdue_;
    // Tasks that last have no objective, so that urgent steps never yield.
    auto& turns = is_urgent ? urgent : is_yielding ? yielding : steps;
    turns.push_back({step, queue, start_class, is_urgent});
  }
  add_yielding();
  steps.insert(steps.begin(), urgent.begin(), urgent.end());
  return steps;
}

auto Dispatcher::VisitSteps(std::vector<WaitingStep>& steps, Millis now_ms)
    -> void {
  for (auto& waiting : steps) {
    auto& start_class = *waiting.class_;
    if (waiting.is_visited_ || start_class.is_held_back_ ||
        waiting.step_->look_round_ == start_class.look_round_) {
      continue;
    }
    if (start_class.looks_left_ == 0) {
      start_class.is_look_due_ = true;
      continue;
    }
    const auto sent = start_shares_.sent();
    waiting.is_visited_ = true;
    VisitStep(waiting, now_ms);
    if (waiting.is_visited_ && start_shares_.sent() == sent) {
      waiting.step_->look_round_ = start_class.look_round_;
      --start_class.looks_left_;
    }
  }
}

auto Dispatcher::VisitStep(WaitingStep& waiting, Millis now_ms) -> void {
  auto& step = *waiting.step_;
  step.ignores_exclusivity_ =
      MayIgnoreExclusivity(step, *waiting.queue_, now_ms);
  const auto is_placed = step.step_->is_gang_ ? PlaceGang(waiting, now_ms)
                                              : PlaceStep(waiting, now_ms);
  if (is_placed) {
    step.advice_rounds_ = 0;
    waiting_.erase(WaitingKeyOf(step));
  }
}

auto Dispatcher::MayStart(const WaitingStep& waiting) const -> bool {
  return waiting.is_urgent_ ? start_shares_.HasRoom()
                            : start_shares_.MayStart(*waiting.class_);
}

auto Dispatcher::MayStartGang(const WaitingStep& waiting, int count) const
    -> bool {
  return MayStart(waiting) && (start_window_.HasRoomForGang(count) ||
                               start_shares_.HasCredit(*waiting.class_));
}

auto Dispatcher::HoldBack(WaitingStep& waiting, Millis now_ms) -> void {
  waiting.is_visited_ = false;
  const auto patience = static_cast<Millis>(
      kPatientObjectiveShare *
      static_cast<double>(waiting.step_->job_->ObjectiveMs(*waiting.queue_)));
  start_shares_.OnHeldBack(*waiting.class_,
                           waiting.step_->HasWaitedFor(patience, now_ms));
}

auto Dispatcher::SummarizeServices(Millis now_ms) -> void {
  if (!are_groups_current_) {
    GroupWorkers();
  }
  for (const auto& [name, group] : worker_groups_) {
    auto& service = services_[name];
    service.worker_count_ = group.workers_.size();
    service.capacity_ = group.capacity_;
    service.min_capacity_ = group.min_capacity_;
    service.usable_workers_.reserve(group.workers_.size());
    for (auto* worker : group.workers_) {
      worker->exclusive_for_.clear();
      worker->kept_room_.clear();
      service.used_ += worker->used_;
      service.suspect_workers_ +=
          worker->suspect_runs_ > 0 || worker->IsKeptForSuspect() ? 1 : 0;
      if (!worker->IsUsable(now_ms, true)) {
        continue;
      }
      service.usable_workers_.push_back(worker);
      auto free = worker->entry_.capacity_;
      free -= worker->used_;
      ForEachResource(service.max_free_, free,
                      [](std::int64_t& largest, std::int64_t amount) {
                        largest = std::max(largest, amount);
                      });
    }
  }
}

auto Dispatcher::GroupWorkers() -> void {
  worker_groups_.clear();
  for (auto& [id, worker] : workers_) {
    auto& group = worker_groups_[worker.entry_.service_];
    group.workers_.push_back(&worker);
    group.capacity_ += worker.entry_.capacity_;
    ForEachResource(group.min_capacity_, worker.entry_.capacity_,
                    [](std::int64_t& smallest, std::int64_t amount) {
                      if (amount > 0 && (smallest == 0 || amount < smallest)) {
                        smallest = amount;
                      }
                    });
  }
  are_groups_current_ = true;
}

}  // namespace lentilscale::fleet
