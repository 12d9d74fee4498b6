// The order of waiting steps: the dispatcher with one worker that has room for
// a single task, in real time.

#define BOOST_TEST_MODULE waiting_order
#include <fmt/format.h>
#include <uv.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/log.h"
#include "testing/simulated_store_stand_in.h"

namespace lentilscale::fleet {
namespace {

constexpr auto kWorker = "w-1";
constexpr auto kWorkerPrefix = "w/";
constexpr int kTaskCpuMilli = 1000;
constexpr Millis kPatienceMs = 10000;
constexpr Millis kAnswerMs = 2;
constexpr Millis kHoldCheckMs = 20;
// Several placement passes.
constexpr Millis kSomePassesMs = 500;
constexpr int kManySteps = 2500;
// A job of the first age is late and yields under the first objective, and is
// in time under the second.
constexpr Millis kAgeMs = 6000;
constexpr Millis kShortObjectiveMs = 5000;
constexpr Millis kLongObjectiveMs = 60000;

class Fleet : public SimulatedEvents,
              public WorkerGateway,
              public AdviceGateway {
 public:
  explicit Fleet(uv_loop_t* loop)
      : SimulatedEvents(loop, 1), loop_(loop), store_(this) {
    SetLogLevel(LogLevel::kError);
    Configure(kShortObjectiveMs);
    entry_.id_ = kWorker;
    entry_.incarnation_ = 1;
    entry_.service_ = "s";
    entry_.address_ = kWorker;
    entry_.capacity_ = {0, kTaskCpuMilli, 1000, 0};
    store_.Put(std::string(kWorkerPrefix) + kWorker, "{}");
    store_.Put(kEpochKey, "1");
    const auto revision = store_.Put(kOwnerKey, "1");
    DispatcherOptions options;
    options.worker_prefix_ = kWorkerPrefix;
    DispatcherHooks hooks;
    hooks.has_rights_ = [] { return true; };
    hooks.step_down_ = [](const std::string& reason) { BOOST_ERROR(reason); };
    hooks.config_ = [this] {
      ++config_reads_;
      return config_;
    };
    hooks.parse_worker_ = [this](const std::string&, const std::string&)
        -> absl::StatusOr<WorkerEntry> { return entry_; };
    dispatcher_ = std::make_unique<Dispatcher>(
        loop, &store_, this, &balancer_, &metrics_,
        OwnerClaim{1, revision, BootMs(), {}}, options, std::move(hooks));
    BOOST_REQUIRE(RunUntil([&] {
      return dispatcher_->CountQueuedJobs("q").has_value() &&
             dispatcher_->worker_count() == 1;
    }));
    // The only room is taken from here on.
    Submit("blocker", 0);
    BOOST_REQUIRE(RunUntil([&] { return !started_.empty(); }));
  }

  auto Configure(Millis objective_ms) -> void {
    auto config = std::make_shared<FleetConfig>();
    Queue queue;
    queue.name_ = "q";
    queue.service_ = "s";
    queue.max_attempts_ = 3;
    queue.stretch_ = 1;
    queue.target_ms_ = objective_ms;
    config->queues_.push_back(queue);
    config_ = std::move(config);
  }

  auto Submit(const std::string& id, Millis age_ms) -> void {
    JobRecord record;
    record.id_ = id;
    record.queue_ = "q";
    record.accepted_ms_ = WallMs() - age_ms;
    Step step;
    step.count_ = 1;
    step.demand_ = {0, kTaskCpuMilli, 100, 0};
    record.steps_.push_back(step);
    dispatcher_->AddJob(record, store_.Put(JobKey(id), "{}"));
  }

  // Ends what runs; returns the job that starts next.
  auto NextJob() -> std::string {
    const auto count = started_.size();
    ended_.push_back(
        {static_cast<std::int64_t>(count), started_.back(), RunEnd::kDone, ""});
    is_running_ = false;
    BOOST_REQUIRE(RunUntil([&] { return started_.size() > count; }));
    return TaskId::FromString(started_.back().task_)->job_;
  }

  auto RunFor(Millis ms) -> void {
    RunUntil([] { return false; }, ms);
  }

  auto waiting_count() const -> std::size_t {
    return dispatcher_->waiting_count();
  }
  auto config_reads() const -> int { return config_reads_; }

  auto Start(const WorkerEntry&, const StartOrder& order,
             OrderCallback callback) -> void override {
    started_.push_back(order.run_);
    is_running_ = true;
    Later(kAnswerMs, [sent_ms = BootMs(), callback = std::move(callback)] {
      callback({WorkerStatus::kOk, BootMs(), sent_ms});
    });
  }
  auto Stop(const WorkerEntry&, const RunRef&, std::int64_t, OrderCallback)
      -> void override {}
  auto Pace(const WorkerEntry&, const RunRef&, int, std::int64_t, OrderCallback)
      -> void override {}
  auto Hold(const WorkerEntry&, const HoldOrder& order, HoldCallback callback)
      -> void override {
    std::erase_if(ended_, [&](const EndedRun& end) {
      return end.number_ <= order.acknowledged_end_;
    });
    AnswerHold(BootMs(), BootMs() + order.wait_ms_, std::move(callback));
  }
  auto RequestAdvice(const std::string&, const std::vector<std::string>&,
                     Millis, Callback) -> void override {}

 private:
  auto AnswerHold(Millis sent_ms, Millis until_ms, HoldCallback callback)
      -> void {
    Later(ended_.empty() && BootMs() < until_ms ? kHoldCheckMs : kAnswerMs,
          [this, sent_ms, until_ms, callback = std::move(callback)] {
            if (ended_.empty() && BootMs() < until_ms) {
              AnswerHold(sent_ms, until_ms, callback);
              return;
            }
            HoldResult result;
            result.status_ = WorkerStatus::kOk;
            result.incarnation_ = entry_.incarnation_;
            result.worker_clock_ms_ = BootMs();
            result.sent_ms_ = sent_ms;
            result.ended_ = ended_;
            if (is_running_) {
              result.running_.push_back({started_.back(), "", 0, 0});
            }
            callback(result);
          });
  }

  template <typename Condition>
  auto RunUntil(Condition condition, Millis patience_ms = kPatienceMs) -> bool {
    const auto until = MonotonicMs() + patience_ms;
    while (!condition() && MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
    }
    return condition();
  }

  uv_loop_t* loop_;
  SimulatedStore store_;
  std::shared_ptr<const FleetConfig> config_;
  int config_reads_ = 0;
  WorkerEntry entry_;
  FleetMetrics metrics_;
  AdviceBalancer balancer_{
      this, [](const std::string&, const AdviceRequest&, Callback) {}};
  // All runs, in the order of their starts; the last one may be running.
  std::vector<RunRef> started_;
  bool is_running_ = false;
  std::vector<EndedRun> ended_;
  std::unique_ptr<Dispatcher> dispatcher_;
};

}  // namespace

// Guards against an order that is kept although the objectives on which it
// depends have changed.
BOOST_AUTO_TEST_CASE(a_changed_objective_changes_the_order_of_waiting_steps) {
  for (const auto is_changed : {false, true}) {
    Fleet fleet(uv_default_loop());
    fleet.Submit("old", kAgeMs);
    fleet.Submit("new", 0);
    fleet.RunFor(kSomePassesMs);
    if (is_changed) {
      fleet.Configure(kLongObjectiveMs);
    }
    // Under the short objective the old job is late and yields.
    BOOST_TEST(fleet.NextJob() == (is_changed ? "old" : "new"));
    BOOST_TEST(fleet.NextJob() == (is_changed ? "new" : "old"));
  }
}

// Guards against passes that look up the policy of each waiting step's queue.
BOOST_AUTO_TEST_CASE(passes_look_up_no_policy_for_each_waiting_step) {
  Fleet fleet(uv_default_loop());
  for (auto i = 0; i < kManySteps; ++i) {
    fleet.Submit(fmt::format("{:016x}", i), 0);
  }
  fleet.RunFor(kSomePassesMs);
  BOOST_TEST(fleet.waiting_count() == kManySteps);
  const auto reads = fleet.config_reads();
  fleet.RunFor(kSomePassesMs);
  BOOST_TEST(fleet.config_reads() > reads);
  // A single pass would read as many.
  BOOST_TEST(fleet.config_reads() - reads < kManySteps);
}

}  // namespace lentilscale::fleet
