// Fair ordering follows dominant-resource fairness (Ghodsi et al., NSDI 2011)
// with weights: progressive filling gives each team's entitled share, and a
// decayed average of past use breaks ties so that a team that was starved
// catches up. Lanes order work within that, so that a call never waits behind
// batch work of a team that is above its share.
//
// Choosing a worker scans the list. A scan of 2,800 workers costs a few
// microseconds (docs/MEASUREMENTS.md), needs no index to be kept right, and
// ends at once when no slot is free. A lane whose head could not be placed is
// not tried again until something was released or added.

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
    "it is not waiting here",
    "no worker is open for new work here",
    "no worker has room for it",
    "its team has as much running here as its limit allows",
    "other teams or classes come first",
});

// An urgent item keeps its precedence while its team uses at most this many
// times its entitled share.
constexpr double kUrgentShareFactor = 2.0;
// Share above the entitled one that still counts as entitled, so that the
// last task of a share is not refused for a rounding.
constexpr double kShareTolerance = 1e-9;

auto LaneIndex(Lane lane) -> std::size_t {
  return static_cast<std::size_t>(lane);
}

auto Slot(std::vector<std::int64_t>& values, std::size_t index)
    -> std::int64_t& {
  if (index >= values.size()) {
    values.resize(index + 1, 0);
  }
  return values[index];
}

auto CountAt(const std::map<std::uint32_t, std::int64_t>& counts,
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

auto Scheduler::NameIndex(std::map<std::string, Index, std::less<>>& names,
                          const std::string& name) -> Index {
  return names.emplace(name, static_cast<Index>(names.size())).first->second;
}

auto Scheduler::AddWorker(const SchedulerWorker& worker) -> void {
  const auto index = NameIndex(worker_index_, worker.id_);
  if (index >= workers_.size()) {
    workers_.resize(index + 1);
  }
  auto& state = workers_[index];
  if (state.is_present_) {
    return;
  }
  state = WorkerState{};
  state.info_ = worker;
  state.shard_ = NameIndex(shard_index_, worker.shard_);
  state.rack_ = NameIndex(rack_index_, worker.rack_);
  state.data_centre_ = NameIndex(data_centre_index_, worker.data_centre_);
  state.free_ = worker.capacity_;
  state.is_present_ = true;
}

auto Scheduler::RemoveWorker(const std::string& id) -> void {
  if (!HasWorker(id)) {
    return;
  }
  SetOpen(id, false);
  auto& state = workers_[worker_index_[id]];
  const auto occupants = state.occupants_;
  for (const auto& key : occupants) {
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
    ++changes_;
  } else {
    open_capacity_ -= state.info_.capacity_;
    open_free_slots_ -= free_slots;
  }
}

auto Scheduler::TeamOf(const std::string& name) -> TeamState& {
  auto& team = teams_[name];
  team.name_ = name;
  return team;
}

auto Scheduler::SetShare(const std::string& team, std::int64_t share) -> void {
  TeamOf(team).share_ = std::max<std::int64_t>(share, 1);
}

auto Scheduler::SetUsable(const std::string& team, const std::string& shard,
                          std::int64_t amount) -> void {
  auto& usable = Slot(TeamOf(team).usable_, NameIndex(shard_index_, shard));
  if (amount > usable) {
    ++changes_;
  }
  usable = amount;
}

auto Scheduler::Enqueue(const WorkItem& item) -> void {
  auto& team = TeamOf(item.team_);
  auto& lane = team.lanes_[LaneIndex(item.lane_)];
  lane.keys_.push_back(item.key_);
  // A new item may fit where the ones before it did not.
  if (lane.keys_.size() <= options_.backfill_depth_) {
    lane.blocked_at_ = 0;
  }
  items_[item.key_] = item;
  ++team.waiting_;
  team.waiting_need_ += item.need_;
  ++queue_size_;
}

auto Scheduler::RemoveFromLane(const WorkItem& item) -> void {
  auto& team = TeamOf(item.team_);
  auto& keys = team.lanes_[LaneIndex(item.lane_)].keys_;
  const auto it = std::find(keys.begin(), keys.end(), item.key_);
  if (it != keys.end()) {
    keys.erase(it);
  }
  --team.waiting_;
  team.waiting_need_ -= item.need_;
  --queue_size_;
}

auto Scheduler::Dequeue(const std::string& key) -> bool {
  const auto it = items_.find(key);
  if (it == items_.end()) {
    return false;
  }
  RemoveFromLane(it->second);
  items_.erase(it);
  return true;
}

auto Scheduler::TakeExpired(Millis now) -> std::vector<WorkItem> {
  std::vector<WorkItem> out;
  for (const auto& [key, item] : items_) {
    if (item.deadline_ms_ != 0 && item.deadline_ms_ <= now) {
      out.push_back(item);
    }
  }
  for (const auto& item : out) {
    Dequeue(item.key_);
  }
  return out;
}

auto Scheduler::CurrentShare(const TeamState& team) const -> double {
  return team.running_need_.DominantShare(open_capacity_);
}

auto Scheduler::UpdateAverage(TeamState& team, Millis now) const -> void {
  const auto elapsed = now - team.average_at_ms_;
  if (elapsed <= 0) {
    return;
  }
  const auto half_lives = static_cast<double>(elapsed) /
                          static_cast<double>(options_.usage_half_life_ms_);
  const auto kept = std::exp2(-half_lives);
  team.average_ = team.average_ * kept + CurrentShare(team) * (1.0 - kept);
  team.average_at_ms_ = now;
}

// Progressive filling: raise the level at which every team gets level * share
// until the capacity is given out; a team whose demand ends earlier keeps its
// demand. Teams are visited by demand per share, so one pass suffices.
auto Scheduler::UpdateEntitled() -> void {
  struct Demand {
    TeamState* team_;
    double demand_;
  };
  std::vector<Demand> demands;
  double shares = 0;
  for (auto& [name, team] : teams_) {
    if (team.waiting_ == 0 && team.running_ == 0) {
      team.is_above_entitled_ = false;
      team.is_above_on_average_ = false;
      continue;
    }
    auto wanted = team.running_need_;
    wanted += team.waiting_need_;
    demands.push_back({&team, wanted.DominantShare(open_capacity_)});
    shares += static_cast<double>(team.share_);
  }
  std::sort(demands.begin(), demands.end(), [](const auto& a, const auto& b) {
    return a.demand_ * static_cast<double>(b.team_->share_) <
           b.demand_ * static_cast<double>(a.team_->share_);
  });
  auto left = 1.0;
  for (const auto& demand : demands) {
    const auto share = static_cast<double>(demand.team_->share_);
    const auto part = left * share / shares;
    demand.team_->entitled_ = std::min(demand.demand_, part);
    demand.team_->is_above_on_average_ = demand.team_->average_ >= part;
    left -= demand.team_->entitled_;
    shares -= share;
    demand.team_->is_above_entitled_ =
        CurrentShare(*demand.team_) >=
        demand.team_->entitled_ - kShareTolerance;
  }
}

auto Scheduler::IsBlocked(const LaneQueue& lane) const -> bool {
  return lane.keys_.empty() || lane.blocked_at_ == changes_;
}

auto Scheduler::IsAboveShare(const Choice& choice) -> bool {
  const auto is_call = choice.lane_ <= LaneIndex(Lane::kCall);
  return is_call ? choice.team_->is_above_on_average_
                 : choice.team_->is_above_entitled_;
}

// Strict weak order of two lane heads: true if `a` is served first.
auto Scheduler::IsBefore(const Choice& a, const Choice& b) const -> bool {
  const auto head_time = [this](const Choice& choice) {
    return items_.at(choice.team_->lanes_[choice.lane_].keys_.front())
        .enqueued_ms_;
  };
  if (options_.policy_ != Policy::kFair) {
    return head_time(a) < head_time(b);
  }
  const auto is_urgent = [](const Choice& choice) {
    return choice.lane_ == LaneIndex(Lane::kUrgent) &&
           choice.team_->average_ <=
               kUrgentShareFactor * choice.team_->entitled_ + kShareTolerance;
  };
  if (is_urgent(a) != is_urgent(b)) {
    return is_urgent(a);
  }
  if (IsAboveShare(a) != IsAboveShare(b)) {
    return IsAboveShare(b);
  }
  if (a.lane_ != b.lane_) {
    return a.lane_ < b.lane_;
  }
  const auto use = [this](const Choice& choice) {
    return (CurrentShare(*choice.team_) + choice.team_->average_) /
           static_cast<double>(choice.team_->share_);
  };
  const auto use_a = use(a);
  const auto use_b = use(b);
  return use_a != use_b ? use_a < use_b : head_time(a) < head_time(b);
}

auto Scheduler::ChooseNext() -> Choice {
  Choice best;
  for (auto& [name, team] : teams_) {
    if (team.waiting_ == 0) {
      continue;
    }
    for (std::size_t lane = 0; lane < kLaneCount; ++lane) {
      if (IsBlocked(team.lanes_[lane])) {
        continue;
      }
      const Choice choice{&team, lane};
      if (best.team_ == nullptr || IsBefore(choice, best)) {
        best = choice;
      }
    }
  }
  return best;
}

auto Scheduler::RuleFor(Lane lane) const -> PlacementRule {
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

auto Scheduler::HasLimitRoom(const TeamState& team, Index shard) const -> bool {
  return AtOrZero(team.running_in_, shard) < AtOrZero(team.usable_, shard);
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
    candidate.group_on_worker_ = CountAt(group->by_worker_, index);
    candidate.group_in_rack_ = CountAt(group->by_rack_, worker.rack_);
    candidate.group_in_data_centre_ =
        CountAt(group->by_data_centre_, worker.data_centre_);
  }
  if (options_.policy_ == Policy::kRandom) {
    candidate.random_ = random_();
  }
  return candidate;
}

auto Scheduler::FindWorker(const TeamState& team, const WorkItem& item)
    -> std::optional<Index> {
  const auto rule = RuleFor(item.lane_);
  const auto group_it = groups_.find(item.group_);
  const auto* group = group_it == groups_.end() ? nullptr : &group_it->second;
  std::optional<Index> best;
  double best_score = 0;
  for (Index i = 0; i < workers_.size(); ++i) {
    const auto& worker = workers_[i];
    if (!worker.is_open_ || !item.need_.FitsIn(worker.free_) ||
        !HasLimitRoom(team, worker.shard_)) {
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

auto Scheduler::CountGroup(const Occupant& occupant, Index worker,
                           std::int64_t change) -> void {
  if (occupant.lane_ != Lane::kService || occupant.group_.empty()) {
    return;
  }
  auto& group = groups_[occupant.group_];
  const auto& state = workers_[worker];
  group.by_worker_[worker] += change;
  group.by_rack_[state.rack_] += change;
  group.by_data_centre_[state.data_centre_] += change;
}

auto Scheduler::Occupy(const std::string& key, const Occupant& occupant,
                       Millis now) -> void {
  if (occupants_.contains(key) || !HasWorker(occupant.worker_)) {
    return;
  }
  const auto index = worker_index_[occupant.worker_];
  auto& worker = workers_[index];
  auto& team = TeamOf(occupant.team_);
  UpdateAverage(team, now);
  const auto old_free = std::max<std::int64_t>(worker.free_.slots_, 0);
  worker.free_ -= occupant.need_;
  worker.occupants_.push_back(key);
  if (worker.is_open_) {
    open_free_slots_ +=
        std::max<std::int64_t>(worker.free_.slots_, 0) - old_free;
  }
  team.running_need_ += occupant.need_;
  ++team.running_;
  ++Slot(team.running_in_, worker.shard_);
  CountGroup(occupant, index, 1);
  occupants_[key] = occupant;
}

auto Scheduler::Release(const std::string& key, Millis now) -> void {
  const auto it = occupants_.find(key);
  if (it == occupants_.end()) {
    return;
  }
  const auto occupant = it->second;
  occupants_.erase(it);
  const auto index = worker_index_[occupant.worker_];
  auto& worker = workers_[index];
  auto& team = TeamOf(occupant.team_);
  UpdateAverage(team, now);
  const auto old_free = std::max<std::int64_t>(worker.free_.slots_, 0);
  worker.free_ += occupant.need_;
  std::erase(worker.occupants_, key);
  if (worker.is_open_) {
    open_free_slots_ +=
        std::max<std::int64_t>(worker.free_.slots_, 0) - old_free;
  }
  team.running_need_ -= occupant.need_;
  --team.running_;
  --Slot(team.running_in_, worker.shard_);
  CountGroup(occupant, index, -1);
  ++changes_;
}

auto Scheduler::FindOccupant(const std::string& key) const -> const Occupant* {
  const auto it = occupants_.find(key);
  return it == occupants_.end() ? nullptr : &it->second;
}

auto Scheduler::OccupyItem(const WorkItem& item, Index worker, Millis now)
    -> Placement {
  Occupant occupant;
  occupant.worker_ = workers_[worker].info_.id_;
  occupant.team_ = item.team_;
  occupant.group_ = item.group_;
  occupant.lane_ = item.lane_;
  occupant.need_ = item.need_;
  occupant.started_ms_ = now;
  occupant.can_preempt_ = item.lane_ == Lane::kBatch;
  Occupy(item.key_, occupant, now);
  return {item, occupant.worker_};
}

auto Scheduler::TryPlaceFrom(const Choice& choice, Millis now)
    -> std::optional<Placement> {
  auto& lane = choice.team_->lanes_[choice.lane_];
  // The first-fit baseline tries the whole queue, as its name says.
  const auto depth = options_.policy_ == Policy::kFair
                         ? std::min(options_.backfill_depth_, lane.keys_.size())
                         : lane.keys_.size();
  for (std::size_t i = 0; i < depth; ++i) {
    const auto item = items_.at(lane.keys_[i]);
    const auto worker = FindWorker(*choice.team_, item);
    if (worker) {
      lane.keys_.erase(lane.keys_.begin() + static_cast<std::ptrdiff_t>(i));
      items_.erase(item.key_);
      --choice.team_->waiting_;
      choice.team_->waiting_need_ -= item.need_;
      --queue_size_;
      return OccupyItem(item, *worker, now);
    }
    if (open_free_slots_ <= 0) {
      break;
    }
  }
  lane.blocked_at_ = changes_;
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
    UpdateEntitled();
    const auto choice = ChooseNext();
    if (choice.team_ == nullptr) {
      break;
    }
    auto placement = TryPlaceFrom(choice, now);
    if (placement) {
      out.push_back(std::move(*placement));
    }
  }
  return out;
}

auto Scheduler::PlaceNow(const WorkItem& item, Millis now)
    -> std::optional<Placement> {
  const auto worker = FindWorker(TeamOf(item.team_), item);
  if (!worker) {
    return std::nullopt;
  }
  return OccupyItem(item, *worker, now);
}

auto Scheduler::OccupantsOf(const std::string& worker) const
    -> std::vector<std::string> {
  const auto it = worker_index_.find(worker);
  return it == worker_index_.end() ? std::vector<std::string>()
                                   : workers_[it->second].occupants_;
}

auto Scheduler::TakeOver(const std::string& hold, const WorkItem& item,
                         Millis now) -> std::optional<Placement> {
  const auto* occupant = FindOccupant(hold);
  if (occupant == nullptr) {
    return std::nullopt;
  }
  const auto index = worker_index_[occupant->worker_];
  Release(hold, now);
  return OccupyItem(item, index, now);
}

auto Scheduler::SetStopping(const std::string& key) -> void {
  const auto it = occupants_.find(key);
  if (it != occupants_.end()) {
    it->second.can_preempt_ = false;
  }
}

}  // namespace lentilscale
