// Calls to the advice service for waiting steps: which steps make a call, which
// workers it names, and how the tickets are used.
//
// Whether a worker is allowed for a step never changes, but a ticket is valid
// for only two seconds; advice_plan.h decides about which workers a step asks.
// The room on the workers that are asked about is reserved until the answer
// arrives, and only tentatively where the step may turn out not to be allowed.
// A step makes its next calls when all its last ones have returned, but for
// those about room that is kept for it (dispatcher_kept_room.cc).
//
// When room is scarce, many steps ask about the same few workers that have
// some, and all but one of them find it taken. If they asked about workers with
// room again, their calls would take the owner's time while room gets free. So
// a step whose first call was not enough also names workers that will have
// room, and then waits for those for which it has tickets. Runs that are
// expected to outlast the tickets leave no such room.

#include <fmt/format.h>

#include <algorithm>

#include "fleet/dispatcher.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Share of workers assumed to be allowed until a queue has answers.
constexpr double kInitialAllowedShare = 0.5;
constexpr double kMinAllowedShare = 0.1;
constexpr double kShareSmoothing = 0.1;
constexpr Millis kAdviceRetryMs = 250;
// Pause until a step that has nothing to ask about is looked at again.
constexpr Millis kReplanMs = 30;
// Time after a round of calls for which a step with enough tickets makes no
// other: by then others may have taken the room for which it waits.
constexpr Millis kTicketsAheadMs = 500;
// Starts for which a class in time has tickets or asks for them while it is
// held back, in seconds of its starts: a call takes that long where calls queue
// up.
constexpr double kAdviceLeadS = 0.4;
// Instances that can take an urgent call for each that has none.
constexpr std::size_t kInstancesPerCallAhead = 2;
// Tickets are requested this long before the tasks of unclaimed workers may be
// placed: a long call takes most of it, and its tickets are valid for longer.
constexpr Millis kTakeOverLeadMs = 1000;
// Calls that take at most this long are treated as urgent, as they do not delay
// other urgent calls.
constexpr double kMaxUrgentAdviceMs = 60;

}  // namespace

auto Dispatcher::RequestPendingAdvice(Millis now_ms) -> void {
  free_advice_slots_ = {};
  std::stable_sort(pending_advice_.begin(), pending_advice_.end(),
                   [](const PendingAdvice& a, const PendingAdvice& b) {
                     return a.rank_ < b.rank_;
                   });
  const auto late = std::stable_partition(
      pending_advice_.begin(), pending_advice_.end(),
      [](const PendingAdvice& pending) { return !pending.step_->is_late_; });
  auto next_in_time = pending_advice_.begin();
  auto next_late = late;
  while (next_in_time != late || next_late != pending_advice_.end()) {
    const auto is_late = advice_turns_.IsLateNext(
        next_in_time != late, next_late != pending_advice_.end());
    if (RequestAdvice(is_late ? *next_late++ : *next_in_time++, now_ms)) {
      advice_turns_.OnRequested(is_late);
    }
  }
  pending_advice_.clear();
  RequestAdviceAhead(now_ms);
}

auto Dispatcher::AddPendingAdvice(const WaitingStep& waiting, int task_count,
                                  Millis now_ms) -> void {
  auto& step = *waiting.step_;
  const auto& queue = *waiting.queue_;
  if (queue.advice_.has_value()) {
    // Rounds count against steps without room.
    const auto rounds = step.unticketed_places_ > 0 ? 0 : step.advice_rounds_;
    pending_advice_.push_back(
        {&step, &queue, waiting.class_, task_count,
         AdviceRank({queue.priority_, rounds,
                     now_ms - step.last_advice_round_ms_,
                     step.IsOverdue(now_ms), now_ms - step.WaitingSinceMs()})});
  }
}

auto Dispatcher::AddAdviceAhead(const std::vector<WaitingStep>& steps,
                                Millis now_ms) -> void {
  // By class: tasks that are still to be asked for.
  std::map<const StartClass*, double> left;
  for (const auto& waiting : steps) {
    const auto& step = *waiting.step_;
    // A step that this round has looked at waits for something else.
    if (!waiting.class_->is_held_back_ || waiting.is_visited_ ||
        step.look_round_ == waiting.class_->look_round_ || step.is_late_ ||
        !waiting.queue_->advice_.has_value() ||
        IsInfeasible(step, *waiting.queue_)) {
      continue;
    }
    const auto [it, is_new] = left.try_emplace(waiting.class_, 0);
    if (is_new) {
      it->second = start_shares_.StartsPerS(*waiting.class_) * kAdviceLeadS;
    }
    if (it->second <= 0) {
      continue;
    }
    it->second -= step.waiting_count_;
    if (LacksTickets(step, *waiting.queue_, now_ms)) {
      advice_ahead_.push_back(&waiting);
    }
  }
}

auto Dispatcher::RequestAdviceAhead(Millis now_ms) -> void {
  for (const auto* waiting : advice_ahead_) {
    // Half of the instances stay free for steps whose turn it is, above all for
    // long calls, each of which needs an instance of its own.
    if (kInstancesPerCallAhead * CountFreeAdviceSlots(false, now_ms) <
        CountFreeAdviceSlots(true, now_ms)) {
      break;
    }
    RequestAdvice({waiting->step_, waiting->queue_, waiting->class_,
                   waiting->step_->waiting_count_, 0},
                  now_ms);
  }
  advice_ahead_.clear();
}

auto Dispatcher::LacksTickets(const StepRun& step, const Queue& queue,
                              Millis now_ms) const -> bool {
  return !step.step_->is_gang_ && !step.job_->may_be_running() &&
         IsQueueServiceRecorded(queue) &&
         std::none_of(step.tickets_.begin(), step.tickets_.end(),
                      [now_ms](const auto& ticket) {
                        return now_ms < ticket.second.expires_ms_;
                      });
}

auto Dispatcher::AddAdviceForTakeOver(const WaitingStep& waiting,
                                      int task_count, Millis now_ms) -> void {
  if (now_ms >= TakeOverEndMs() - kTakeOverLeadMs) {
    AddPendingAdvice(waiting, task_count, now_ms);
  }
}

auto Dispatcher::CountFreeAdviceSlots(bool is_urgent, Millis now_ms)
    -> std::size_t {
  auto& count =
      is_urgent ? free_advice_slots_.urgent_ : free_advice_slots_.long_;
  if (!count.has_value()) {
    count = advice_->CountFreeSlots(is_urgent, now_ms);
  }
  return *count;
}

auto Dispatcher::RequestAdvice(const PendingAdvice& pending, Millis now_ms)
    -> bool {
  auto& step = *pending.step_;
  const auto& queue = *pending.queue_;
  // A call about workers without room doesn't delay one about room that is
  // kept.
  const auto is_for_kept_room = step.open_advice_calls_ > 0;
  if ((is_for_kept_room && step.unticketed_places_ == 0) ||
      now_ms < step.next_advice_call_ms_) {
    return false;
  }
  // An overdue step starts before those of all classes, so it needs its tickets
  // whatever its class waits for.
  if (!step.IsOverdue(now_ms) &&
      !start_shares_.MayRequestAdvice(*pending.class_, start_window_.limit(),
                                      queue.advice_->valid_ms_)) {
    return false;
  }
  if (HasTicketsAhead(step, queue, pending.task_count_, now_ms)) {
    step.next_advice_call_ms_ = now_ms + kReplanMs;
    return false;
  }
  const auto is_urgent = queue.advice_->decide_ms_ <= kMaxUrgentAdviceMs;
  AdviceNeed need;
  need.free_slots_ = CountFreeAdviceSlots(is_urgent, now_ms);
  if (need.free_slots_ == 0) {
    return false;
  }
  need.task_count_ = pending.task_count_;
  need.is_gang_ = step.step_->is_gang_;
  // Room is kept only on workers that are known to be allowed.
  need.names_full_workers_ =
      !is_for_kept_room &&
      (!is_urgent || step.is_overdue_ || step.advice_rounds_ > 0);
  need.policy_ = *queue.advice_;
  const auto share_it = allowed_share_.find(queue.name_);
  need.allowed_share_ = std::max(
      kMinAllowedShare, share_it == allowed_share_.end() ? kInitialAllowedShare
                                                         : share_it->second);
  const auto candidates = FindAdviceCandidates(step, queue, need, now_ms);
  const auto calls = PlanAdviceCalls(need, candidates);
  if (calls.empty()) {
    step.next_advice_call_ms_ = now_ms + kReplanMs;
    return false;
  }
  ReserveRoom(step, queue, candidates, calls);
  for (std::size_t i = 0; i < calls.size(); ++i) {
    SendAdviceCall(pending, calls[i], is_urgent,
                   i == 0 ? pending.task_count_ : 0, now_ms);
  }
  free_advice_slots_ = {};
  return true;
}

auto Dispatcher::HasTicketsAhead(const StepRun& step, const Queue& queue,
                                 int task_count, Millis now_ms) -> bool {
  if (step.step_->is_gang_ || step.IsOverdue(now_ms) ||
      now_ms - step.last_advice_round_ms_ >= kTicketsAheadMs) {
    return false;
  }
  const auto demand = CapacityDemand(*step.step_);
  auto tasks = 0;
  for (const auto& [id, advice] : step.advice_by_worker_) {
    const auto it = workers_.find(id);
    if (!advice.is_allowed_ || it == workers_.end() ||
        it->second.IsKeptForSuspect() ||
        !MayRunOn(it->second, step, queue, now_ms)) {
      continue;
    }
    const auto& worker = it->second;
    const auto limit = TasksWithinWorkerLimit(worker, step, task_count);
    if (HasValidTicket(worker, step, queue, now_ms)) {
      const auto lapses_in_ms = step.tickets_.at(id).expires_ms_ - now_ms;
      tasks += CountFitting(demand, worker.CapacityWithin(lapses_in_ms, now_ms),
                            limit);
    } else if (CountFitting(demand, FreeCapacity(worker, step, queue), limit) >
               0) {
      return false;
    }
  }
  return tasks >= kFutureRoomFactor * task_count;
}

auto Dispatcher::FindAdviceCandidates(const StepRun& step, const Queue& queue,
                                      AdviceNeed& need, Millis now_ms)
    -> std::vector<AdviceCandidate> {
  const auto demand = CapacityDemand(*step.step_);
  // Usual time of a round of calls, see advice_plan.cc. A gang cannot use a
  // ticket that will have lapsed when the other ones arrive.
  const auto needed_until_ms =
      now_ms +
      (need.is_gang_ ? static_cast<Millis>(2 * need.policy_.decide_ms_) : 0);
  // What a long call has told, and what room is kept by, is of use after the
  // tickets have lapsed.
  const auto outlasts_tickets =
      step.is_overdue_ || need.policy_.decide_ms_ > kMaxUrgentAdviceMs;
  std::vector<AdviceCandidate> candidates;
  for (auto* worker : services_[queue.service_].usable_workers_) {
    if (worker->IsKeptForSuspect() || !MayRunOn(*worker, step, queue, now_ms)) {
      continue;
    }
    const auto limit = TasksWithinWorkerLimit(*worker, step, need.task_count_);
    AdviceCandidate candidate;
    candidate.fitting_tasks_ =
        CountFitting(demand, FreeCapacity(*worker, step, queue), limit);
    candidate.is_allowed_ =
        step.IsAllowedOn(worker->entry_.id_, worker->incarnation_)
            .value_or(false);
    if (need.names_full_workers_) {
      candidate.fitting_later_ = CountFitting(
          demand,
          outlasts_tickets
              ? worker->CapacityOnceEnded()
              : worker->CapacityWithin(need.policy_.valid_ms_, now_ms),
          limit);
    }
    if (HasValidTicket(*worker, step, queue, needed_until_ms)) {
      need.ticketed_tasks_ += candidate.fitting_tasks_;
      continue;
    }
    if (candidate.fitting_tasks_ == 0 && !need.names_full_workers_) {
      continue;
    }
    if (step.open_advice_calls_ > 0 &&
        (!worker->KeepsRoomFor(step.name_) ||
         worker->reservations_.contains(step.name_))) {
      continue;
    }
    candidate.worker_id_ = worker->entry_.id_;
    candidate.score_ = ScoreWorker(*worker, step);
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

auto Dispatcher::ReserveRoom(const StepRun& step, const Queue& queue,
                             const std::vector<AdviceCandidate>& candidates,
                             const std::vector<std::vector<std::string>>& calls)
    -> void {
  std::set<std::string> named;
  for (const auto& workers : calls) {
    named.insert(workers.begin(), workers.end());
  }
  const auto demand = CapacityDemand(*step.step_);
  for (const auto& candidate : candidates) {
    if (!named.contains(candidate.worker_id_)) {
      continue;
    }
    auto& reservation =
        workers_.at(candidate.worker_id_).reservations_[step.name_];
    reservation = {};
    reservation.priority_ = queue.priority_;
    // What an overdue step needs is kept for it by each pass.
    reservation.is_tentative_ = !candidate.is_allowed_ || step.is_overdue_;
    for (auto i = 0; i < candidate.fitting_tasks_; ++i) {
      reservation.amount_ += demand;
    }
  }
}

auto Dispatcher::SendAdviceCall(const PendingAdvice& pending,
                                const std::vector<std::string>& workers,
                                bool is_urgent, int task_count, Millis now_ms)
    -> void {
  auto& step = *pending.step_;
  const auto& queue = *pending.queue_;
  AdviceRequest request;
  request.step_name_ = step.name_;
  request.worker_ids_ = workers;
  request.is_urgent_ = is_urgent;
  request.expected_ms_ = AdviceCallMs(*queue.advice_, workers.size());
  // The incarnations of the workers that are asked about.
  std::map<std::string, std::int64_t> asked;
  for (const auto& id : workers) {
    asked[id] = workers_.at(id).incarnation_;
  }
  const auto is_sent = advice_->RequestAdvice(
      request, now_ms,
      [this, job = step.job_->record().id_, occurrence = step.occurrence_,
       number = step.step_number_, asked, name = queue.name_, now_ms,
       task_count, start_class = pending.class_,
       alive = is_alive_](const AdviceResult& result) {
        if (*alive) {
          start_class->awaiting_advice_ -= task_count;
          metrics_->Increment(FleetCounter::kAdviceCalls);
          metrics_->Record(FleetLatency::kAdvice, name,
                           static_cast<double>(BootMs() - now_ms));
          OnAdvice(job, occurrence, number, asked, result);
        }
      });
  step.open_advice_calls_ += is_sent ? 1 : 0;
  pending.class_->awaiting_advice_ += is_sent ? task_count : 0;
}

auto Dispatcher::OnAdvice(const std::string& job, std::int64_t occurrence,
                          int step_number,
                          const std::map<std::string, std::int64_t>& asked,
                          const AdviceResult& result) -> void {
  auto* found = FindJob(job);
  auto* step =
      found == nullptr ? nullptr : found->FindStep(occurrence, step_number);
  RequestPlacementPass();
  const auto name = fmt::format("{}.{}.{}", job, occurrence, step_number);
  for (const auto& [id, incarnation] : asked) {
    if (const auto it = workers_.find(id); it != workers_.end()) {
      it->second.reservations_.erase(name);
    }
  }
  if (step == nullptr) {
    return;
  }
  step->look_round_ = 0;
  const auto now = BootMs();
  if (--step->open_advice_calls_ == 0) {
    ++step->advice_rounds_;
    step->last_advice_round_ms_ = now;
  }
  LogEvent(Event::kFleetAdvice,
           {{"step", step->name_},
            {"rounds", std::to_string(step->advice_rounds_)},
            {"asked", std::to_string(asked.size())},
            {"answered", result.is_answered_ ? "true" : "false"},
            {"allowed", std::to_string(result.tickets_.size())},
            {"valid_ms", std::to_string(result.valid_ms_)}});
  if (!result.is_answered_) {
    step->next_advice_call_ms_ = now + kAdviceRetryMs;
    return;
  }
  for (const auto& [id, incarnation] : asked) {
    step->advice_by_worker_[id] = {false, incarnation};
  }
  for (const auto& ticket : result.tickets_) {
    step->advice_by_worker_[ticket.worker_id_].is_allowed_ = true;
    const auto it = workers_.find(ticket.worker_id_);
    if (it != workers_.end()) {
      step->tickets_[ticket.worker_id_] = {
          ticket.text_, it->second.incarnation_, now + result.valid_ms_};
    }
  }
  const auto& queue = found->record().queue_;
  const auto share =
      static_cast<double>(result.tickets_.size()) /
      static_cast<double>(std::max<std::size_t>(1, asked.size()));
  const auto it = allowed_share_.try_emplace(queue, kInitialAllowedShare).first;
  it->second += kShareSmoothing * (share - it->second);
}

}  // namespace lentilscale::fleet
