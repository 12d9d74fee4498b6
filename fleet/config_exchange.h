// Passes the configuration from one instance to another.
//
// An instance polls another one by POST /peer/config with the revision that it
// has. The answer comes when the other instance has a newer configuration, or
// has learned once more that there is none, or after `wait_ms`. It consists of
// one line of JSON, and of the configuration as stored if it is newer:
//
//   {"age_ms":1803,"at_revision":812,"has_value":true,"held_ms":411,"revision":812}
//   {"version":7,...
//
// Every instance serves polls, from what it has.

#ifndef LENTILSCALE_FLEET_CONFIG_EXCHANGE_H_
#define LENTILSCALE_FLEET_CONFIG_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fleet/record_store.h"
#include "lentilscale/http_client.h"
#include "lentilscale/http_server.h"

namespace lentilscale::fleet {

// The request of an instance that takes the configuration from another.
struct ConfigPoll {
  // Revision of the configuration that it has.
  std::int64_t after_revision_ = 0;
  // Time after which it wants an answer in any case.
  Millis wait_ms_ = 0;
};

// What the other instance has.
struct ConfigAnswer {
  // Revision of its configuration.
  std::int64_t revision_ = 0;
  // The store's revision up to which it has seen all changes.
  std::int64_t at_revision_ = 0;
  // Time for which its configuration has not been known to be the newest.
  Millis age_ms_ = 0;
  // Time for which it held the poll.
  Millis held_ms_ = 0;
  // The configuration as stored, if its revision is above that of the poll.
  std::optional<std::string> value_;
};

// Encodes an answer for the wire.
auto EncodeConfigAnswer(const ConfigAnswer& answer) -> std::string;
// Returns nullopt if the text is no answer to a poll with `after_revision`.
auto ParseConfigAnswer(std::string_view text, std::int64_t after_revision)
    -> std::optional<ConfigAnswer>;

// Returns a time, by the clock of the polling instance, at which the answer's
// configuration was the newest. The poll was sent at `sent_ms` by that clock.
// Allows for clocks of different rates.
auto KnownCurrentMs(const ConfigAnswer& answer, Millis sent_ms) -> Millis;

// Receives the answer and the time (BootMs) at which the poll was sent; nullopt
// if there was no answer in time or the instance has no configuration.
using ConfigPollCallback =
    std::function<void(const std::optional<ConfigAnswer>&, Millis sent_ms)>;

// Sends polls to other instances.
class ConfigPoller {
 public:
  explicit ConfigPoller(HttpClient* http_client) : http_client_(http_client) {}

  // Polls the instance at `address`, "IP:PORT".
  auto Send(const std::string& address, const ConfigPoll& poll,
            ConfigPollCallback callback) -> void;

 private:
  HttpClient* http_client_;
};

// Holds the polls of other instances until there is something to answer.
class ConfigFeed {
 public:
  explicit ConfigFeed(uv_loop_t* loop) : loop_(loop) {}
  ~ConfigFeed() { *is_alive_ = false; }
  ConfigFeed(const ConfigFeed&) = delete;
  auto operator=(const ConfigFeed&) -> ConfigFeed& = delete;

  // Answers the poll in `body` now or later; throws Error if it is malformed.
  auto Handle(const std::string& body, std::shared_ptr<HttpReply> reply)
      -> void;
  // Sets what this instance has and answers the polls that wait. Called
  // whenever the configuration was confirmed; its age counts from
  // `known_current_ms` (BootMs). `at_revision` is the store's revision up to
  // which all changes are known.
  auto Publish(std::shared_ptr<const Record> record, std::int64_t at_revision,
               Millis known_current_ms) -> void;

 private:
  struct Waiting {
    std::int64_t after_revision_;
    Millis arrived_ms_;
    Millis until_ms_;
    std::shared_ptr<HttpReply> reply_;
  };

  auto Answer(const Waiting& waiting) const -> void;
  auto AnswerOverdue() -> void;

  uv_loop_t* loop_;
  // nullptr until there is a configuration.
  std::shared_ptr<const Record> record_;
  std::int64_t at_revision_ = 0;
  Millis known_current_ms_ = 0;
  std::vector<Waiting> waiting_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CONFIG_EXCHANGE_H_
