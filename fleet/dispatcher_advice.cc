// Calls to the advice service for waiting steps: which steps make a call, which
// workers it names, and how the tickets are used.
//
// Whether a worker is allowed for a step never changes, but a ticket is valid
// for only two seconds. A step's first long call therefore names all workers of
// the service, up to the limit of a call. Later calls name only workers with
// room on which the step was not refused. The room on workers that are known to
// be allowed is reserved until the answer arrives.

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
// Workers named beyond the expected need.
constexpr int kExtraWorkers = 2;
// The service accepts at most this many workers in a call.
constexpr std::size_t kMaxAdviceWorkers = 100;
constexpr Millis kAdviceRetryMs = 250;
// Tickets are requested this long before the tasks of unclaimed workers may be
// placed: a long call takes most of it, and its tickets are valid for longer.
constexpr Millis kTakeOverLeadMs = 1000;
// Calls that take at most this long are treated as urgent, as they do not delay
// other urgent calls.
constexpr double kMaxUrgentAdviceMs = 60;

}  // namespace

// Makes the calls in order of rank: the queue's priority plus the number of
// calls since the step was last placed in full. Steps for which no worker has
// room therefore cannot take all slots.
auto Dispatcher::RequestPendingAdvice(Millis now_ms) -> void {
  std::stable_sort(pending_advice_.begin(), pending_advice_.end(),
                   [](const PendingAdvice& a, const PendingAdvice& b) {
                     return a.rank_ < b.rank_;
                   });
  for (const auto& pending : pending_advice_) {
    RequestAdvice(*pending.step_, *pending.queue_, pending.task_count_, now_ms);
  }
  pending_advice_.clear();
}

auto Dispatcher::AddPendingAdvice(StepRun& step, const Queue& queue,
                                  int task_count) -> void {
  if (queue.advice_.has_value()) {
    pending_advice_.push_back(
        {&step, &queue, task_count, queue.priority_ + step.advice_calls_});
  }
}

auto Dispatcher::AddAdviceForTakeOver(StepRun& step, const Queue& queue,
                                      int task_count, Millis now_ms) -> void {
  if (now_ms >= TakeOverEndMs() - kTakeOverLeadMs) {
    AddPendingAdvice(step, queue, task_count);
  }
}

auto Dispatcher::RequestAdvice(StepRun& step, const Queue& queue,
                               int task_count, Millis now_ms) -> void {
  if (!queue.advice_.has_value() || step.is_advice_pending_ ||
      now_ms < step.next_advice_call_ms_) {
    return;
  }
  const auto is_urgent = queue.advice_->decide_ms_ <= kMaxUrgentAdviceMs;
  if (!advice_->HasSlot(is_urgent, now_ms)) {
    return;
  }
  const auto demand = CapacityDemand(*step.step_);
  // Returns how many of the step's tasks fit on `worker` now.
  const auto count_fitting_tasks = [&](const FleetWorker& worker) {
    auto free = worker.FreeCapacityFor(step.name_, queue.priority_,
                                       step.ignores_exclusivity_);
    auto limit = step.step_->max_per_worker_ > 0 ? step.step_->max_per_worker_
                                                 : task_count;
    auto fitting = 0;
    while (fitting < std::min(limit, task_count) && demand.FitsIn(free)) {
      free -= demand;
      ++fitting;
    }
    return fitting;
  };
  struct Candidate {
    FleetWorker* worker_;
    int task_count_;
    bool is_allowed_;
    double score_;
  };
  std::vector<Candidate> candidates;
  auto expected_placements = 0.0;
  auto placeable = 0;
  for (auto* worker : services_[queue.service_].usable_workers_) {
    if (!IsEligible(*worker, step, queue, now_ms)) {
      continue;
    }
    const auto count = count_fitting_tasks(*worker);
    placeable += count;
    if (HasValidTicket(*worker, step, queue, now_ms)) {
      expected_placements += count;
      continue;
    }
    candidates.push_back(
        {worker, count,
         step.IsAllowedOn(worker->entry_.id_, worker->incarnation_)
             .value_or(false),
         ScoreWorker(*worker, step)});
  }
  if (candidates.empty() || (step.step_->is_gang_ && placeable < task_count)) {
    return;
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const Candidate& a, const Candidate& b) {
              return std::tuple(!a.is_allowed_, -a.score_) <
                     std::tuple(!b.is_allowed_, -b.score_);
            });
  const auto share_it = allowed_share_.find(queue.name_);
  const auto share = std::max(kMinAllowedShare, share_it == allowed_share_.end()
                                                    ? kInitialAllowedShare
                                                    : share_it->second);
  AdviceRequest request;
  auto spare_workers = kExtraWorkers;
  for (const auto& candidate : candidates) {
    if (expected_placements >= task_count && spare_workers-- == 0) {
      break;
    }
    if (request.worker_ids_.size() == kMaxAdviceWorkers) {
      break;
    }
    request.worker_ids_.push_back(candidate.worker_->entry_.id_);
    expected_placements +=
        candidate.task_count_ * (candidate.is_allowed_ ? 1.0 : share);
    if (candidate.is_allowed_) {
      auto& reservation = candidate.worker_->reservations_[step.name_];
      reservation.priority_ = queue.priority_;
      for (auto i = 0; i < candidate.task_count_; ++i) {
        reservation.amount_ += demand;
      }
    }
  }
  if (!is_urgent && step.advice_by_worker_.empty()) {
    AddAllServiceWorkers(step, queue, request.worker_ids_);
  }
  request.step_name_ = step.name_;
  request.is_urgent_ = is_urgent;
  request.expected_ms_ =
      static_cast<Millis>(queue.advice_->decide_ms_ +
                          queue.advice_->per_worker_ms_ *
                              static_cast<double>(request.worker_ids_.size()));
  // The incarnations of the workers that are asked about.
  std::map<std::string, std::int64_t> asked;
  for (const auto& id : request.worker_ids_) {
    asked[id] = workers_.at(id).incarnation_;
  }
  step.is_advice_pending_ = advice_->RequestAdvice(
      request, now_ms,
      [this, job = step.job_->record().id_, occurrence = step.occurrence_,
       number = step.step_number_, asked, name = queue.name_, now_ms,
       alive = is_alive_](const AdviceResult& result) {
        if (*alive) {
          metrics_->Increment(FleetCounter::kAdviceCalls);
          metrics_->Record(FleetLatency::kAdvice, name,
                           static_cast<double>(BootMs() - now_ms));
          OnAdvice(job, occurrence, number, asked, result);
        }
      });
}

// Extends the first long call of a step to all workers of the service. The
// answer holds for as long as the step exists, so that later calls can name
// only workers that are allowed and have room.
auto Dispatcher::AddAllServiceWorkers(const StepRun& step, const Queue& queue,
                                      std::vector<std::string>& asked) const
    -> void {
  const std::set<std::string> named(asked.begin(), asked.end());
  for (const auto& [id, worker] : workers_) {
    if (asked.size() < kMaxAdviceWorkers && !named.contains(id) &&
        worker.entry_.service_ == queue.service_ && worker.is_listed_ &&
        !worker.entry_.is_draining_ &&
        worker.HasLabel(step.step_->required_label_)) {
      asked.push_back(id);
    }
  }
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
  for (auto& [id, worker] : workers_) {
    worker.reservations_.erase(name);
  }
  if (step == nullptr) {
    return;
  }
  const auto now = BootMs();
  step->is_advice_pending_ = false;
  ++step->advice_calls_;
  LogEvent(Event::kFleetAdvice,
           {{"step", step->name_},
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
