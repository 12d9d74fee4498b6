// Queries of the scheduler: which allocations to stop, which demand is held up
// by a limit, why an item waits, and loads for reports. Nothing here places
// items. The scans are as long as those of placement, but run far less often.

#include <algorithm>

#include "lentilscale/scheduler.h"

namespace lentilscale {

auto Scheduler::UrgentItems() const -> std::vector<WorkItem> {
  std::vector<WorkItem> out;
  for (const auto& [name, team] : teams_) {
    for (const auto& key :
         team.lanes_[static_cast<std::size_t>(Lane::kUrgent)].keys_) {
      out.push_back(items_.at(key));
    }
  }
  return out;
}

auto Scheduler::ChooseVictims(const WorkItem& item, Millis now) const
    -> std::vector<std::string> {
  const auto team_it = teams_.find(item.team_);
  if (team_it == teams_.end()) {
    return {};
  }
  std::vector<std::string> best;
  Millis best_loss = INT64_MAX;
  for (const auto& worker : workers_) {
    if (!worker.is_open_ || !item.need_.FitsIn(worker.info_.capacity_) ||
        !IsBelowTeamLimit(team_it->second, worker.shard_)) {
      continue;
    }
    // Youngest first, since a stopped task loses at most the work done since
    // its start.
    std::vector<std::string> keys;
    for (const auto& key : worker.allocations_) {
      if (allocations_.at(key).is_preemptible_) {
        keys.push_back(key);
      }
    }
    std::sort(keys.begin(), keys.end(), [this](const auto& a, const auto& b) {
      return allocations_.at(a).started_ms_ > allocations_.at(b).started_ms_;
    });
    auto free = worker.free_;
    Millis loss = 0;
    std::vector<std::string> victims;
    for (const auto& key : keys) {
      if (item.need_.FitsIn(free)) {
        break;
      }
      free += allocations_.at(key).need_;
      loss += now - allocations_.at(key).started_ms_;
      victims.push_back(key);
    }
    if (!victims.empty() && item.need_.FitsIn(free) && loss < best_loss) {
      best = victims;
      best_loss = loss;
    }
  }
  return best;
}

auto Scheduler::AllocationsOverLimit(const std::string& team,
                                     const std::string& shard) const
    -> std::vector<std::string> {
  const auto team_it = teams_.find(team);
  const auto shard_it = shard_index_.find(shard);
  if (team_it == teams_.end() || shard_it == shard_index_.end()) {
    return {};
  }
  auto excess = AtOrZero(team_it->second.running_by_shard_, shard_it->second) -
                AtOrZero(team_it->second.limit_by_shard_, shard_it->second);
  if (excess <= 0) {
    return {};
  }
  std::vector<std::string> keys;
  for (const auto& worker : workers_) {
    if (!worker.is_present_ || worker.shard_ != shard_it->second) {
      continue;
    }
    for (const auto& key : worker.allocations_) {
      const auto& allocation = allocations_.at(key);
      if (allocation.team_ == team && allocation.lane_ != Lane::kCall &&
          allocation.lane_ != Lane::kUrgent) {
        keys.push_back(key);
      }
    }
  }
  std::sort(keys.begin(), keys.end(), [this](const auto& a, const auto& b) {
    return allocations_.at(a).started_ms_ > allocations_.at(b).started_ms_;
  });
  keys.resize(std::min(keys.size(), static_cast<std::size_t>(excess)));
  return keys;
}

auto Scheduler::LimitDemandFor(const WorkItem& item, std::int64_t count) const
    -> std::optional<LimitDemand> {
  const auto it = teams_.find(item.team_);
  LimitDemand demand{item.team_, "", count, item.enqueued_ms_};
  std::int64_t best_free = 0;
  for (const auto& worker : workers_) {
    const auto is_at_limit =
        it == teams_.end() || !IsBelowTeamLimit(it->second, worker.shard_);
    if (worker.is_open_ && item.need_.FitsIn(worker.free_) && is_at_limit &&
        worker.free_.slots_ > best_free) {
      best_free = worker.free_.slots_;
      demand.shard_ = worker.info_.shard_;
    }
  }
  return demand.shard_.empty() ? std::nullopt : std::optional(demand);
}

auto Scheduler::LimitDemands() const -> std::vector<LimitDemand> {
  std::vector<LimitDemand> out;
  if (open_free_slots_ <= 0) {
    return out;
  }
  for (const auto& [name, team] : teams_) {
    const WorkItem* oldest = nullptr;
    for (const auto& lane : team.lanes_) {
      if (lane.keys_.empty()) {
        continue;
      }
      const auto& item = items_.at(lane.keys_.front());
      if (oldest == nullptr || item.enqueued_ms_ < oldest->enqueued_ms_) {
        oldest = &item;
      }
    }
    if (oldest == nullptr) {
      continue;
    }
    if (auto demand = LimitDemandFor(*oldest, team.waiting_count_)) {
      out.push_back(std::move(*demand));
    }
  }
  return out;
}

auto Scheduler::Explain(const std::string& key) const -> WaitReason {
  const auto it = items_.find(key);
  if (it == items_.end()) {
    return WaitReason::kNotQueued;
  }
  const auto& team = teams_.at(it->second.team_);
  auto is_any_open = false;
  auto has_capacity = false;
  auto is_below_limit = false;
  for (const auto& worker : workers_) {
    is_any_open |= worker.is_open_;
    if (worker.is_open_ && it->second.need_.FitsIn(worker.free_)) {
      has_capacity = true;
      is_below_limit |= IsBelowTeamLimit(team, worker.shard_);
    }
  }
  if (!is_any_open) {
    return WaitReason::kNoOpenWorker;
  }
  if (!has_capacity) {
    return WaitReason::kNoCapacity;
  }
  return is_below_limit ? WaitReason::kBehindOthers
                        : WaitReason::kTeamLimitReached;
}

auto Scheduler::TeamLoads(Millis now) -> std::vector<TeamLoad> {
  UpdateEntitledShares();
  std::vector<TeamLoad> out;
  for (auto& [name, team] : teams_) {
    UpdateAverage(team, now);
    if (team.waiting_count_ > 0 || team.running_count_ > 0) {
      out.push_back({name, team.running_count_, team.waiting_count_,
                     CurrentShare(team), team.entitled_share_});
    }
  }
  return out;
}

auto Scheduler::QueueSize(const std::string& team) const -> std::int64_t {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.waiting_count_;
}

auto Scheduler::RunningInShard(const std::string& team,
                               const std::string& shard) const -> std::int64_t {
  const auto team_it = teams_.find(team);
  const auto shard_it = shard_index_.find(shard);
  if (team_it == teams_.end() || shard_it == shard_index_.end()) {
    return 0;
  }
  return AtOrZero(team_it->second.running_by_shard_, shard_it->second);
}

auto Scheduler::OpenCapacityInUse() const -> Resources {
  auto used = open_capacity_;
  for (const auto& worker : workers_) {
    if (worker.is_open_) {
      used -= worker.free_;
    }
  }
  return used;
}

auto Scheduler::MaxWorkerCapacity() const -> Resources {
  Resources out;
  for (const auto& worker : workers_) {
    if (!worker.is_present_) {
      continue;
    }
    const auto& capacity = worker.info_.capacity_;
    out.slots_ = std::max(out.slots_, capacity.slots_);
    out.cpu_milli_ = std::max(out.cpu_milli_, capacity.cpu_milli_);
    out.memory_mb_ = std::max(out.memory_mb_, capacity.memory_mb_);
    out.accelerators_ = std::max(out.accelerators_, capacity.accelerators_);
  }
  return out;
}

}  // namespace lentilscale
