// Serves the peer messages that start, list and stop the tasks of jobs on this
// instance's executor, and reports the tasks' events.
//
//   offer_tasks    queues tasks here, under the epoch of the home's owner
//   tasks_of_homes lists the tasks of some home shards that are known here
//   cancel_jobs, stop_tasks, hold_room, release_hold
//
// The sender is the owner of the job's home shard. Events are sent to it as
// "task_events" until it has recorded them. A sender with a lower epoch than
// one seen for the home shard is refused, and so is an offer whose sender's
// rights have expired.

#ifndef LENTILSCALE_TASK_SERVICE_H_
#define LENTILSCALE_TASK_SERVICE_H_

#include <map>
#include <string>
#include <vector>

#include "lentilscale/executor.h"
#include "lentilscale/job.h"
#include "lentilscale/peer_link.h"
#include "lentilscale/store_view.h"

namespace lentilscale {

// Names of the peer messages.
constexpr auto kOfferTasks = "offer_tasks";
constexpr auto kTasksOfHomes = "tasks_of_homes";
constexpr auto kCancelJobs = "cancel_jobs";
constexpr auto kStopTasks = "stop_tasks";
constexpr auto kHoldRoom = "hold_room";
constexpr auto kReleaseHold = "release_hold";
constexpr auto kTaskEvents = "task_events";

// Identifies the owner of a home shard in its messages to executors.
struct HomeOwnerClaim {
  static auto FromJson(const Json::Value& object) -> HomeOwnerClaim;
  auto AddTo(Json::Value& object) const -> void;

  std::string home_;
  std::int64_t epoch_ = 0;
  // Wall-clock time at which the owner's rights expire.
  Millis expiry_ms_ = 0;
  // Only in tasks_of_homes: attempts up to this number that have not arrived
  // yet are void, and offers of them are not accepted.
  std::int64_t last_void_attempt_ = 0;
};

// The service of one instance.
class TaskService {
 public:
  struct Options {
    std::string self_id_;
    Millis clock_skew_ms_ = 500;
  };

  TaskService(uv_loop_t* loop, PeerLink* link, Executor* executor,
              StoreView* view, const Options& options);

  // Queues an event for the owner of its job's home shard.
  auto OnTaskEvent(const TaskEvent& event) -> void;

  // Resends the events that are not recorded yet.
  auto Tick(Millis now) -> void;

 private:
  auto CheckClaim(const HomeOwnerClaim& claim) -> void;
  auto OnOffer(const Json::Value& params) -> Json::Value;
  auto OnTasksOfHomes(const Json::Value& params) -> Json::Value;
  auto OnHold(const Json::Value& params) -> Json::Value;
  auto Flush() -> void;
  auto SendEvents(const std::string& home, const std::vector<TaskEvent>& events)
      -> void;

  uv_loop_t* loop_;
  PeerLink* link_;
  Executor* executor_;
  StoreView* view_;
  Options options_;
  // Highest epoch seen, by home shard.
  std::map<std::string, std::int64_t, std::less<>> highest_epochs_;
  // Highest HomeOwnerClaim::last_void_attempt_ seen, by home shard.
  std::map<std::string, std::int64_t, std::less<>> last_void_attempts_;
  // Events that the next flush sends, by home shard.
  std::map<std::string, std::vector<TaskEvent>, std::less<>> unsent_events_;
  bool is_flush_scheduled_ = false;
  Millis next_resend_ms_ = 0;
};

// Builds the work of a task from its job's specification.
auto MakeTaskWork(const JobSpec& spec, Lane lane, const TaskRef& ref) -> Work;

}  // namespace lentilscale

#endif  // LENTILSCALE_TASK_SERVICE_H_
