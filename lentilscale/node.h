// One entry instance: all tasks of lentild put together.
//
//   auto node = Node::Create(loop, settings, /*is_embedded=*/false);
//   if (!node.ok()) ...
//   (*node)->Drain([] { ... exit ... });     // on SIGTERM
//
// The node registers as a member, reads the store and the platform's list,
// exchanges heartbeats, and passes what it learns to the parts that need it.
// docs/ARCHITECTURE.md has the picture.

#ifndef LENTILSCALE_NODE_H_
#define LENTILSCALE_NODE_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/api.h"
#include "lentilscale/authority.h"
#include "lentilscale/call_router.h"
#include "lentilscale/configuration_fetcher.h"
#include "lentilscale/executor.h"
#include "lentilscale/holding_rebalancer.h"
#include "lentilscale/instance_list.h"
#include "lentilscale/job_controller.h"
#include "lentilscale/members.h"
#include "lentilscale/peer_link.h"
#include "lentilscale/request_deduplicator.h"
#include "lentilscale/settings.h"
#include "lentilscale/shard_owner.h"
#include "lentilscale/store.h"
#include "lentilscale/store_view.h"
#include "lentilscale/task_service.h"
#include "lentilscale/ticket_desk.h"
#include "lentilscale/timer.h"
#include "lentilscale/worker_server.h"

namespace lentilscale {

// An entry instance.
class Node {
 public:
  // Starts an instance on `loop`. In embedded mode the store and a handful of
  // workers run within the process, and the settings of store and platform
  // are not used. Returns an error if a port is taken.
  static auto Create(uv_loop_t* loop, const Settings& settings,
                     bool is_embedded) -> absl::StatusOr<std::unique_ptr<Node>>;

  ~Node();
  Node(const Node&) = delete;
  auto operator=(const Node&) -> Node& = delete;

  // Hands everything over, finishes what is open and calls `done`. A second
  // call is ignored.
  auto Drain(std::function<void()> done) -> void;

  auto port() const -> int { return api_server_->port(); }
  auto peer_port() const -> int { return peer_server_->port(); }

 private:
  friend class Api;

  enum class Phase { kRunning, kHandingOver, kFinishing, kStopped };

  Node(uv_loop_t* loop, const Settings& settings);

  auto StartEmbedded() -> absl::Status;
  auto Listen() -> absl::Status;
  auto Wire() -> void;
  auto StartTimers() -> void;

  auto Register() -> void;
  auto KeepLease() -> void;
  auto OnViewRead(Millis sent) -> void;
  auto OnMembers(const std::vector<MemberRecord>& records) -> void;
  auto OnConfiguration(const Configuration& configuration) -> void;
  auto OnWorkers(const std::vector<WorkerInfo>& workers) -> void;
  auto SendHeartbeats() -> void;
  auto OnDigest(const MemberDigest& digest, Millis sent) -> void;
  auto MakeDigest() const -> MemberDigest;
  auto FetchConfiguration(const std::string& address,
                          const ConfigurationFetcher::Done& done) -> void;
  auto RelayToPeer(const std::string& path, const std::string& body,
                   HttpClient::Callback callback) -> bool;
  auto AddPeerHandlers() -> void;
  auto OnFastTick() -> void;
  auto OnSlowTick() -> void;
  auto TickDrain() -> void;
  auto UpdateMetrics() -> void;
  auto NoteAuthority(Millis now) -> void;
  auto NoteSuspects(Millis now) -> void;
  auto HasStore(Millis now) const -> bool;

  uv_loop_t* loop_;
  Settings settings_;
  std::string id_;
  std::string peer_address_;
  Metrics metrics_;
  HttpClient client_;
  std::unique_ptr<KvServer> embedded_store_;
  std::unique_ptr<WorkerServer> embedded_workers_;
  std::unique_ptr<Store> store_;
  std::unique_ptr<InstanceList> instances_;
  std::unique_ptr<PeerLink> link_;
  Authority authority_;
  Members members_;
  std::unique_ptr<StoreView> view_;
  std::unique_ptr<Executor> executor_;
  RequestDeduplicator request_deduplicator_;
  std::unique_ptr<ShardOwner> owner_;
  std::unique_ptr<HoldingRebalancer> holding_rebalancer_;
  std::unique_ptr<CallRouter> router_;
  std::unique_ptr<TaskService> tasks_;
  std::unique_ptr<JobController> job_controller_;
  std::unique_ptr<TicketDesk> tickets_;
  std::unique_ptr<Api> api_;
  std::unique_ptr<HttpServer> api_server_;
  std::unique_ptr<HttpServer> peer_server_;
  std::vector<std::unique_ptr<RepeatingTimer>> timers_;

  Configuration configuration_;
  ConfigurationFetcher configuration_fetcher_{
      [this](const std::string& address,
             const ConfigurationFetcher::Done& done) {
        FetchConfiguration(address, done);
      }};
  std::vector<WorkerInfo> workers_;
  std::int64_t lease_ = 0;
  bool is_leasing_ = false;
  Millis store_answered_ms_ = 0;
  bool is_store_lost_ = false;
  bool had_rights_ = false;
  bool is_relaying_ = false;
  std::set<std::string> suspects_;
  Phase phase_ = Phase::kRunning;
  Millis drain_started_ms_ = 0;
  std::function<void()> on_drained_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_NODE_H_
