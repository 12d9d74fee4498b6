// The configuration that operators write: queues, services, teams and limits.
//
// A FleetConfig is immutable once read; a newer version replaces it whole.

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

// The cost and validity of a placement policy's answers for one queue.
struct AdvicePolicy {
  // Time that the advice service takes for a call, and for each worker named.
  double decide_ms_ = 0;
  double per_worker_ms_ = 0;
  Millis valid_ms_ = 0;
};

// A queue of jobs: where clients reach it and how its tasks are run.
struct Queue {
  std::string name_;
  std::string host_;
  // Paths that begin with this belong to the queue.
  std::string prefix_;
  std::string service_;
  // 0 is the most urgent.
  int priority_ = 0;
  // Failed runs after which a task is given up.
  int max_attempts_ = 1;
  double stretch_ = 1;
  Millis target_ms_ = 0;
  std::optional<AdvicePolicy> advice_;
  // True if calls need no key.
  bool is_public_ = false;
};

// A team with its keys, its share and its upper limit.
struct Team {
  std::string name_;
  std::vector<std::string> keys_;
  double weight_ = 1;
  // What the team may have running; 0 in a resource means no limit.
  Resources limit_;
};

// Bounds on what clients may send.
struct RequestLimits {
  std::size_t max_header_bytes_ = 16384;
  std::size_t max_body_bytes_ = 262144;
};

// One version of the whole configuration.
struct FleetConfig {
  std::int64_t version_ = 0;
  std::vector<Queue> queues_;
  std::vector<Team> teams_;
  RequestLimits limits_;

  // Returns the queue for `host` whose prefix is the longest that `path`
  // begins with, or nullptr.
  auto FindQueue(std::string_view host, std::string_view path) const
      -> const Queue*;
  // Returns the queue named `name`, or nullptr.
  auto FindQueueByName(std::string_view name) const -> const Queue*;
  // Returns the team that holds `key`, or nullptr. Takes the same time for
  // any key of one length.
  auto FindTeamByKey(std::string_view key) const -> const Team*;
  auto FindTeam(std::string_view name) const -> const Team*;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_FLEET_CONFIG_H_
