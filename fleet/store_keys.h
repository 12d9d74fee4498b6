// Store keys of the fleet scheduler.
//
//   ls/epoch              number of the latest ownership claim; only increases
//                         and is never deleted
//   ls/owner              the instance that schedules the fleet, under a lease
//   ls/in/job/ID          an accepted job (JobRecord)
//   ls/in/cancel/ID       an accepted request to cancel a job
//   ls/progress/ID        the progress of a job (ProgressRecord)
//   ls/workers            workers on which tasks may be running

#ifndef LENTILSCALE_FLEET_STORE_KEYS_H_
#define LENTILSCALE_FLEET_STORE_KEYS_H_

#include <string>

namespace lentilscale::fleet {

inline constexpr const char* kEpochKey = "ls/epoch";
inline constexpr const char* kOwnerKey = "ls/owner";
inline constexpr const char* kInboxPrefix = "ls/in/";
inline constexpr const char* kJobPrefix = "ls/in/job/";
inline constexpr const char* kCancelPrefix = "ls/in/cancel/";
inline constexpr const char* kProgressPrefix = "ls/progress/";
inline constexpr const char* kWorkersKey = "ls/workers";

inline auto JobKey(const std::string& id) -> std::string {
  return kJobPrefix + id;
}
inline auto CancelKey(const std::string& id) -> std::string {
  return kCancelPrefix + id;
}
inline auto ProgressKey(const std::string& id) -> std::string {
  return kProgressPrefix + id;
}

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_STORE_KEYS_H_
