// Messages between the instances of a fleet.
//
// Each is an HTTP POST with a JSON body to the peer's address:
//
//   /peer/report   an instance tells the owner that it is there
//   /peer/job      a job that was just accepted
//   /peer/cancel   a cancellation that was just accepted
//   /peer/state    asks for a job's state
//   /peer/pending  asks for a queue's number of jobs that have not started
//   /peer/claim    the stopping owner asks an instance to follow it
//   /peer/advise   asks the instance to ask the advice service
//
// Only the owner answers the first five; others answer 409. Reports carry the
// age of the process and its distance from the store, by which the owner
// chooses its successor.

#ifndef LENTILSCALE_FLEET_PEER_CLIENT_H_
#define LENTILSCALE_FLEET_PEER_CLIENT_H_

#include <functional>
#include <optional>
#include <string>

#include "fleet/advice_balancer.h"
#include "fleet/job_record.h"
#include "lentilscale/http_client.h"

namespace lentilscale::fleet {

// What an instance tells the owner of itself.
struct InstanceReport {
  std::string address_;
  // Time since the store last answered it.
  Millis store_age_ms_ = 0;
  // The delay with which it would claim; the smallest follows best.
  Millis claim_delay_ms_ = 0;
};

class PeerClient {
 public:
  explicit PeerClient(HttpClient* client) : client_(client) {}

  // `on_answer` gets the time since the store last answered the owner;
  // `on_refused` runs if the connection is refused at once: no process listens
  // there.
  auto Report(const std::string& address, const InstanceReport& report,
              std::function<void(Millis owner_store_age_ms)> on_answer,
              std::function<void()> on_refused) -> void;
  auto AskToClaim(const std::string& address, std::int64_t owner_revision)
      -> void;
  auto TellJob(const std::string& address, const JobRecord& job) -> void;
  auto TellCancel(const std::string& address, const std::string& id) -> void;
  // Calls back with nothing if the peer does not know the job or does not
  // answer.
  auto AskState(const std::string& address, const std::string& id,
                std::function<void(std::optional<JobState>)> callback) -> void;
  auto AskPending(const std::string& address, const std::string& queue,
                  std::function<void(std::optional<std::int64_t>)> callback)
      -> void;
  auto AskAdvice(const std::string& address, const AdviceRequest& question,
                 AdviceGateway::Callback callback) -> void;

 private:
  auto Send(const std::string& address, const char* path,
            const Json::Value& body, Millis timeout_ms,
            HttpClient::Callback callback) -> void;

  HttpClient* client_;
};

// Returns the state named `name`, or nothing.
auto JobStateFromName(const std::string& name) -> std::optional<JobState>;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_PEER_CLIENT_H_
