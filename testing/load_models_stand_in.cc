// The workers and the advice service answer after the delays of a deployment
// with two regions. Workers keep no clocks of their own and leases do not
// expire: nothing fails here but tasks and owners. What a worker was told by an
// owner that is gone stays in force, and the ends that owner has not
// acknowledged are listed to the next one.

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <utility>

#include "lentilscale/clock.h"
#include "testing/load_world_stand_in.h"

namespace lentilscale::fleet {
namespace {

auto StepName(const TaskId& id) -> std::string {
  return fmt::format("{}.{}.{}", id.job_, id.occurrence_, id.step_);
}

}  // namespace

// The workers, as the owner calls them.
class LoadWorld::Gateway : public WorkerGateway {
 public:
  explicit Gateway(LoadWorld* world) : world_(world) {}

  auto Start(const WorkerEntry& worker, const StartOrder& order,
             OrderCallback callback) -> void override {
    world_->spend_(world_->scenario_.start_cost_us_);
    Deliver(
        worker.id_,
        [this, order](ModelWorker& target) {
          return world_->BeginRun(target, order);
        },
        AtCost(world_->scenario_.answer_cost_us_, std::move(callback)));
  }

  auto Stop(const WorkerEntry& worker, const RunRef& run, std::int64_t,
            OrderCallback callback) -> void override {
    Deliver(
        worker.id_,
        [this, run](ModelWorker& target) {
          auto& closed = target.closed_runs_[run.task_];
          closed = std::max(closed, run.run_);
          if (const auto it = target.running_.find(run.task_);
              it != target.running_.end() && it->second.run_ <= run.run_) {
            world_->EndRun(target, run.task_, RunEnd::kStopped);
          }
          return WorkerStatus::kOk;
        },
        std::move(callback));
  }

  auto Hold(const WorkerEntry& worker, const HoldOrder& order,
            HoldCallback callback) -> void override {
    world_->Later(world_->Between(1, 9),
                  [this, id = worker.id_, order, sent_ms = BootMs(),
                   callback = AtCost(world_->scenario_.hold_cost_us_,
                                     std::move(callback))] {
                    auto& target = world_->workers_.at(id);
                    std::erase_if(target.ended_, [&](const EndedRun& end) {
                      return end.number_ <= order.acknowledged_end_;
                    });
                    target.hold_callback_ = callback;
                    target.hold_sent_ms_ = sent_ms;
                    const auto number = ++target.hold_number_;
                    if (!target.ended_.empty() || order.wait_ms_ == 0) {
                      world_->AnswerHold(target);
                      return;
                    }
                    world_->Later(order.wait_ms_, [this, id, number] {
                      auto& waiting = world_->workers_.at(id);
                      if (waiting.hold_number_ == number) {
                        world_->AnswerHold(waiting);
                      }
                    });
                  });
  }

  auto Pace(const WorkerEntry&, const RunRef&, int, std::int64_t, OrderCallback)
      -> void override {}

 private:
  // Returns a callback that costs the owner the given time, and does nothing
  // once that owner is lost.
  template <typename Result>
  auto AtCost(std::int64_t cost_us, std::function<void(const Result&)> callback)
      -> std::function<void(const Result&)> {
    return [world = world_, epoch = world_->epoch_, cost_us,
            callback = std::move(callback)](const Result& result) {
      if (world->owner_ != nullptr && world->epoch_ == epoch) {
        world->spend_(cost_us);
        callback(result);
      }
    };
  }

  auto Deliver(const std::string& id,
               std::function<WorkerStatus(ModelWorker&)> order,
               OrderCallback callback) -> void {
    world_->Later(world_->Between(1, 9),
                  [this, id, order = std::move(order), sent_ms = BootMs(),
                   callback = std::move(callback)] {
                    const OrderResult result{order(world_->workers_.at(id)),
                                             BootMs(), sent_ms};
                    world_->Later(world_->Between(1, 9),
                                  [callback, result] { callback(result); });
                  });
  }

  LoadWorld* world_;
};

// The advice service, as one instance calls it: one call at a time.
class LoadWorld::Advice : public AdviceGateway {
 public:
  explicit Advice(LoadWorld* world) : world_(world) {}

  auto RequestAdvice(const std::string& step,
                     const std::vector<std::string>& workers, Millis,
                     Callback callback) -> void override {
    world_->spend_(world_->scenario_.advice_cost_us_);
    world_->MarkAdvised(step);
    const auto& policy = world_->KindOf(step).advice_;
    const auto cost =
        policy.decide_ms_ +
        policy.per_worker_ms_ * static_cast<double>(workers.size());
    ++world_->advice_calls_;
    world_->advice_ms_ += cost;
    free_at_ms_ =
        std::max(free_at_ms_, BootMs()) + static_cast<Millis>(std::ceil(cost));
    world_->Later(free_at_ms_ - BootMs() + world_->Between(2, 17),
                  [this, step, workers, valid_ms = policy.valid_ms_,
                   callback = std::move(callback)] {
                    AdviceResult result;
                    result.is_answered_ = true;
                    result.valid_ms_ = valid_ms;
                    for (const auto& id : workers) {
                      if (world_->IsAllowed(step, id)) {
                        result.tickets_.push_back(
                            {id, std::to_string(BootMs() + valid_ms)});
                      }
                    }
                    world_->Later(world_->Between(2, 17),
                                  [callback, result] { callback(result); });
                  });
  }

 private:
  LoadWorld* world_;
  Millis free_at_ms_ = 0;
};

auto LoadWorld::MakeGateway() -> std::unique_ptr<WorkerGateway> {
  return std::make_unique<Gateway>(this);
}

auto LoadWorld::MakeAdvice() -> std::unique_ptr<AdviceGateway> {
  return std::make_unique<Advice>(this);
}

auto LoadWorld::BeginRun(ModelWorker& worker, const StartOrder& order)
    -> WorkerStatus {
  const auto& ref = order.run_;
  const auto id = *TaskId::FromString(ref.task_);
  auto& job = jobs_.at(id.job_);
  starts_.push_back({BootMs() - began_ms_, job.kind_,
                     BootMs() - job.submitted_ms_ > job.objective_ms_});
  const auto step_number = static_cast<std::size_t>(id.step_);
  if (const auto it = worker.closed_runs_.find(ref.task_);
      it != worker.closed_runs_.end() && it->second >= ref.run_) {
    return WorkerStatus::kStaleRun;
  }
  if (job.kind_->is_advised_ &&
      (order.ticket_.empty() || std::stoll(order.ticket_) < BootMs())) {
    ++refused_tickets_;
    return WorkerStatus::kBadTicket;
  }
  const auto& step = job.record_.steps_[step_number];
  ModelRun run;
  run.run_ = ref.run_;
  run.step_ = &step;
  auto work = static_cast<double>(job.work_ms_[step_number]) / worker.speed_;
  // A gang fails as a whole, so only one of its tasks may.
  if ((!step.is_gang_ || id.index_ == 0) && Chance(job.kind_->failure_share_)) {
    work /= 2;
    run.end_ = RunEnd::kFailed;
  }
  run.ends_ms_ = BootMs() + static_cast<Millis>(work);
  worker.used_ += step.demand_;
  if (!worker.used_.FitsIn(worker.entry_.capacity_)) {
    violations_.push_back(
        fmt::format("{} is overfilled by {}", worker.entry_.id_, ref.task_));
  }
  worker.running_[ref.task_] = run;
  if (!running_tasks_.insert(ref.task_).second) {
    violations_.push_back(fmt::format("{} runs twice", ref.task_));
  }
  if (job.started_ms_[step_number] == 0) {
    job.started_ms_[step_number] = BootMs();
  }
  if (const auto failure = open_failures_.extract(ref.task_);
      !failure.empty()) {
    failures_[failure.mapped()].restarted_ms_ = BootMs() - began_ms_;
  }
  if (step.is_gang_) {
    gangs_[{StepName(id), ref.run_}].emplace_back(worker.entry_.id_, ref.task_);
    BeginGangIfComplete(id, ref.run_);
  } else {
    Later(static_cast<Millis>(work),
          [this, worker_id = worker.entry_.id_, ref, end = run.end_] {
            auto& target = workers_.at(worker_id);
            if (const auto it = target.running_.find(ref.task_);
                it != target.running_.end() && it->second.run_ == ref.run_) {
              EndRun(target, ref.task_, end);
            }
          });
  }
  return WorkerStatus::kOk;
}

auto LoadWorld::MarkAdvised(const std::string& step) -> void {
  const auto id = *TaskId::FromString(step + ".0");
  auto& advised =
      jobs_.at(id.job_).advised_ms_[static_cast<std::size_t>(id.step_)];
  advised = advised == 0 ? BootMs() : advised;
}

// A gang is as fast as its slowest member and ends as its first one does.
auto LoadWorld::BeginGangIfComplete(const TaskId& id, std::int64_t run)
    -> void {
  const std::pair key{StepName(id), run};
  const auto& members = gangs_.at(key);
  const auto& step =
      jobs_.at(id.job_).record_.steps_[static_cast<std::size_t>(id.step_)];
  if (static_cast<int>(members.size()) < step.count_) {
    return;
  }
  Millis ends_ms = 0;
  auto end = RunEnd::kDone;
  for (const auto& [worker, task] : members) {
    const auto& member = workers_.at(worker).running_.at(task);
    ends_ms = std::max(ends_ms, member.ends_ms_);
    end = member.end_ == RunEnd::kFailed ? RunEnd::kFailed : end;
  }
  Later(ends_ms - BootMs(), [this, key, end] {
    auto is_first = true;
    for (const auto& [worker, task] : gangs_.at(key)) {
      auto& target = workers_.at(worker);
      const auto it = target.running_.find(task);
      if (it == target.running_.end() || it->second.run_ != key.second) {
        continue;
      }
      EndRun(target, task,
             is_first || end == RunEnd::kDone ? end : RunEnd::kBroken);
      is_first = false;
    }
    gangs_.erase(key);
  });
}

auto LoadWorld::EndRun(ModelWorker& worker, const std::string& task, RunEnd end)
    -> void {
  const auto run = worker.running_.at(task);
  worker.used_ -= run.step_->demand_;
  worker.running_.erase(task);
  running_tasks_.erase(task);
  auto& closed = worker.closed_runs_[task];
  closed = std::max(closed, run.run_);
  worker.ended_.push_back({worker.next_end_++, {task, run.run_}, end, ""});
  if (end == RunEnd::kDone) {
    MarkDone(*TaskId::FromString(task));
  } else if (end == RunEnd::kFailed) {
    open_failures_[task] = failures_.size();
    failures_.push_back({BootMs() - began_ms_, &KindOf(task)});
  }
  AnswerHold(worker);
}

auto LoadWorld::MarkDone(const TaskId& id) -> void {
  auto& job = jobs_.at(id.job_);
  const auto step = static_cast<std::size_t>(id.step_);
  job.done_[step].insert(id.index_);
  if (static_cast<int>(job.done_[step].size()) <
      job.record_.steps_[step].count_) {
    return;
  }
  if (step + 1 == job.done_.size()) {
    job.ended_ms_ = BootMs();
  } else {
    job.ready_ms_[step + 1] = BootMs();
  }
}

auto LoadWorld::AnswerHold(ModelWorker& worker) -> void {
  if (!worker.hold_callback_) {
    return;
  }
  ++worker.hold_number_;
  HoldResult result;
  result.status_ = WorkerStatus::kOk;
  result.incarnation_ = worker.entry_.incarnation_;
  result.worker_clock_ms_ = BootMs();
  result.sent_ms_ = worker.hold_sent_ms_;
  result.ended_ = worker.ended_;
  for (const auto& [task, run] : worker.running_) {
    result.running_.push_back({{task, run.run_}, "", 0, 0});
  }
  Later(Between(1, 9),
        [callback = std::exchange(worker.hold_callback_, nullptr), result] {
          callback(result);
        });
}

}  // namespace lentilscale::fleet
