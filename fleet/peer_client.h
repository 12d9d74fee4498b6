// Client for the messages between the instances of a fleet.
//
// Each message is an HTTP POST with a JSON body to the peer's address:
//
//   /peer/report   reports an instance to the owner
//   /peer/job      announces a newly accepted job
//   /peer/cancel   announces a newly accepted cancellation
//   /peer/state    queries a job's state
//   /peer/pending  queries how many jobs of a queue have not started
//   /peer/claim    the owner, about to stop, asks an instance to claim
//                  ownership
//   /peer/advise   asks an instance to call the advice service
//   /peer/config   asks an instance for its configuration
//                  (fleet/config_exchange.h)
//
// Only the owner serves the first five; other instances answer 409.
//
// A report carries the instance's claim delay, by which the owner chooses its
// successor. The delay grows with the age of the process, its distance from the
// store and its lack of processor time.

#ifndef LENTILSCALE_FLEET_PEER_CLIENT_H_
#define LENTILSCALE_FLEET_PEER_CLIENT_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/advice_balancer.h"
#include "fleet/config_relays.h"
#include "fleet/job_record.h"
#include "fleet/owner_rights.h"
#include "lentilscale/http_client.h"

namespace lentilscale::fleet {

// The report that an instance sends to the owner.
struct InstanceReport {
  std::string instance_;
  StoreReport store_;
  // Delay with which the instance would claim ownership. The instance with the
  // smallest delay is the best successor.
  Millis claim_delay_ms_ = 0;
  // Its address, and what the choice of relays depends on.
  RelayCandidate candidate_;
};

// What an owner that has given up its rights tells its successor.
struct LeaseExpiryReport {
  // The epoch of the sender's ownership.
  std::int64_t epoch_ = 0;
  // By worker id: the time left until the last lease that the sender granted
  // there has expired.
  std::map<std::string, Millis> left_ms_;
};

class PeerClient {
 public:
  explicit PeerClient(HttpClient* http_client) : http_client_(http_client) {}

  // Sends `report` to the owner. `on_refused` runs if the connection is refused
  // immediately: probably no process listens on the address, but a network that
  // rejects packets looks the same.
  auto SendReport(const std::string& address, const InstanceReport& report,
                  std::function<void(const ReportAnswer&)> on_answer,
                  std::function<void()> on_refused) -> void;
  // Asks the instance at `address` to claim ownership from the owner whose
  // record has `owner_revision`.
  auto RequestClaim(const std::string& address, std::int64_t owner_revision)
      -> void;
  // Sends the report to the new owner at `address`. `callback` receives true if
  // it was received.
  auto SendLeaseExpiries(const std::string& address,
                         const LeaseExpiryReport& report,
                         std::function<void(bool)> callback) -> void;
  // Tells the previous owner `instance` at `address` that `epoch` has been
  // claimed. `callback` receives true if it has confirmed that it has no rights
  // any more; a connection that is refused confirms nothing.
  auto RequestResignation(const std::string& address,
                          const std::string& instance, std::int64_t epoch,
                          std::function<void(bool)> callback) -> void;
  // Announce an accepted job or cancellation to the owner, without
  // confirmation.
  auto NotifyJob(const std::string& address, const JobRecord& job,
                 std::int64_t revision) -> void;
  auto NotifyCancel(const std::string& address, const std::string& id) -> void;
  // Passes std::nullopt to `callback` if the peer does not know the job or does
  // not answer.
  auto QueryState(const std::string& address, const std::string& id,
                  std::function<void(std::optional<JobState>)> callback)
      -> void;
  auto QueryPending(const std::string& address, const std::string& queue,
                    std::function<void(std::optional<std::int64_t>)> callback)
      -> void;
  // Calls the advice service through the instance at `address`.
  auto RequestAdvice(const std::string& address, const AdviceRequest& request,
                     AdviceGateway::Callback callback) -> void;

 private:
  auto Send(const std::string& address, const char* path,
            const Json::Value& body, Millis timeout_ms,
            HttpClient::Callback callback) -> void;

  HttpClient* http_client_;
};

// Parses the part of a report that concerns the store; throws Error if a field
// has another type.
auto ParseStoreReport(const Json::Value& body) -> StoreReport;

// Parses the part of a report that concerns the choice of relays, which older
// instances leave out; throws Error if a field has another type.
auto ParseRelayCandidate(const Json::Value& body) -> RelayCandidate;

// Returns the state named `name`, or std::nullopt if there is none.
auto JobStateFromName(const std::string& name) -> std::optional<JobState>;

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_PEER_CLIENT_H_
