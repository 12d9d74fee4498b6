// The configuration written by operators: queues, teams and request limits.
//
// A FleetConfig is not modified after it has been read; a newer version
// replaces it as a whole.

#ifndef LENTILSCALE_FLEET_FLEET_CONFIG_H_
#define LENTILSCALE_FLEET_FLEET_CONFIG_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/resources.h"

namespace lentilscale::fleet {

// Latency and validity of the advice service's answers for one queue.
struct AdvicePolicy {
  // A call takes decide_ms_ plus per_worker_ms_ for each worker named in it.
  double decide_ms_ = 0;
  double per_worker_ms_ = 0;
  Millis valid_ms_ = 0;
};

// A queue of jobs: the URLs that belong to it and how its tasks are run.
struct Queue {
  std::string name_;
  std::string host_;
  // Requests to host_ whose path begins with this belong to the queue.
  std::string prefix_;
  std::string service_;
  // 0 is the highest priority.
  int priority_ = 0;
  // A job fails once one of its tasks or gangs has had this many failed runs.
  // Tasks of long-running steps are always restarted.
  int max_attempts_ = 1;
  // The latency objective of a job is stretch_ times the estimated duration of
  // its critical path, plus target_ms_. Long-running jobs have none.
  double stretch_ = 1;
  Millis target_ms_ = 0;
  std::optional<AdvicePolicy> advice_;
  // True if requests need no API key.
  bool is_public_ = false;
};

// A team with its API keys, its fair-share weight and its resource limit.
struct Team {
  std::string name_;
  std::vector<std::string> keys_;
  double weight_ = 1;
  // Limit on the resources of the team's running tasks; 0 means no limit.
  Resources limit_;
};

// Size limits of client requests.
struct RequestLimits {
  std::size_t max_header_bytes_ = 16384;
  std::size_t max_body_bytes_ = 262144;
};

// One version of the configuration.
struct FleetConfig {
  std::int64_t version_ = 0;
  std::vector<Queue> queues_;
  std::vector<Team> teams_;
  RequestLimits limits_;

  // Returns the queue of `host` with the longest prefix of `path`, or nullptr.
  auto FindQueue(std::string_view host, std::string_view path) const
      -> const Queue*;
  // Returns the queue named `name`, or nullptr.
  auto FindQueueByName(std::string_view name) const -> const Queue*;
  // Returns the team that holds `key`, or nullptr. Takes the same time for all
  // keys of one length, to prevent timing attacks.
  auto FindTeamByKey(std::string_view key) const -> const Team*;
  auto FindTeam(std::string_view name) const -> const Team*;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_FLEET_CONFIG_H_
