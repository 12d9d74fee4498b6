// Distribution of tasks to executors.
//
// An executor is offered slightly more tasks than it has free slots, so that a
// slot that becomes free is filled at once. The remaining tasks stay here,
// where any executor can still get them.
//
// An all-at-once job first holds capacity for its tasks, at one member after
// another in the order of their ids. The order prevents circular waits between
// jobs. If a job cannot hold enough capacity within a bounded time, it releases
// what it holds.

#include <fmt/format.h>

#include <algorithm>

#include "lentilscale/job_controller.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

// Tasks that a team may queue at an executor beyond its free slots: the
// executor's slots divided by this, but at least kMinBacklog.
constexpr std::int64_t kBacklogSlotDivisor = 8;
constexpr std::int64_t kMinBacklog = 2;
constexpr std::size_t kMaxTasksPerOffer = 256;
constexpr Millis kHoldTtlMs = 3000;
// Upper bound of the random delay after an unsuccessful round of holds; doubles
// with each round.
constexpr Millis kHoldBackoffMs = 300;
constexpr std::int64_t kMaxHoldBackoffShift = 6;

auto OutstandingOffersKey(const std::string& member, const JobSpec& spec)
    -> std::string {
  return member + "|" + spec.service_ + "|" + spec.team_;
}

}  // namespace

// Each team has its own backlog. If teams shared one, the tasks of one team
// could hide those of others from the executor's scheduler, which then could
// not enforce fair shares.
auto JobController::OfferCapacityOf(const std::string& member,
                                    const JobSpec& spec) -> std::int64_t {
  const auto* state = members_->Find(member);
  if (state == nullptr || !members_->IsReachable(member, MonotonicMs())) {
    return 0;
  }
  for (const auto& load : state->digest_.loads_) {
    if (load.service_ == spec.service_ && load.slots_ > 0) {
      const auto backlog =
          std::max(load.slots_ / kBacklogSlotDivisor, kMinBacklog);
      return load.free_slots_ + backlog -
             outstanding_offers_[OutstandingOffersKey(member, spec)];
    }
  }
  return 0;
}

auto JobController::CountOutstandingOffers() -> void {
  outstanding_offers_.clear();
  for (const auto& [id, entry] : jobs_) {
    for (const auto& task : entry.job_.tasks()) {
      if (task.state_ == TaskState::kOffered) {
        ++outstanding_offers_[OutstandingOffersKey(task.executor_,
                                                   entry.job_.spec())];
      }
    }
  }
}

// Oldest first, so that the jobs of a team are served in order of creation.
auto JobController::JobsByAge() const -> std::vector<std::string> {
  std::vector<std::pair<Millis, std::string>> ages;
  ages.reserve(jobs_.size());
  for (const auto& [id, entry] : jobs_) {
    ages.emplace_back(entry.job_.created_ms(), id);
  }
  std::sort(ages.begin(), ages.end());
  std::vector<std::string> out;
  out.reserve(ages.size());
  for (auto& age : ages) {
    out.push_back(std::move(age.second));
  }
  return out;
}

auto JobController::ExecutorsFor(const JobSpec& spec)
    -> std::vector<std::string> {
  struct Scored {
    std::string id_;
    std::int64_t allowance_;
  };
  std::vector<Scored> scored;
  for (const auto* state : members_->Listed()) {
    const auto& id = state->record_.id_;
    const auto allowance = OfferCapacityOf(id, spec);
    if (allowance > 0 && !state->digest_.is_draining_) {
      scored.push_back({id, allowance});
    }
  }
  std::sort(scored.begin(), scored.end(), [](const auto& a, const auto& b) {
    return a.allowance_ > b.allowance_;
  });
  std::vector<std::string> out;
  out.reserve(scored.size());
  for (const auto& item : scored) {
    out.push_back(item.id_);
  }
  return out;
}

auto JobController::OfferPending(Entry& entry, Millis /*now*/) -> void {
  auto pending = entry.job_.PendingTasks(kMaxTasksPerOffer, WallMs());
  if (pending.empty()) {
    return;
  }
  const auto& spec = entry.job_.spec();
  const auto executors = ExecutorsFor(spec);
  if (executors.empty()) {
    return;
  }
  std::map<std::string, std::int64_t, std::less<>> running;
  if (entry.job_.spec().kind_ == JobKind::kService) {
    for (const auto& task : entry.job_.tasks()) {
      ++running[task.executor_];
    }
  }
  std::map<std::string, std::vector<std::int64_t>, std::less<>> by_member;
  for (const auto index : pending) {
    std::string best;
    std::int64_t best_score = 0;
    for (const auto& member : executors) {
      const auto allowance = OfferCapacityOf(member, spec);
      if (allowance <= 0) {
        continue;
      }
      // Tasks of a service are spread over the executors; other tasks go to the
      // executor with the most remaining offer capacity.
      const auto score = entry.job_.spec().kind_ == JobKind::kService
                             ? 1'000'000 - running[member]
                             : allowance;
      if (best.empty() || score > best_score) {
        best = member;
        best_score = score;
      }
    }
    if (best.empty()) {
      break;
    }
    by_member[best].push_back(index);
    ++outstanding_offers_[OutstandingOffersKey(best, spec)];
    ++running[best];
  }
  for (const auto& [member, indexes] : by_member) {
    Offer(entry, member, indexes, "");
  }
}

auto JobController::Offer(Entry& entry, const std::string& member,
                          const std::vector<std::int64_t>& indexes,
                          const std::string& hold) -> void {
  auto& job = entry.job_;
  Json::Value params;
  MakeClaim(job.home()).AddTo(params);
  params["spec"] = job.spec().ToJson();
  params["lane"] = static_cast<int>(job.Lane());
  params["hold"] = hold;
  std::vector<std::int64_t> attempts;
  for (const auto index : indexes) {
    const auto attempt = NextAttemptNumber(job.home());
    attempts.push_back(attempt);
    job.MarkOffered(index, attempt, member);
    Json::Value item;
    item["index"] = Json::Int64(index);
    item["attempt"] = Json::Int64(attempt);
    item["progress"] = Json::Int64(job.task(index).progress_ms_);
    params["tasks"].append(item);
  }
  const auto id = job.spec().id_;
  const auto* state = members_->Find(member);
  const auto address = state == nullptr ? "" : state->record_.address_;
  link_->Call(address, kOfferTasks, params,
              [this, id, member, indexes, attempts](const PeerAnswer& answer) {
                OnOfferAnswered(id, member, indexes, attempts, answer);
              });
}

auto JobController::OnOfferAnswered(const std::string& id,
                                    const std::string& /*member*/,
                                    const std::vector<std::int64_t>& indexes,
                                    const std::vector<std::int64_t>& attempts,
                                    const PeerAnswer& answer) -> void {
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) {
    return;
  }
  auto& entry = it->second;
  const auto is_refused = answer.body_.isMember("error");
  if (!answer.is_ok_ && !answer.is_not_sent_ && !is_refused) {
    // Some tasks may have been queued; a reconciliation finds out which.
    entry.needs_reconciliation_ = true;
    return;
  }
  std::set<std::int64_t> accepted;
  if (answer.is_ok_) {
    for (const auto& index : answer.body_["accepted"]) {
      accepted.insert(index.asInt64());
    }
  }
  for (std::size_t i = 0; i < indexes.size(); ++i) {
    if (!accepted.contains(indexes[i])) {
      entry.job_.OnOfferRefused(indexes[i], attempts[i]);
    }
  }
}

auto JobController::StopTasks(Entry& entry) -> void {
  const auto& job = entry.job_;
  std::map<std::string, std::vector<std::string>, std::less<>> by_member;
  for (const auto index : job.TasksToStop()) {
    auto& task = entry.job_.task(index);
    const auto epoch =
        homes_.contains(job.home()) ? homes_[job.home()].epoch_ : 0;
    by_member[task.executor_].push_back(job.MakeTaskRef(index, epoch).Key());
    task.is_stopping_ = true;
  }
  for (const auto& [member, keys] : by_member) {
    const auto* state = members_->Find(member);
    if (state == nullptr) {
      continue;
    }
    Json::Value params;
    for (const auto& key : keys) {
      params["tasks"].append(key);
    }
    link_->Call(state->record_.address_, kStopTasks, params,
                [](const PeerAnswer& /*answer*/) {});
  }
}

auto JobController::AdvanceGang(Entry& entry, Millis now) -> void {
  auto& gang = entry.gang_;
  const auto counts = entry.job_.Counts();
  const auto wanted = entry.job_.spec().count_ - counts.done_;
  const auto is_ready =
      counts.pending_ == wanted && wanted > 0 &&
      entry.job_.state() == JobState::kActive &&
      static_cast<std::int64_t>(
          entry.job_.PendingTasks(static_cast<std::size_t>(wanted), WallMs())
              .size()) == wanted;
  switch (gang.phase_) {
    case HoldPhase::kNone:
      if (is_ready && now >= gang.not_before_ms_) {
        gang.phase_ = HoldPhase::kRequesting;
        gang.hold_started_ms_ = now;
        gang.next_executor_ = 0;
        gang.held_tasks_.clear();
        gang.executors_.clear();
        ++gang.hold_rounds_;
        gang.hold_id_ = fmt::format("{}/{}", entry.job_.spec().id_,
                                    NextAttemptNumber(entry.job_.home()));
        for (const auto* state : members_->Listed()) {
          if (!state->digest_.is_draining_) {
            gang.executors_.push_back(state->record_.id_);
          }
        }
        RequestNextHold(entry.job_.spec().id_);
      }
      break;
    case HoldPhase::kRequesting:
      break;
    case HoldPhase::kPartlyHeld:
      if (!is_ready ||
          now - gang.hold_started_ms_ > options_.max_partial_hold_ms_) {
        ReleaseHolds(entry, now);
      } else {
        // A repeated request extends the holds, so that they grow as capacity
        // becomes free.
        gang.phase_ = HoldPhase::kRequesting;
        gang.next_executor_ = 0;
        gang.held_tasks_.clear();
        RequestNextHold(entry.job_.spec().id_);
      }
      break;
  }
}

auto JobController::RequestNextHold(const std::string& id) -> void {
  auto& entry = jobs_.at(id);
  auto& gang = entry.gang_;
  const auto wanted = entry.job_.spec().count_ - entry.job_.Counts().done_;
  std::int64_t held = 0;
  for (const auto part : gang.held_tasks_) {
    held += part;
  }
  if (held >= wanted) {
    OfferGang(entry);
    return;
  }
  if (gang.next_executor_ >= gang.executors_.size()) {
    gang.phase_ = HoldPhase::kPartlyHeld;
    return;
  }
  const auto* state = members_->Find(gang.executors_[gang.next_executor_]);
  Json::Value params;
  MakeClaim(entry.job_.home()).AddTo(params);
  params["hold"] = gang.hold_id_;
  params["spec"] = entry.job_.spec().ToJson();
  params["lane"] = static_cast<int>(entry.job_.Lane());
  params["count"] = Json::Int64(wanted - held);
  params["ttl_ms"] = Json::Int64(kHoldTtlMs);
  const auto hold = gang.hold_id_;
  link_->Call(state == nullptr ? "" : state->record_.address_, kHoldRoom,
              params, [this, id, hold](const PeerAnswer& answer) {
                OnHoldAnswered(id, hold, answer);
              });
}

auto JobController::OnHoldAnswered(const std::string& id,
                                   const std::string& hold,
                                   const PeerAnswer& answer) -> void {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.gang_.hold_id_ != hold ||
      it->second.gang_.phase_ != HoldPhase::kRequesting) {
    return;
  }
  auto& gang = it->second.gang_;
  gang.held_tasks_.push_back(
      answer.is_ok_ ? GetInt(answer.body_, "held", 0, 0, INT64_MAX) : 0);
  ++gang.next_executor_;
  RequestNextHold(id);
}

auto JobController::OfferGang(Entry& entry) -> void {
  auto& gang = entry.gang_;
  const auto count = entry.job_.spec().count_;
  const auto pending =
      entry.job_.PendingTasks(static_cast<std::size_t>(count), WallMs());
  std::size_t next = 0;
  for (std::size_t i = 0; i < gang.held_tasks_.size(); ++i) {
    std::vector<std::int64_t> indexes;
    for (std::int64_t n = 0; n < gang.held_tasks_[i] && next < pending.size();
         ++n) {
      indexes.push_back(pending[next++]);
    }
    if (!indexes.empty()) {
      Offer(entry, gang.executors_[i], indexes, gang.hold_id_);
    }
  }
  gang.phase_ = HoldPhase::kNone;
  gang.hold_rounds_ = 0;
}

auto JobController::ReleaseHolds(Entry& entry, Millis now) -> void {
  auto& gang = entry.gang_;
  Json::Value params;
  params["hold"] = gang.hold_id_;
  for (const auto& member : gang.executors_) {
    const auto* state = members_->Find(member);
    if (state != nullptr) {
      link_->Call(state->record_.address_, kReleaseHold, params,
                  [](const PeerAnswer& /*answer*/) {});
    }
  }
  gang.phase_ = HoldPhase::kNone;
  // The random delay keeps two jobs that each hold capacity the other needs
  // from colliding again.
  const auto shift = std::min(gang.hold_rounds_, kMaxHoldBackoffShift);
  std::uniform_int_distribution<Millis> wait(0, kHoldBackoffMs << shift);
  gang.not_before_ms_ = now + wait(random_);
}

}  // namespace lentilscale
