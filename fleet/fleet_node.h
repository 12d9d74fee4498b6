// One instance of the fleet scheduler: its listeners, its part in the
// election, and the dispatcher while it is the owner.

#ifndef LENTILSCALE_FLEET_FLEET_NODE_H_
#define LENTILSCALE_FLEET_FLEET_NODE_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <memory>
#include <string>

#include "fleet/advice_balancer.h"
#include "fleet/config_feed.h"
#include "fleet/dispatcher.h"
#include "fleet/election.h"
#include "fleet/front_desk.h"
#include "fleet/peer_client.h"
#include "lentilscale/http_client.h"
#include "lentilscale/http_server.h"

namespace lentilscale::fleet {

// What an instance needs to know at its start. Addresses are "IP:PORT".
struct FleetNodeOptions {
  std::string name_;
  std::string client_address_;
  // Where the platform's probe asks; empty for none.
  std::string readiness_address_;
  std::string readiness_path_;
  std::string peer_address_;
  // Key of the configuration in the store.
  std::string configuration_key_;
  // Age of the configuration beyond which requests are refused.
  Millis max_config_age_ms_ = 3500;
  // Share of a processor that this instance has, in cores; 0 if unknown.
  double processor_cores_ = 0;
  // Time from the signal to stop until the process must have ended.
  Millis grace_ms_ = 6000;
  // Time to live of the owner's lease.
  Millis owner_ttl_ms_ = 1500;
  DispatcherOptions dispatcher_;
};

// The outside of a node: platform adapters, or fakes in tests.
struct FleetNodePorts {
  RecordStore* store_ = nullptr;
  WorkerGateway* workers_ = nullptr;
  AdviceGateway* advice_ = nullptr;
  HttpClient* peers_ = nullptr;
  FrontFormats formats_;
  ConfigFeed::Parser parse_configuration_;
  std::function<absl::StatusOr<WorkerEntry>(const std::string& key,
                                            const std::string& text)>
      parse_worker_;
};

class FleetNode {
 public:
  // Fails if an address is taken or not an IP number and port.
  static auto Create(uv_loop_t* loop, const FleetNodeOptions& options,
                     const FleetNodePorts& ports)
      -> absl::StatusOr<std::unique_ptr<FleetNode>>;
  ~FleetNode();
  FleetNode(const FleetNode&) = delete;
  auto operator=(const FleetNode&) -> FleetNode& = delete;

  // Stops gracefully: reports not ready, hands the ownership on, finishes open
  // requests, then calls `done`.
  auto Drain(std::function<void()> done) -> void;

 private:
  FleetNode(uv_loop_t* loop, const FleetNodeOptions& options,
            const FleetNodePorts& ports);

  auto Listen() -> absl::Status;
  auto HandlePeer(const HttpRequest& request,
                  const std::shared_ptr<HttpReply>& reply) -> void;
  auto HandleReadiness(const HttpRequest& request,
                       const std::shared_ptr<HttpReply>& reply) -> void;
  auto MetricsText() -> std::string;
  auto MakeOwnerLink() -> OwnerLink;
  auto OnElected(const OwnerClaim& rights) -> void;
  auto Report() -> void;
  // Returns true if the store seems to have answered other instances since
  // `since_ms`, asked when it does not answer this one.
  auto HasStoreAnsweredOthers(Millis since_ms) const -> bool;
  auto HandOver() -> void;
  auto FinishDrain(Millis started_ms, const std::function<void()>& done)
      -> void;

  uv_loop_t* loop_;
  FleetNodeOptions options_;
  FleetNodePorts ports_;
  PeerClient peers_;
  AdviceBalancer advice_;
  FleetMetrics metrics_;
  std::unique_ptr<ConfigFeed> config_;
  std::unique_ptr<Election> election_;
  std::unique_ptr<Dispatcher> dispatcher_;
  std::unique_ptr<FrontDesk> front_;
  std::unique_ptr<HttpServer> client_server_;
  std::unique_ptr<HttpServer> readiness_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::unique_ptr<RepeatingTimer> report_timer_;
  int owner_refusals_ = 0;
  // When the owner last answered a report, and when the store had last answered
  // the owner by then.
  Millis owner_heard_ms_ = 0;
  Millis owner_store_seen_ms_ = 0;
  // The latest reports of other instances, for the choice of a successor.
  struct Successor {
    Millis reported_ms_ = 0;
    Millis claim_delay_ms_ = 0;
  };
  std::map<std::string, Successor> successors_;
  bool is_draining_ = false;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_FLEET_NODE_H_
