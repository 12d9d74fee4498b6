// Several owners after each other, and at times beside each other, on a
// simulated clock (ownership_walk_test): each instance has the product's
// Election and, while it is elected, the product's Dispatcher, joined as
// FleetNode joins them. The store, the workers and all links are models. Each
// link between two parties can be cut by itself, so two instances may see
// different parts of the fleet.
//
// The judge looks at the model's workers only, never at the product. It names
// each task that runs twice at a time on workers that are up, and each start
// after an end `done` that was acknowledged under the lease it ended under:
//
//   OwnershipWorld world({.seed_ = 17, .faults_ = AllOwnershipFaults()});
//   while (!world.IsFinished()) { ... advance the clock, world.Run() ... }
//   for (const auto& violation : world.violations()) ...
//
// All times are those of the product, so the clock must be simulated. Nothing
// but the options decides the course.

#ifndef LENTILSCALE_TESTING_OWNERSHIP_WALK_STAND_IN_H_
#define LENTILSCALE_TESTING_OWNERSHIP_WALK_STAND_IN_H_

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/dispatcher.h"
#include "fleet/election.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {

// A class of faults; a course draws from those that are switched on.
enum class OwnershipFault {
  // The store does not answer an instance, or refuses its calls.
  kStoreSilence,
  kStoreRefusal,
  // An instance's watches return no changes for up to 2.6 s.
  kDeafWatch,
  // Transactions are carried out up to 3 s after their caller gave up.
  kLateTransaction,
  // Two instances do not reach each other; the one kind times out, the other
  // fails at once as if no process listened.
  kPeerSilence,
  kPeerRefusal,
  // An instance does not reach a worker.
  kWorkerCut,
  // The instances and workers are split in two groups; the store answers one,
  // both or refuses the second.
  kSplit,
  // The others take the owner for gone while it reaches the store and some
  // workers; its watch is deaf.
  kContestedOwner,
  kInstanceKill,
  // An instance's event loop stands still.
  kInstanceFreeze,
  // An instance is asked to stop and hands its ownership over.
  kHandOver,
  // A worker restarts under its id, or under another one.
  kWorkerRebirth,
  kWorkerNewId,
  kWorkerDrain,
  // A worker's entry is not renewed in the store.
  kEntryLoss,
  // No instance reaches the worker, which goes on.
  kWorkerSilence,
  // Orders to a worker get no answer and are carried out 2 to 12 s late.
  kLateOrders,
  // Starts are carried out and answered up to 700 ms later.
  kLateAnswers,
  // Queues change their services.
  kServiceChange,
  // Answers of the store come up to 1.3 s after their caller's time-out.
  kLateStore,
};

// A rule of the protocol that the workers of a variant do not keep.
enum class OwnershipGap {
  kNothing,
  // Orders with a lower fencing token are carried out.
  kFencing,
  // Runs go on when their lease has expired.
  kLeaseExpiry,
};

auto OwnershipFaultName(OwnershipFault fault) -> const char*;
auto AllOwnershipFaults() -> std::set<OwnershipFault>;

struct OwnershipWalkOptions {
  unsigned seed_ = 1;
  std::set<OwnershipFault> faults_;
  OwnershipGap gap_ = OwnershipGap::kNothing;
};

class OwnershipWorld;

// The state of one link; all of a link's faults end by themselves.
struct OwnershipLink {
  Millis silent_until_ms_ = 0;
  Millis refused_until_ms_ = 0;

  auto IsSilent() const -> bool { return BootMs() < silent_until_ms_; }
  auto IsRefused() const -> bool { return BootMs() < refused_until_ms_; }
  auto IsOpen() const -> bool { return !IsSilent() && !IsRefused(); }
};

// The store's records, its history and its leases.
class OwnershipRecords {
 public:
  auto Put(const std::string& key, const std::string& value,
           std::int64_t lease = 0) -> std::int64_t;
  auto Remove(const std::string& key) -> void;
  auto Get(const std::string& key) const -> const Record*;
  auto List(const std::string& prefix) const -> ReadResult;
  auto Changes(const std::string& prefix, std::int64_t after) const
      -> ReadResult;
  auto Apply(const Transaction& transaction) -> CommitResult;
  auto Grant(Millis ttl_ms) -> std::int64_t;
  // Returns false if the lease has ended.
  auto Renew(std::int64_t lease) -> bool;
  auto End(std::int64_t lease) -> void;
  auto EndExpiredLeases() -> void;

 private:
  struct Lease {
    Millis ttl_ms_ = 0;
    Millis expires_ms_ = 0;
  };

  std::int64_t revision_ = 1;
  std::int64_t next_lease_ = 1;
  std::map<std::string, Record> records_;
  std::vector<Record> history_;
  std::map<std::int64_t, Lease> leases_;
};

// The store as one instance reaches it.
class OwnershipStore : public RecordStore {
 public:
  OwnershipStore(OwnershipWorld* world, int instance)
      : world_(world), instance_(instance) {}

  auto Read(const std::string& key, ReadCallback callback) -> void override;
  auto ReadAwaitingLate(const std::string& key, ReadCallback callback)
      -> void override;
  auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void override;
  auto Watch(const std::string& prefix, std::int64_t after_revision,
             Millis wait_ms, ReadCallback callback) -> void override;
  auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void override;
  auto GrantLease(Millis ttl_ms, LeaseCallback callback) -> void override;
  auto RenewLease(std::int64_t lease, LeaseCallback callback) -> void override;
  auto RevokeLease(std::int64_t lease) -> void override;

 private:
  // Carries `operation` out at the store and its result back to the instance.
  // `is_late_reported` is true if its late answers are reported.
  template <typename Result>
  auto Call(std::function<Result()> operation,
            std::function<void(const Result&)> callback,
            bool is_late_reported = false) -> void;
  auto PollWatch(const std::string& prefix, std::int64_t after_revision,
                 Millis sent_ms, Millis until_ms, const ReadCallback& callback)
      -> void;

  OwnershipWorld* world_;
  int instance_;
};

// A machine with one worker after the other, each a life of its own.
struct OwnershipWorker {
  struct Run {
    std::int64_t run_ = 0;
    Millis began_ms_ = 0;
    Millis ends_ms_ = 0;
    RunEnd end_ = RunEnd::kDone;
  };

  WorkerEntry entry_;
  int life_ = 0;
  Millis life_began_ms_ = 0;
  Millis clock_start_ms_ = 1;
  double clock_rate_ = 1;
  Millis max_hold_ms_ = 6000;
  OwnershipGap gap_ = OwnershipGap::kNothing;
  std::int64_t token_ = 0;
  Millis deadline_ms_ = 0;
  bool is_up_ = true;
  Millis silent_until_ms_ = 0;
  Millis entry_lost_until_ms_ = 0;
  Millis late_orders_until_ms_ = 0;
  Millis late_answers_until_ms_ = 0;
  Millis last_beat_ms_ = 0;
  // By task.
  std::map<std::string, Run> running_;
  std::map<std::string, std::int64_t> closed_runs_;
  std::vector<EndedRun> ended_;
  std::int64_t next_end_ = 1;

  auto ClockMs() const -> Millis;
};

// The workers as one instance reaches them.
class OwnershipGateway : public WorkerGateway {
 public:
  OwnershipGateway(OwnershipWorld* world, int instance)
      : world_(world), instance_(instance) {}

  auto Start(const WorkerEntry& worker, const StartOrder& order,
             OrderCallback callback) -> void override;
  auto Stop(const WorkerEntry& worker, const RunRef& run,
            std::int64_t fencing_token, OrderCallback callback)
      -> void override;
  auto Hold(const WorkerEntry& worker, const HoldOrder& order,
            HoldCallback callback) -> void override;
  auto Pace(const WorkerEntry&, const RunRef&, int, std::int64_t, OrderCallback)
      -> void override {}

 private:
  using Order = std::function<OrderResult(OwnershipWorker&)>;

  auto Deliver(const WorkerEntry& worker, Order order, OrderCallback callback)
      -> void;
  auto PollHold(const WorkerEntry& worker, int life, Millis sent_ms,
                Millis until_ms, const HoldCallback& callback) -> void;

  OwnershipWorld* world_;
  int instance_;
};

// One process of an instance: what FleetNode does about ownership, with the
// model's messages in place of HTTP.
class OwnershipInstance {
 public:
  OwnershipInstance(OwnershipWorld* world, int number);

  auto election() -> Election& { return *election_; }
  auto dispatcher() -> Dispatcher* { return dispatcher_.get(); }
  auto NotifyJob(const JobRecord& job, std::int64_t revision) -> void;
  // Asks a successor to claim, and steps down if none does in time.
  auto Drain() -> void;

 private:
  struct EndedTerm {
    std::int64_t epoch_ = 0;
    std::map<std::string, Millis> expiries_;
  };
  struct Candidate {
    Millis reported_ms_ = 0;
    Millis claim_delay_ms_ = 0;
  };

  auto OnElected(const OwnerClaim& claim) -> void;
  auto RequestResignation(const OwnerIdentity& former, std::int64_t epoch)
      -> void;
  // Handles a report that the instance at `address` sent to this owner.
  auto ApplyReport(const std::string& address, const StoreReport& report,
                   Millis claim_delay_ms) -> ReportAnswer;
  auto OnDeposed() -> void;
  auto SendLeaseExpiries(int attempts) -> void;
  auto SendReport() -> void;

  OwnershipWorld* world_;
  int number_;
  FleetMetrics metrics_;
  AdviceBalancer advice_;
  std::unique_ptr<Election> election_;
  std::unique_ptr<Dispatcher> dispatcher_;
  EndedTerm ended_term_;
  int owner_connection_refusals_ = 0;
  std::map<std::string, Candidate> candidates_;
  bool is_draining_ = false;
  std::unique_ptr<RepeatingTimer> report_timer_;
};

class OwnershipWorld {
 public:
  explicit OwnershipWorld(OwnershipWalkOptions options);
  ~OwnershipWorld();
  OwnershipWorld(const OwnershipWorld&) = delete;
  auto operator=(const OwnershipWorld&) -> OwnershipWorld& = delete;

  // Returns the time until the next timer of the loops that do not stand still;
  // nothing if there is none.
  auto NextTimeoutMs() -> std::optional<Millis>;
  // Runs what is due on these loops.
  auto Run() -> void;
  // Ends all processes. The loops must run until they have no timers.
  auto Stop() -> void;
  auto IsFinished() const -> bool { return is_finished_; }
  auto violations() const -> const std::vector<std::string>& {
    return violations_;
  }
  auto starts() const -> int { return starts_; }
  auto elections() const -> int { return elections_; }

  // What the parts of the world use of it.
  struct Machine {
    std::unique_ptr<uv_loop_t> loop_;
    std::unique_ptr<OwnershipStore> store_;
    std::unique_ptr<OwnershipGateway> gateway_;
    std::unique_ptr<OwnershipInstance> process_;
    // Number of the process, to tell it from those before.
    int process_number_ = 0;
    Millis frozen_until_ms_ = 0;
    OwnershipLink store_link_;
    Millis deaf_until_ms_ = 0;
    Millis late_transactions_until_ms_ = 0;
    Millis late_store_until_ms_ = 0;
    std::vector<OwnershipLink> peer_links_;
    std::vector<OwnershipLink> worker_links_;
    std::shared_ptr<const FleetConfig> config_;
  };
  using PeerHandler = std::function<bool(OwnershipInstance&)>;
  enum class PeerOutcome { kAccepted, kRejected, kRefused, kNoAnswer };
  using PeerCallback = std::function<void(PeerOutcome)>;

  auto Chance(double probability) -> bool;
  auto Between(int low, int high) -> int;
  // Runs `action` on the world's own loop, or on that of an instance.
  auto Later(Millis delay_ms, std::function<void()> action) -> void;
  auto LaterAt(int instance, Millis delay_ms, std::function<void()> action)
      -> void;
  // As LaterAt, unless the process that is there now has ended by then.
  auto LaterInProcess(int instance, Millis delay_ms,
                      std::function<void()> action) -> void;
  auto machine(int instance) -> Machine& {
    return machines_[static_cast<std::size_t>(instance)];
  }
  auto records() -> OwnershipRecords& { return records_; }
  auto ParseEntry(const std::string& text) const -> WorkerEntry;
  auto worker(int number) -> OwnershipWorker& {
    return workers_[static_cast<std::size_t>(number)];
  }
  // Calls the instance `to`; `handle` returns false where it answers 409.
  auto SendPeer(int from, int to, PeerHandler handle, PeerCallback callback)
      -> void;
  auto CountElection() -> void { ++elections_; }

  // Ends runs whose time has come; called before each order.
  auto Advance(OwnershipWorker& worker) -> void;
  auto BeginRun(OwnershipWorker& worker, const RunRef& ref) -> void;
  auto EndRun(OwnershipWorker& worker, const std::string& task, RunEnd end)
      -> void;
  auto Acknowledge(OwnershipWorker& worker, std::int64_t number) -> void;

 private:
  // An end `done`, with the lease it happened under.
  struct DoneEnd {
    std::string worker_;
    int life_ = 0;
    std::int64_t number_ = 0;
    std::int64_t run_ = 0;
    Millis ended_ms_ = 0;
    bool is_acknowledged_ = false;
    bool is_lapsed_ = false;
  };
  struct PastFault {
    std::string text_;
    Millis from_ms_ = 0;
    Millis until_ms_ = 0;
  };
  struct StartOf {
    std::string worker_;
    std::int64_t run_ = 0;
    Millis at_ms_ = 0;
  };

  auto AwakeLoops() -> std::vector<uv_loop_t*>;
  auto LaterOn(uv_loop_t* loop, Millis delay_ms, std::function<void()> action)
      -> void;
  auto BeginLife(int number, bool is_new_id) -> void;
  auto BeginProcess(int instance) -> void;
  auto EndProcess(int instance, Millis restart_after_ms) -> void;
  auto WriteEntry(OwnershipWorker& worker) -> void;
  auto EndLife(OwnershipWorker& worker) -> void;
  // Returns the instance with the highest epoch, or any other one.
  auto FaultTarget() -> int;
  auto CauseFault(OwnershipFault fault) -> void;
  auto Split(int target, Millis until_ms) -> void;
  auto Contest(int target, Millis until_ms) -> void;
  auto NoteFault(OwnershipFault fault, const std::string& target,
                 Millis until_ms) -> void;
  auto Submit() -> void;
  auto Tick() -> void;
  auto Violate(const std::string& task, const std::string& text,
               Millis since_ms) -> void;
  auto Elapsed(Millis time_ms) const -> Millis { return time_ms - began_ms_; }

  OwnershipWalkOptions options_;
  std::mt19937 random_;
  uv_loop_t loop_;
  OwnershipRecords records_;
  std::vector<Machine> machines_;
  std::vector<OwnershipWorker> workers_;
  std::vector<WorkerEntry> entries_;
  std::vector<std::string> services_;
  std::shared_ptr<const FleetConfig> config_;
  Millis began_ms_;
  int next_id_ = 1;
  std::int64_t last_born_ms_ = 0;
  std::map<std::string, JobRecord> jobs_;
  Millis next_submit_ms_ = 0;
  Millis next_fault_ms_ = 0;
  // The worker that the next fault of a worker hits.
  int focus_ = 0;
  std::map<std::string, std::vector<DoneEnd>> done_ends_;
  std::map<std::string, std::vector<StartOf>> starts_of_;
  std::vector<PastFault> faults_;
  std::set<std::string> reported_;
  std::vector<std::string> violations_;
  int starts_ = 0;
  int elections_ = 0;
  bool is_finished_ = false;
  std::unique_ptr<RepeatingTimer> tick_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_TESTING_OWNERSHIP_WALK_STAND_IN_H_
