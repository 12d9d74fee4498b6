// One instance of the fleet scheduler.
//
// Runs the HTTP listeners, takes part in the owner election and, while this
// instance is the owner, runs the dispatcher.

#ifndef LENTILSCALE_FLEET_FLEET_NODE_H_
#define LENTILSCALE_FLEET_FLEET_NODE_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <memory>
#include <string>

#include "fleet/admission.h"
#include "fleet/advice_balancer.h"
#include "fleet/client_api.h"
#include "fleet/config_exchange.h"
#include "fleet/config_relays.h"
#include "fleet/config_watcher.h"
#include "fleet/dispatcher.h"
#include "fleet/election.h"
#include "fleet/peer_client.h"
#include "lentilscale/http_client.h"
#include "lentilscale/http_server.h"
#include "lentilscale/loop_monitor.h"

namespace lentilscale::fleet {

// Start-up parameters of an instance. Addresses are "IP:PORT".
struct FleetNodeOptions {
  std::string instance_name_;
  // Group of data centres that the instance is in; empty if unknown.
  std::string region_;
  std::string client_address_;
  // Listener for the platform's readiness probe; empty to disable it.
  std::string readiness_address_;
  std::string readiness_path_;
  std::string peer_address_;
  // Key of the configuration in the store.
  std::string configuration_key_;
  // Client requests are refused once the configuration is older than this.
  Millis max_config_age_ms_ = 3500;
  // Processor time available to this instance, in cores; 0 if unknown.
  double processor_cores_ = 0;
  // Time between the termination signal and the platform's kill.
  Millis termination_grace_ms_ = 6000;
  // Time to live of the lease under which the owner's record is stored.
  Millis owner_lease_ttl_ms_ = 1500;
  DispatcherOptions dispatcher_;
};

// External services and parsers that a node uses: platform adapters, or fakes
// in tests.
struct FleetNodeDependencies {
  RecordStore* store_ = nullptr;
  WorkerGateway* worker_gateway_ = nullptr;
  AdviceGateway* advice_gateway_ = nullptr;
  HttpClient* http_client_ = nullptr;
  ClientApiCodec client_api_codec_;
  ConfigWatcher::ParseFunction parse_configuration_;
  std::function<absl::StatusOr<WorkerEntry>(const std::string& key,
                                            const std::string& text)>
      parse_worker_;
};

class FleetNode {
 public:
  // Fails if an address is in use or its host is not an IP address.
  static auto Create(uv_loop_t* loop, const FleetNodeOptions& options,
                     const FleetNodeDependencies& dependencies)
      -> absl::StatusOr<std::unique_ptr<FleetNode>>;
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  auto operator=(const FleetNode&) -> FleetNode& = delete;

  // Shuts down gracefully: reports not ready, gives up ownership, completes
  // open client requests, then calls `done`. Requests that are still open when
  // the termination grace period is about to end are answered with 504.
  auto Drain(std::function<void()> done) -> void;

 private:
  FleetNode(uv_loop_t* loop, const FleetNodeOptions& options,
            const FleetNodeDependencies& dependencies);

  auto Listen() -> absl::Status;
  auto HandlePeerRequest(const HttpRequest& request,
                         const std::shared_ptr<HttpReply>& reply) -> void;
  auto HandleReadiness(const HttpRequest& request,
                       const std::shared_ptr<HttpReply>& reply) -> void;
  auto MetricsText() -> std::string;
  auto MakeOwnerClient() -> OwnerClient;
  auto OnElected(const OwnerClaim& claim) -> void;
  // Returns until when `owner` may have rights that the store does not confirm,
  // and asks it to resign.
  auto BoundUnconfirmedRights(const OwnerIdentity& owner,
                              const OwnerClaim& claim) -> Millis;
  // Asks a former owner to resign until it confirms that, or until its rights
  // must have ended, while this instance is the owner of `epoch`.
  auto RequestResignation(const OwnerIdentity& former, std::int64_t epoch)
      -> void;
  // Concludes from a report to this owner that the instance has no rights.
  auto OnReportFrom(const std::string& instance) -> void;
  auto OnDeposed() -> void;
  auto OnOwnerChanged() -> void;
  // Tells the next owner until when the leases that this instance granted are
  // valid, with up to `attempts` calls. Does nothing if another owner came in
  // between or the next one is not known yet.
  auto SendLeaseExpiries(int attempts) -> void;
  // Handles a call that SendLeaseExpiries of another instance made.
  auto ApplyLeaseExpiries(const Json::Value& body) -> void;
  // Returns the way in which the configuration watcher reaches other instances.
  auto MakeConfigPeers() -> ConfigPeers;
  // Sets the sources of the configuration that the owner has named, or the
  // store if no owner has answered for long.
  auto UpdateConfigSources() -> void;
  // Asks the store for the owner's record, to learn whether it answers.
  auto ProbeStore() -> void;
  // Applies a report about a candidate to the choice of relays, and returns the
  // sources of the configuration for it.
  auto ChooseConfigSources(const RelayCandidate& candidate)
      -> std::vector<std::string>;
  // Reports this instance to the owner, unless it is the owner itself.
  auto SendReport() -> void;
  // Returns true if the store appears to have answered other instances since
  // `since_ms` (BootMs). Called when it does not answer this instance.
  auto HasStoreAnsweredOthers(Millis since_ms) const -> bool;
  // Asks the best successor candidate to claim ownership.
  auto RequestSuccessorClaim() -> void;
  // Advances the shutdown and reschedules itself until it calls `done`.
  auto PollDrain(Millis started_ms, const std::function<void()>& done) -> void;

  uv_loop_t* loop_;
  FleetNodeOptions options_;
  FleetNodeDependencies dependencies_;
  PeerClient peer_client_;
  AdviceBalancer advice_balancer_;
  Admission admission_;
  FleetMetrics metrics_;
  LoopMonitor loop_monitor_;
  ConfigPoller config_poller_;
  ConfigFeed config_feed_;
  ConfigRelays config_relays_;
  // What the owner has named last.
  std::vector<std::string> config_sources_;
  bool is_probing_store_ = false;
  std::unique_ptr<ConfigWatcher> config_watcher_;
  std::unique_ptr<Election> election_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<ClientApi> client_api_;
  std::unique_ptr<HttpServer> client_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<RepeatingTimer> report_timer_;
  // The last ownership of this instance, until the next owner has its report.
  struct EndedTerm {
    std::int64_t epoch_ = 0;
    // By worker id, BootMs.
    std::map<std::string, Millis> expiries_;
  };
  EndedTerm ended_term_;
  int owner_connection_refusals_ = 0;
  // When the owner last answered a report, and when the store had last answered
  // the owner according to that report's answer.
  Millis owner_answered_ms_ = 0;
  Millis owner_store_answered_ms_ = 0;
  // The latest report of another instance, used to choose a successor.
  struct SuccessorCandidate {
    Millis reported_ms_ = 0;
    Millis claim_delay_ms_ = 0;
  };
  // By peer address.
  std::map<std::string, SuccessorCandidate> successor_candidates_;
  bool is_draining_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_FLEET_NODE_H_
