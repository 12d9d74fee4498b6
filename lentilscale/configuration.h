// The operators' configuration: teams, keys, services and open queues.
//
// A configuration is the sum of all accepted tickets. A ticket carries the
// whole new state of each thing that it touches, so that applying it never
// depends on what was there before:
//
//   auto ticket = Ticket::FromJson(ParseJson(text));
//   auto next = configuration.Apply(ticket);     // throws if inconsistent
//   for (const auto& line : Diff(configuration, next)) ...
//
// Numbers only grow: Apply requires ticket number = configuration number + 1.

#ifndef LENTILSCALE_CONFIGURATION_H_
#define LENTILSCALE_CONFIGURATION_H_

#include <json/json.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "lentilscale/resources.h"

namespace lentilscale {

// A key by which work shows its team.
struct TeamKey {
  std::string name_;
  // SHA-256 of the key, in lower-case hexadecimal.
  std::string sha256_;
  auto operator==(const TeamKey&) const -> bool = default;
};

// A team with its share and its upper limit.
struct Team {
  std::string name_;
  // Weight of the team when the fleet is full.
  std::int64_t share_ = 1;
  // Largest number of tasks that the team may have running on the fleet.
  std::int64_t limit_ = 0;
  std::vector<TeamKey> keys_;
  auto operator==(const Team&) const -> bool = default;
};

// A service: a pool of workers that runs one kind of program.
struct Service {
  std::string name_;
  // Number of shards that its workers in one data centre form. It cannot be
  // changed while the service exists, since shards are named after it.
  std::int64_t shards_per_data_centre_ = 4;
  // What a call takes unless it says otherwise.
  Resources call_need_;
  auto operator==(const Service&) const -> bool = default;
};

// A queue that takes work without a key, on a team's account.
struct OpenQueue {
  std::string name_;
  std::string service_;
  std::string team_;
  auto operator==(const OpenQueue&) const -> bool = default;
};

// Long-running tasks that are kept at a count.
struct Deployment {
  std::string name_;
  std::string team_;
  std::string service_;
  std::int64_t count_ = 0;
  Resources need_;
  // Tasks that may be away at a time while the version changes.
  std::int64_t max_unavailable_ = 1;
  // Changing the version replaces all tasks, a few at a time.
  std::string version_;
  auto operator==(const Deployment&) const -> bool = default;
};

// A numbered change: the whole new state of everything it touches.
struct Ticket {
  // Reads and checks a ticket; throws Error(kBadRequest) with the member that
  // is wrong.
  static auto FromJson(const Json::Value& object) -> Ticket;
  auto ToJson() const -> Json::Value;

  std::int64_t number_ = 0;
  std::string author_;
  std::string note_;
  // Chosen by the writer; tells its own ticket from another's after a lost
  // answer of the store.
  std::string nonce_;
  std::vector<Team> teams_;
  std::vector<Service> services_;
  std::vector<OpenQueue> queues_;
  std::vector<Deployment> deployments_;
  std::vector<std::string> removed_teams_;
  std::vector<std::string> removed_services_;
  std::vector<std::string> removed_queues_;
  std::vector<std::string> removed_deployments_;
};

// The state of everything after ticket `number_`.
struct Configuration {
  static auto FromJson(const Json::Value& object) -> Configuration;
  auto ToJson() const -> Json::Value;

  // Returns the configuration after `ticket`. Throws Error(kTicketConflict) if
  // the number is not the next one, Error(kBadRequest) if the result would
  // refer to something that does not exist.
  auto Apply(const Ticket& ticket) const -> Configuration;

  // Returns the team whose key is `key`, or nullptr. The comparison takes the
  // same time for every key.
  auto FindTeamByKey(const std::string& key) const -> const Team*;

  auto FindTeam(const std::string& name) const -> const Team*;
  auto FindService(const std::string& name) const -> const Service*;
  auto FindQueue(const std::string& name) const -> const OpenQueue*;

  std::int64_t number_ = 0;
  std::map<std::string, Team, std::less<>> teams_;
  std::map<std::string, Service, std::less<>> services_;
  std::map<std::string, OpenQueue, std::less<>> queues_;
  std::map<std::string, Deployment, std::less<>> deployments_;
};

// Returns one line per thing that differs: "+ team a", "- key ...", "~ ...".
auto Diff(const Configuration& from, const Configuration& to)
    -> std::vector<std::string>;

// Returns the SHA-256 of `text` in lower-case hexadecimal.
auto Sha256Hex(const std::string& text) -> std::string;

}  // namespace lentilscale

#endif  // LENTILSCALE_CONFIGURATION_H_
