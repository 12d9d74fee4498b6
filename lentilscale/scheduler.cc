// Fair ordering is weighted dominant resource fairness (Ghodsi et al., NSDI
// 2011). Progressive filling computes each team's entitled share. A decayed
// average of past use breaks ties, so that a starved team catches up. Among
// teams on the same side of their share, lanes decide: a call never waits
// behind batch work of a team that is above its share.
//
// Choosing a worker scans the whole list. A scan of 2,800 workers takes a few
// microseconds (docs/MEASUREMENTS.md), needs no index to maintain and is
// skipped when no slot is free. A lane of which no item could be placed is not
// tried again until resources are released, a worker is opened, a limit is
// raised or a new item joins the front of the lane.

#include "lentilscale/scheduler.h"

#include <algorithm>
#include <cmath>

namespace lentilscale {
namespace {

constexpr auto kLaneNames =
    std::to_array<std::string_view>({"urgent", "call", "service", "batch"});
constexpr auto kPolicyNames =
    std::to_array<std::string_view>({"fair", "first_fit", "random"});
constexpr auto kWaitReasonTexts = std::to_array<std::string_view>({
    "it is not queued on this instance",
    "no worker on this instance accepts new work",
    "no open worker has enough free resources",
    "its team has reached its limit in every shard with enough free resources",
    "other work is scheduled before it",
});

// An urgent item keeps its precedence while its team's average share is at
// most this many times its entitled share.
constexpr double kUrgentMaxShareRatio = 2.0;
// Tolerance for rounding errors when a share is compared with the entitled
// share, so that a rounding error does not cost a team the last task of its
// share.
constexpr double kShareTolerance = 1e-9;

auto LaneIndex(Lane lane) -> std::size_t {
  return static_cast<std::size_t>(lane);
}

// Returns the element at `index`, after extending the list with zeros if it is
// shorter.
auto GetOrAddElement(std::vector<std::int64_t>& values, std::size_t index)
    -> std::int64_t& {
  if (index >= values.size()) {
    values.resize(index + 1, 0);
  }
  return values[index];
}

auto CountOrZero(const std::map<std::uint32_t, std::int64_t>& counts,
                 std::uint32_t index) -> std::int64_t {
  const auto it = counts.find(index);
  return it == counts.end() ? 0 : it->second;
}

}  // namespace

auto LaneName(Lane lane) -> std::string_view {
  return kLaneNames.at(LaneIndex(lane));
}

auto PolicyFromName(std::string_view name) -> Policy {
  const auto* it = std::find(kPolicyNames.begin(), kPolicyNames.end(), name);
  return it == kPolicyNames.end()
             ? Policy::kFair
             : static_cast<Policy>(it - kPolicyNames.begin());
}

auto WaitReasonText(WaitReason reason) -> std::string_view {
  return kWaitReasonTexts.at(static_cast<std::size_t>(reason));
}

Scheduler::Scheduler(const Options& options)
    : options_(options), random_(options.seed_) {}

auto Scheduler::GetOrAddIndex(std::map<std::string, Index, std::less<>>& names,
                              const std::string& name) -> Index {
  return names.emplace(name, static_cast<Index>(names.size())).first->second;
}

auto Scheduler::AddWorker(const SchedulerWorker& worker) -> void {
  const auto index = GetOrAddIndex(worker_index_, worker.id_);
  if (index >= workers_.size()) {
    workers_.resize(index + 1);
  }
  auto& state = workers_[index];
  if (state.is_present_) {
    return;
  }
  state = WorkerState{};
  state.info_ = worker;
  state.shard_ = GetOrAddIndex(shard_index_, worker.shard_);
  state.rack_ = GetOrAddIndex(rack_index_, worker.rack_);
  state.data_centre_ = GetOrAddIndex(data_centre_index_, worker.data_centre_);
  state.free_ = worker.capacity_;
  state.is_present_ = true;
}

auto Scheduler::RemoveWorker(const std::string& id) -> void {
  if (!HasWorker(id)) {
    return;
  }
  SetOpen(id, false);
  auto& state = workers_[worker_index_[id]];
  const auto allocations = state.allocations_;
  for (const auto& key : allocations) {
    Release(key, 0);
  }
  state.is_present_ = false;
}

auto Scheduler::HasWorker(const std::string& id) const -> bool {
  const auto it = worker_index_.find(id);
  return it != worker_index_.end() && workers_[it->second].is_present_;
}

auto Scheduler::SetOpen(const std::string& id, bool is_open) -> void {
  if (!HasWorker(id)) {
    return;
  }
  auto& state = workers_[worker_index_[id]];
  if (state.is_open_ == is_open) {
    return;
  }
  state.is_open_ = is_open;
  const auto free_slots = std::max<std::int64_t>(state.free_.slots_, 0);
  if (is_open) {
    open_capacity_ += state.info_.capacity_;
    open_free_slots_ += free_slots;
    ++change_count_;
  } else {
    open_capacity_ -= state.info_.capacity_;
    open_free_slots_ -= free_slots;
  }
}

auto Scheduler::GetOrAddTeam(const std::string& name) -> TeamState& {
  auto& team = teams_[name];
  team.name_ = name;
  return team;
}

auto Scheduler::SetTeamWeight(const std::string& team, std::int64_t weight)
    -> void {
  GetOrAddTeam(team).weight_ = std::max<std::int64_t>(weight, 1);
}

auto Scheduler::SetTeamLimit(const std::string& team, const std::string& shard,
                             std::int64_t limit) -> void {
  auto& current = GetOrAddElement(GetOrAddTeam(team).limit_by_shard_,
                                  GetOrAddIndex(shard_index_, shard));
  if (limit > current) {
    ++change_count_;
  }
  current = limit;
}

auto Scheduler::CurrentShare(const TeamState& team) const -> double {
  return team.running_need_.DominantShare(open_capacity_);
}

auto Scheduler::UpdateAverage(TeamState& team, Millis now) const -> void {
  const auto elapsed = now - team.average_updated_ms_;
  if (elapsed <= 0) {
    return;
  }
  const auto half_lives = static_cast<double>(elapsed) /
                          static_cast<double>(options_.usage_half_life_ms_);
  const auto decay_factor = std::exp2(-half_lives);
  team.average_share_ = team.average_share_ * decay_factor +
                        CurrentShare(team) * (1.0 - decay_factor);
  team.average_updated_ms_ = now;
}

// Progressive filling: raises a common level, at which each team gets level *
// weight, until the capacity is used up. A team with less demand than that gets
// its demand, and the rest is divided among the others. One pass suffices,
// since teams are visited in order of demand per weight.
auto Scheduler::UpdateEntitledShares() -> void {
  struct Demand {
    TeamState* team_;
    double demand_;
  };
  std::vector<Demand> demands;
  double total_weight = 0;
  for (auto& [name, team] : teams_) {
    if (team.waiting_count_ == 0 && team.running_count_ == 0) {
      team.has_reached_entitled_share_ = false;
      team.has_average_reached_fair_share_ = false;
      continue;
    }
    auto need = team.running_need_;
    need += team.waiting_need_;
    demands.push_back({&team, need.DominantShare(open_capacity_)});
    total_weight += static_cast<double>(team.weight_);
  }
  std::sort(demands.begin(), demands.end(), [](const auto& a, const auto& b) {
    return a.demand_ * static_cast<double>(b.team_->weight_) <
           b.demand_ * static_cast<double>(a.team_->weight_);
  });
  auto remaining = 1.0;
  for (const auto& demand : demands) {
    const auto weight = static_cast<double>(demand.team_->weight_);
    const auto fair_share = remaining * weight / total_weight;
    demand.team_->entitled_share_ = std::min(demand.demand_, fair_share);
    demand.team_->has_average_reached_fair_share_ =
        demand.team_->average_share_ >= fair_share;
    remaining -= demand.team_->entitled_share_;
    total_weight -= weight;
    demand.team_->has_reached_entitled_share_ =
        CurrentShare(*demand.team_) >=
        demand.team_->entitled_share_ - kShareTolerance;
  }
}

auto Scheduler::IsBlocked(const LaneQueue& lane) const -> bool {
  return lane.keys_.empty() || lane.blocked_at_change_ == change_count_;
}

auto Scheduler::HasReachedShare(const TeamLane& team_lane) -> bool {
  const auto is_call = team_lane.lane_ <= LaneIndex(Lane::kCall);
  return is_call ? team_lane.team_->has_average_reached_fair_share_
                 : team_lane.team_->has_reached_entitled_share_;
}

// Strict weak ordering of lanes by their head items: returns true if `a` is
// served before `b`.
auto Scheduler::IsServedBefore(const TeamLane& a, const TeamLane& b) const
    -> bool {
  const auto head_time = [this](const TeamLane& team_lane) {
    return items_.at(team_lane.team_->lanes_[team_lane.lane_].keys_.front())
        .enqueued_ms_;
  };
  if (options_.policy_ != Policy::kFair) {
    return head_time(a) < head_time(b);
  }
  const auto is_urgent = [](const TeamLane& team_lane) {
    return team_lane.lane_ == LaneIndex(Lane::kUrgent) &&
           team_lane.team_->average_share_ <=
               kUrgentMaxShareRatio * team_lane.team_->entitled_share_ +
                   kShareTolerance;
  };
  if (is_urgent(a) != is_urgent(b)) {
    return is_urgent(a);
  }
  if (HasReachedShare(a) != HasReachedShare(b)) {
    return HasReachedShare(b);
  }
  if (a.lane_ != b.lane_) {
    return a.lane_ < b.lane_;
  }
  const auto weighted_use = [this](const TeamLane& team_lane) {
    return (CurrentShare(*team_lane.team_) + team_lane.team_->average_share_) /
           static_cast<double>(team_lane.team_->weight_);
  };
  const auto use_a = weighted_use(a);
  const auto use_b = weighted_use(b);
  return use_a != use_b ? use_a < use_b : head_time(a) < head_time(b);
}

auto Scheduler::ChooseNextLane() -> TeamLane {
  TeamLane best;
  for (auto& [name, team] : teams_) {
    if (team.waiting_count_ == 0) {
      continue;
    }
    for (std::size_t lane = 0; lane < kLaneCount; ++lane) {
      if (IsBlocked(team.lanes_[lane])) {
        continue;
      }
      const TeamLane candidate{&team, lane};
      if (best.team_ == nullptr || IsServedBefore(candidate, best)) {
        best = candidate;
      }
    }
  }
  return best;
}

auto Scheduler::PlacementRuleFor(Lane lane) const -> PlacementRule {
  switch (options_.policy_) {
    case Policy::kFirstFit:
      return FirstFitRule{};
    case Policy::kRandom:
      return RandomRule{};
    case Policy::kFair:
      break;
  }
  if (lane == Lane::kService) {
    return SpreadRule{};
  }
  return PackRule{};
}

auto Scheduler::IsBelowTeamLimit(const TeamState& team, Index shard) const
    -> bool {
  return AtOrZero(team.running_by_shard_, shard) <
         AtOrZero(team.limit_by_shard_, shard);
}

auto Scheduler::MakeCandidate(const WorkerState& worker, Index index,
                              const WorkItem& item, const GroupCounts* group)
    -> PlacementCandidate {
  PlacementCandidate candidate;
  candidate.index_ = index;
  candidate.capacity_ = worker.info_.capacity_;
  candidate.free_ = worker.free_;
  candidate.need_ = item.need_;
  if (group != nullptr) {
    candidate.group_on_worker_ = CountOrZero(group->by_worker_, index);
    candidate.group_in_rack_ = CountOrZero(group->by_rack_, worker.rack_);
    candidate.group_in_data_centre_ =
        CountOrZero(group->by_data_centre_, worker.data_centre_);
  }
  if (options_.policy_ == Policy::kRandom) {
    candidate.random_ = random_();
  }
  return candidate;
}

auto Scheduler::FindBestWorker(const TeamState& team, const WorkItem& item)
    -> std::optional<Index> {
  const auto rule = PlacementRuleFor(item.lane_);
  const auto group_it = groups_.find(item.group_);
  const auto* group = group_it == groups_.end() ? nullptr : &group_it->second;
  std::optional<Index> best;
  double best_score = 0;
  for (Index i = 0; i < workers_.size(); ++i) {
    const auto& worker = workers_[i];
    if (!worker.is_open_ || !item.need_.FitsIn(worker.free_) ||
        !IsBelowTeamLimit(team, worker.shard_)) {
      continue;
    }
    const auto score = ScoreWorker(rule, MakeCandidate(worker, i, item, group));
    if (!best || score < best_score) {
      best = i;
      best_score = score;
    }
  }
  return best;
}

auto Scheduler::UpdateGroupCounts(const Allocation& allocation, Index worker,
                                  std::int64_t change) -> void {
  if (allocation.lane_ != Lane::kService || allocation.group_.empty()) {
    return;
  }
  auto& group = groups_[allocation.group_];
  const auto& state = workers_[worker];
  group.by_worker_[worker] += change;
  group.by_rack_[state.rack_] += change;
  group.by_data_centre_[state.data_centre_] += change;
}

auto Scheduler::RecordAllocation(const std::string& key,
                                 const Allocation& allocation, Millis now)
    -> void {
  if (allocations_.contains(key) || !HasWorker(allocation.worker_)) {
    return;
  }
  const auto index = worker_index_[allocation.worker_];
  auto& worker = workers_[index];
  auto& team = GetOrAddTeam(allocation.team_);
  UpdateAverage(team, now);
  const auto old_free = std::max<std::int64_t>(worker.free_.slots_, 0);
  worker.free_ -= allocation.need_;
  worker.allocations_.push_back(key);
  if (worker.is_open_) {
    open_free_slots_ +=
        std::max<std::int64_t>(worker.free_.slots_, 0) - old_free;
  }
  team.running_need_ += allocation.need_;
  ++team.running_count_;
  ++GetOrAddElement(team.running_by_shard_, worker.shard_);
  UpdateGroupCounts(allocation, index, 1);
  allocations_[key] = allocation;
}

auto Scheduler::Release(const std::string& key, Millis now) -> void {
  const auto it = allocations_.find(key);
  if (it == allocations_.end()) {
    return;
  }
  const auto allocation = it->second;
  allocations_.erase(it);
  const auto index = worker_index_[allocation.worker_];
  auto& worker = workers_[index];
  auto& team = GetOrAddTeam(allocation.team_);
  UpdateAverage(team, now);
  const auto old_free = std::max<std::int64_t>(worker.free_.slots_, 0);
  worker.free_ += allocation.need_;
  std::erase(worker.allocations_, key);
  if (worker.is_open_) {
    open_free_slots_ +=
        std::max<std::int64_t>(worker.free_.slots_, 0) - old_free;
  }
  team.running_need_ -= allocation.need_;
  --team.running_count_;
  --GetOrAddElement(team.running_by_shard_, worker.shard_);
  UpdateGroupCounts(allocation, index, -1);
  ++change_count_;
}

auto Scheduler::FindAllocation(const std::string& key) const
    -> const Allocation* {
  const auto it = allocations_.find(key);
  return it == allocations_.end() ? nullptr : &it->second;
}

auto Scheduler::AllocateItem(const WorkItem& item, Index worker, Millis now)
    -> Placement {
  Allocation allocation;
  allocation.worker_ = workers_[worker].info_.id_;
  allocation.team_ = item.team_;
  allocation.group_ = item.group_;
  allocation.lane_ = item.lane_;
  allocation.need_ = item.need_;
  allocation.started_ms_ = now;
  allocation.is_preemptible_ = item.lane_ == Lane::kBatch;
  RecordAllocation(item.key_, allocation, now);
  return {item, allocation.worker_};
}

auto Scheduler::TryPlaceFromLane(const TeamLane& team_lane, Millis now)
    -> std::optional<Placement> {
  auto& lane = team_lane.team_->lanes_[team_lane.lane_];
  // The baseline policies try the whole lane: first fit places the first item
  // that fits.
  const auto depth = options_.policy_ == Policy::kFair
                         ? std::min(options_.backfill_depth_, lane.keys_.size())
                         : lane.keys_.size();
  for (std::size_t i = 0; i < depth; ++i) {
    const auto item = items_.at(lane.keys_[i]);
    const auto worker = FindBestWorker(*team_lane.team_, item);
    if (worker) {
      Dequeue(item.key_);
      RecordServed(lane, now);
      return AllocateItem(item, *worker, now);
    }
    if (open_free_slots_ <= 0) {
      break;
    }
  }
  lane.blocked_at_change_ = change_count_;
  return std::nullopt;
}

auto Scheduler::Place(Millis now, std::size_t max) -> std::vector<Placement> {
  std::vector<Placement> out;
  if (queue_size_ == 0 || open_free_slots_ <= 0) {
    return out;
  }
  for (auto& [name, team] : teams_) {
    UpdateAverage(team, now);
  }
  while (out.size() < max && open_free_slots_ > 0) {
    UpdateEntitledShares();
    const auto team_lane = ChooseNextLane();
    if (team_lane.team_ == nullptr) {
      break;
    }
    auto placement = TryPlaceFromLane(team_lane, now);
    if (placement) {
      out.push_back(std::move(*placement));
    }
  }
  return out;
}

auto Scheduler::PlaceUnqueued(const WorkItem& item, Millis now)
    -> std::optional<Placement> {
  const auto worker = FindBestWorker(GetOrAddTeam(item.team_), item);
  if (!worker) {
    return std::nullopt;
  }
  return AllocateItem(item, *worker, now);
}

auto Scheduler::AllocationsOn(const std::string& worker) const
    -> std::vector<std::string> {
  const auto it = worker_index_.find(worker);
  return it == worker_index_.end() ? std::vector<std::string>()
                                   : workers_[it->second].allocations_;
}

auto Scheduler::ReplaceAllocation(const std::string& key, const WorkItem& item,
                                  Millis now) -> std::optional<Placement> {
  const auto* allocation = FindAllocation(key);
  if (allocation == nullptr) {
    return std::nullopt;
  }
  const auto index = worker_index_[allocation->worker_];
  Release(key, now);
  return AllocateItem(item, index, now);
}

auto Scheduler::MarkStopping(const std::string& key) -> void {
  const auto it = allocations_.find(key);
  if (it != allocations_.end()) {
    it->second.is_preemptible_ = false;
  }
}

}  // namespace lentilscale
