// Room that is kept for tasks that last and wait.
//
// A task that lasts has to run again within seconds, however full its service
// is. In a full service what a run leaves is taken in the same pass, mostly by
// smaller tasks, and a call for advice takes longer than room is ever free. So
// each pass first keeps a place on a worker for each task of a step that is
// overdue: room that is free, or else what its runs leave from now on. Nothing
// else is started there meanwhile. The tickets are requested once there is
// room, which then is still there when they come.
//
// The place is chosen anew in each pass, where the least room is missing. A
// worker that is kept fills no gaps, so that less and less is missing there,
// and none of it depends on estimates of when runs will end; room for the whole
// task that becomes free anywhere is taken at once.

#include <algorithm>
#include <queue>
#include <tuple>

#include "fleet/dispatcher.h"

namespace lentilscale::fleet {
namespace {

// Steps for which a pass keeps room, those that have waited longest first.
constexpr std::size_t kMaxKeptSteps = 32;

// Returns the part of `demand` that `free` lacks, of the resource of which the
// most is missing; 0 if it fits. Room that others keep makes `free` negative.
auto MissingShare(const Resources& demand, const Resources& free) -> double {
  const auto share = [](std::int64_t wanted, std::int64_t amount) {
    return wanted <= amount || wanted == 0
               ? 0.0
               : static_cast<double>(wanted - amount) /
                     static_cast<double>(wanted);
  };
  return std::max({share(demand.cpu_milli_, free.cpu_milli_),
                   share(demand.memory_mb_, free.memory_mb_),
                   share(demand.accelerators_, free.accelerators_)});
}

// A place on a worker; the least one comes first.
struct Place {
  // What is missing there; one more if a task of the step has just failed on
  // the worker.
  double missing_ = 0;
  // Without a ticket, and not in a call that is on its way.
  bool lacks_ticket_ = false;
  bool is_unasked_ = false;
  std::size_t index_ = 0;
  FleetWorker* worker_ = nullptr;
  // Places that are left on the worker, this one included.
  int left_ = 0;

  auto operator>(const Place& other) const -> bool {
    return std::tie(missing_, lacks_ticket_, is_unasked_, index_) >
           std::tie(other.missing_, other.lacks_ticket_, other.is_unasked_,
                    other.index_);
  }
};

}  // namespace

auto Dispatcher::KeepRoomForOverdue(const std::vector<WaitingStep>& steps,
                                    Millis now_ms) -> void {
  std::vector<std::pair<Millis, const WaitingStep*>> overdue;
  for (const auto& waiting : steps) {
    if (waiting.step_->is_overdue_) {
      overdue.emplace_back(waiting.step_->WaitingSinceMs(), &waiting);
    }
  }
  std::stable_sort(
      overdue.begin(), overdue.end(),
      [](const auto& a, const auto& b) { return a.first < b.first; });
  // Steps with tasks for which no place has room yet, and how many.
  std::vector<std::pair<const WaitingStep*, int>> lacking;
  for (const auto& [since, waiting] : overdue) {
    const auto tasks =
        CountTasksToKeepRoomFor(*waiting->step_, *waiting->queue_);
    if (tasks == 0 ||
        services_[waiting->queue_->service_].usable_workers_.empty()) {
      continue;
    }
    lacking.emplace_back(waiting, tasks);
    if (lacking.size() == kMaxKeptSteps) {
      break;
    }
  }
  // A step that has waited for longer, but has no ticket for the room of
  // another, would have to ask while that one's ticket lapses. The runs on a
  // single place may take far longer than usual, so that what no other step
  // needs is kept as well.
  for (const auto claim : {Claim::kAsked, Claim::kAny, Claim::kAny}) {
    for (auto& [waiting, tasks] : lacking) {
      tasks -=
          KeepRoom(*waiting->step_, *waiting->queue_, claim, tasks, now_ms);
    }
  }
}

auto Dispatcher::CountTasksToKeepRoomFor(const StepRun& step,
                                         const Queue& queue) -> int {
  auto count = 0;
  auto demand = step.step_->demand_;
  for (std::size_t i = 0; i < step.tasks_.size(); ++i) {
    const auto index = static_cast<int>(i);
    if (step.tasks_[i].phase_ != Task::Phase::kWaiting ||
        MayRunAlready(step, index, queue) ||
        suspect_starts_.contains(SuspectName(step.TaskIdAt(index)))) {
      continue;
    }
    if (!IsWithinTeamLimit(step.job_->record().team_, demand)) {
      break;
    }
    demand += step.step_->demand_;
    ++count;
  }
  return step.step_->is_gang_ && count < static_cast<int>(step.tasks_.size())
             ? 0
             : count;
}

auto Dispatcher::KeepRoom(StepRun& step, const Queue& queue, Claim claim,
                          int tasks, Millis now_ms) -> int {
  if (tasks == 0) {
    return 0;
  }
  const auto demand = CapacityDemand(*step.step_);
  const auto place_on = [&](FleetWorker& worker, std::size_t index, int left) {
    const auto& id = worker.entry_.id_;
    const auto has_failed = std::any_of(
        step.tasks_.begin(), step.tasks_.end(), [&](const auto& task) {
          return task.phase_ == Task::Phase::kWaiting && task.failed_on_ == id;
        });
    auto free = worker.entry_.capacity_;
    free -= worker.used_;
    for (const auto& kept : worker.kept_room_) {
      free -= kept.amount_;
    }
    return Place{MissingShare(demand, free) + (has_failed ? 1 : 0),
                 !HasValidTicket(worker, step, queue, now_ms),
                 !worker.reservations_.contains(step.name_),
                 index,
                 &worker,
                 left};
  };
  std::priority_queue<Place, std::vector<Place>, std::greater<>> places;
  auto most = 0;
  const auto& usable = services_[queue.service_].usable_workers_;
  for (std::size_t i = 0; i < usable.size(); ++i) {
    auto& worker = *usable[i];
    if (worker.IsKeptForSuspect() || !MayRunOn(worker, step, queue, now_ms) ||
        (queue.advice_.has_value() &&
         !step.IsAllowedOn(worker.entry_.id_, worker.incarnation_)
              .value_or(false))) {
      continue;
    }
    auto free = worker.CapacityOnceEnded();
    for (const auto& kept : worker.kept_room_) {
      free -= kept.amount_;
    }
    const auto fitting =
        CountFitting(demand, free, TasksWithinWorkerLimit(worker, step, tasks));
    if (fitting > 0) {
      most += fitting;
      places.push(place_on(worker, i, fitting));
    }
  }
  if (most == 0 || (step.step_->is_gang_ && most < tasks)) {
    return 0;
  }
  auto ready = 0;
  for (auto left = tasks; left > 0 && !places.empty();) {
    const auto place = places.top();
    places.pop();
    if (claim == Claim::kAsked &&
        (place.missing_ > 0 || (place.lacks_ticket_ && place.is_unasked_))) {
      continue;
    }
    --left;
    place.worker_->kept_room_.push_back({step.name_, demand});
    if (place.missing_ == 0) {
      ++ready;
      step.unticketed_places_ +=
          queue.advice_.has_value() && place.lacks_ticket_ && place.is_unasked_
              ? 1
              : 0;
      // It can start, or ask about the worker.
      step.look_round_ = 0;
    }
    if (place.left_ > 1) {
      places.push(place_on(*place.worker_, place.index_, place.left_ - 1));
    }
  }
  return ready;
}

}  // namespace lentilscale::fleet
