// The queue of the scheduler: items enter and leave it, and those that are too
// late leave it.
//
// Lanes are served oldest first. Where more is offered than workers can do, the
// head of a lane has therefore waited as long as it may. Were it started up to
// its deadline, all work that is started would end too late, for as long as the
// load lasts; so an item leaves the queue while there is still time for it to
// run. The items are also kept in the order of these times: looking through a
// long queue in each pass would slow down the passes when there is most to do.

#include <algorithm>

#include "lentilscale/scheduler.h"

namespace lentilscale {
namespace {

// Time that each item may wait for a slot, whatever time it is expected to
// take. Without it, an expectation that is too high would refuse all items, and
// no run would correct it.
constexpr Millis kMinQueueMs = 20;

}  // namespace

auto WorkItem::LatestStartMs() const -> Millis {
  if (deadline_ms_ == 0) {
    return 0;
  }
  return std::min(deadline_ms_, std::max(deadline_ms_ - expected_run_ms_,
                                         enqueued_ms_ + kMinQueueMs));
}

auto Scheduler::Enqueue(const WorkItem& item) -> void {
  auto& team = GetOrAddTeam(item.team_);
  auto& lane = team.lanes_[static_cast<std::size_t>(item.lane_)];
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
