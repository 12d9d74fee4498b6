// The executing side of jobs: takes offers of tasks from keepers and tells
// them what became of the tasks.
//
//   offer_tasks    tasks to queue here, under the keeper's epoch
//   tasks_of_homes what is known here of the tasks of some homes
//   cancel_jobs, stop_tasks, hold_room, release_hold
//
// Events go to the owner of the job's home as "task_events" until it has
// recorded them. A keeper with an older epoch than one seen is refused, and so
// is an offer whose sender's right has lapsed.

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

// Names of the messages.
constexpr auto kOfferTasks = "offer_tasks";
constexpr auto kTasksOfHomes = "tasks_of_homes";
constexpr auto kCancelJobs = "cancel_jobs";
constexpr auto kStopTasks = "stop_tasks";
constexpr auto kHoldRoom = "hold_room";
constexpr auto kReleaseHold = "release_hold";
constexpr auto kTaskEvents = "task_events";

// What every message of a keeper carries.
struct HomeOwnerClaim {
  static auto FromJson(const Json::Value& object) -> HomeOwnerClaim;
  auto AddTo(Json::Value& object) const -> void;

  std::string home_;
  std::int64_t epoch_ = 0;
  // Wall-clock time after which the keeper's right has lapsed.
  Millis expiry_ms_ = 0;
  // In a question for tasks: attempts up to this one that have not arrived yet
  // are void and will be refused.
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

  // Queues an event for its keeper.
  auto OnTaskEvent(const TaskEvent& event) -> void;

  // Sends unrecorded events again.
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
  std::map<std::string, std::int64_t, std::less<>> highest_epochs_;
  std::map<std::string, std::int64_t, std::less<>> last_void_attempts_;
  std::map<std::string, std::vector<TaskEvent>, std::less<>> unsent_events_;
  bool is_flush_scheduled_ = false;
  Millis next_resend_ms_ = 0;
};

// Builds the work of a task from its job's specification.
auto MakeTaskWork(const JobSpec& spec, Lane lane, const TaskRef& ref) -> Work;

}  // namespace lentilscale

#endif  // LENTILSCALE_TASK_SERVICE_H_
