// The queue of the scheduler: items enter and leave it, and those that are too
// late leave it.
//
// Lanes are served oldest first. Where more is offered than workers can do, the
// head of a lane has therefore waited as long as it may. Were it started up to
// its deadline, all work that is started would end too late, for as long as the
// load lasts; so an item leaves the queue while there is still time for it to
// run. The items are also kept in the order of these times: looking through a
// long queue in each pass would slow down the passes when there is most to do.
//
// What a new item will wait is the number of items before it times the mean
// interval at which its lane was served (Little's law). Intervals count only
// while items wait, so that a lane with room has a short one, and an empty lane
// predicts no wait whatever it was.

#include <algorithm>

#include "lentilscale/scheduler.h"

namespace lentilscale {
namespace {

// Time that each item may wait for a slot, whatever time it is expected to
// take. Without it, an expectation that is too high would refuse all items, and
// no run would correct it.
constexpr Millis kMinQueueMs = 20;
// Weight of the latest interval in the mean.
constexpr double kIntervalGain = 1.0 / 32;

}  // namespace

auto WorkItem::LatestStartMs() const -> Millis {
  if (deadline_ms_ == 0) {
    return 0;
  }
  return std::min(deadline_ms_, std::max(deadline_ms_ - expected_run_ms_,
                                         enqueued_ms_ + kMinQueueMs));
}

auto Scheduler::ExpectedWaitMs(const WorkItem& item) const -> Millis {
  const auto it = teams_.find(item.team_);
  if (it == teams_.end()) {
    return 0;
  }
  const auto& lane = it->second.lanes_[static_cast<std::size_t>(item.lane_)];
  return static_cast<Millis>(static_cast<double>(lane.keys_.size()) *
                             lane.mean_interval_ms_);
}

auto Scheduler::CanStartInTime(const WorkItem& item, Millis now) const -> bool {
  const auto wait_ms = ExpectedWaitMs(item);
  // An item that is late itself, not for what waits before it, expires.
  return item.deadline_ms_ == 0 || wait_ms == 0 ||
         now + wait_ms <= item.LatestStartMs();
}

auto Scheduler::RecordServed(LaneQueue& lane, Millis now) -> void {
  const auto interval = static_cast<double>(now - lane.served_ms_);
  lane.mean_interval_ms_ += kIntervalGain * (interval - lane.mean_interval_ms_);
  lane.served_ms_ = now;
}

auto Scheduler::Enqueue(const WorkItem& item) -> void {
  auto& team = GetOrAddTeam(item.team_);
  auto& lane = team.lanes_[static_cast<std::size_t>(item.lane_)];
  if (lane.keys_.empty()) {
    lane.served_ms_ = std::max(lane.served_ms_, item.enqueued_ms_);
  }
  lane.keys_.push_back(item.key_);
  // The new item may fit where the items before it did not.
  if (lane.keys_.size() <= options_.backfill_depth_) {
    lane.blocked_at_change_ = 0;
  }
  items_[item.key_] = item;
  if (const auto latest = item.LatestStartMs(); latest != 0) {
    latest_starts_.emplace(latest, item.key_);
  }
  ++team.waiting_count_;
  team.waiting_need_ += item.need_;
  ++queue_size_;
}

auto Scheduler::RemoveFromLane(const WorkItem& item) -> void {
  auto& team = GetOrAddTeam(item.team_);
  auto& keys = team.lanes_[static_cast<std::size_t>(item.lane_)].keys_;
  const auto it = std::find(keys.begin(), keys.end(), item.key_);
  if (it != keys.end()) {
    keys.erase(it);
  }
  latest_starts_.erase({item.LatestStartMs(), item.key_});
  --team.waiting_count_;
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

auto Scheduler::RemoveExpired(Millis now) -> std::vector<WorkItem> {
  std::vector<WorkItem> out;
  while (!latest_starts_.empty() && latest_starts_.begin()->first <= now) {
    const auto item = items_.at(latest_starts_.begin()->second);
    RemoveFromLane(item);
    items_.erase(item.key_);
    out.push_back(item);
  }
  return out;
}

}  // namespace lentilscale
