// Measures what a start costs the dispatcher by itself, at different numbers of
// waiting steps: the dispatcher and the balancer of advice in real time, with
// models of the store, the workers and the advice service in the same thread.
//
//   dispatcher_benchmark [SECONDS [CALL_US [WAITING...]]]
//
// Prints a row for each number of waiting steps (0, 500, 2500 and 5000 unless
// given), measured for SECONDS after a time to settle:
//
//   waiting   waiting steps on average
//   starts/s  starts a second of the thread's processor time
//   us/start  processor time of a start in all but the models, and its parts:
//   pass      placement passes, ticks and the event loop
//   answers   answers to starts
//   holds     answers to Hold calls, with the ends that they report
//   advice    answers to calls for advice
//   store     answers of the store
//   lengths   calls for a queue's length
//
// Each call to a worker takes CALL_US microseconds of the thread, as calls over
// HTTP do. A row for which nothing waits has jobs for 1,300 starts a second.
// Besides those that run, the dispatcher knows 4,000 jobs that have ended, and
// is asked 66 times a second for a queue's length.

#include <fmt/format.h>
#include <time.h>
#include <uv.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/clock.h"
#include "lentilscale/log.h"
#include "testing/simulated_store_stand_in.h"

namespace lentilscale::fleet {
namespace {

constexpr auto kWorkerPrefix = "w/";
constexpr int kServingWorkers = 792;
constexpr int kBatchWorkers = 308;
constexpr int kInstances = 147;
constexpr int kTasksPerStep = 13;
// One job in this many is of the batch queue.
constexpr int kBatchJobDivisor = 20;
constexpr double kJobsPerS = 100;
constexpr int kEndedJobs = 4000;
constexpr double kLengthCallsPerS = 66;
constexpr Millis kWorkMs = 300;
constexpr Millis kTickMs = 5;
constexpr Millis kBeatMs = 500;
constexpr Millis kSettleMs = 3000;
constexpr Millis kTicketMs = 2000;
constexpr AdvicePolicy kAdvice{16, 0.2, kTicketMs};
// One worker in this many is not allowed for a step.
constexpr std::uint64_t kRefusedDivisor = 3;
constexpr double kUsPerS = 1e6;
constexpr double kMsPerS = 1000;
constexpr double kNsPerUs = 1000;

enum class Part { kPass, kAnswers, kHolds, kAdvice, kStore, kLengths, kModel };
constexpr std::size_t kParts = 7;
// The parts that are charged to the dispatcher.
constexpr std::array<Part, kParts - 1> kOwnParts = {
    Part::kPass,   Part::kAnswers, Part::kHolds,
    Part::kAdvice, Part::kStore,   Part::kLengths};

auto ThreadCpuNs() -> std::int64_t {
  timespec now;
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return now.tv_sec * 1000000000LL + now.tv_nsec;
}

// Divides the thread's processor time among the parts.
class PartTimes {
 public:
  // Returns the part to which time was charged so far.
  auto Enter(Part part) -> Part {
    const auto now = ThreadCpuNs();
    ns_.at(static_cast<std::size_t>(part_)) += now - since_ns_;
    since_ns_ = now;
    return std::exchange(part_, part);
  }
  auto Us(Part part) const -> double {
    return static_cast<double>(ns_.at(static_cast<std::size_t>(part))) /
           kNsPerUs;
  }
  auto Clear() -> void {
    Enter(part_);
    ns_.fill(0);
  }

 private:
  std::array<std::int64_t, kParts> ns_ = {};
  std::int64_t since_ns_ = ThreadCpuNs();
  Part part_ = Part::kPass;
};

class Charged {
 public:
  Charged(PartTimes* times, Part part)
      : times_(times), former_(times->Enter(part)) {}
  ~Charged() { times_->Enter(former_); }
  Charged(const Charged&) = delete;
  auto operator=(const Charged&) -> Charged& = delete;

 private:
  PartTimes* times_;
  Part former_;
};

// Charges its calls to the models, and their answers to the dispatcher.
class ChargedStore : public SimulatedStore {
 public:
  ChargedStore(SimulatedEvents* events, PartTimes* times)
      : SimulatedStore(events), times_(times) {}

  auto Read(const std::string& key, ReadCallback callback) -> void override {
    SimulatedStore::Read(key, Wrap(std::move(callback)));
  }
  auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void override {
    SimulatedStore::ReadPrefix(prefix, Wrap(std::move(callback)));
  }
  // The dispatcher gets its jobs from AddJob.
  auto Watch(const std::string&, std::int64_t, Millis, ReadCallback)
      -> void override {}
  auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void override {
    const Charged charged(times_, Part::kModel);
    SimulatedStore::Commit(transaction, Wrap(std::move(callback)));
  }

 private:
  template <typename Callback>
  auto Wrap(Callback callback) -> Callback {
    return [this, callback = std::move(callback)](const auto& result) {
      const Charged charged(times_, Part::kStore);
      callback(result);
    };
  }

  PartTimes* times_;
};

class Benchmark : public SimulatedEvents,
                  public WorkerGateway,
                  public AdviceGateway {
 public:
  Benchmark(uv_loop_t* loop, std::size_t waiting, int call_us)
      : SimulatedEvents(loop, 1),
        loop_(loop),
        waiting_(waiting),
        call_us_(call_us),
        store_(this, &times_),
        config_(std::make_shared<FleetConfig>()) {
    AddQueue("urgent", "s", 0, 300);
    AddQueue("batch", "t", 2, 3000);
    AddWorkers("s", kServingWorkers);
    AddWorkers("t", kBatchWorkers);
    store_.Put(kEpochKey, "1");
    const auto revision = store_.Put(kOwnerKey, "1");
    balancer_ = std::make_unique<AdviceBalancer>(
        this, [this](const std::string&, const AdviceRequest& request,
                     AdviceGateway::Callback callback) {
          RequestAdvice(request.step_name_, request.worker_ids_, 0,
                        std::move(callback));
        });
    DispatcherOptions options;
    options.worker_prefix_ = kWorkerPrefix;
    DispatcherHooks hooks;
    hooks.has_rights_ = [] { return true; };
    hooks.step_down_ = [](const std::string& reason) {
      fmt::print("the owner steps down: {}\n", reason);
    };
    hooks.config_ = [this] { return config_; };
    hooks.parse_worker_ =
        [this](const std::string&,
               const std::string& text) -> absl::StatusOr<WorkerEntry> {
      return workers_[static_cast<std::size_t>(std::stoi(text))].entry_;
    };
    dispatcher_ = std::make_unique<Dispatcher>(
        loop, &store_, this, balancer_.get(), &metrics_,
        OwnerClaim{1, revision, BootMs(), {}}, options, std::move(hooks));
    began_ms_ = BootMs() + kSettleMs;
    tick_ = std::make_unique<RepeatingTimer>(loop, kTickMs, [this] {
      const Charged charged(&times_, Part::kModel);
      OnTick();
    });
  }

  auto Run(int seconds) -> void {
    RunFor(kSettleMs);
    RunFor(kSettleMs);
    times_.Clear();
    starts_ = 0;
    waiting_sum_ = 0;
    ticks_ = 0;
    RunFor(static_cast<Millis>(seconds * kMsPerS));
    times_.Enter(Part::kModel);
    const auto starts = static_cast<double>(std::max(1, starts_));
    auto own_us = 0.0;
    for (const auto part : kOwnParts) {
      own_us += times_.Us(part);
    }
    fmt::print("{:8} {:8.0f} {:9.0f} {:9.1f}", waiting_,
               waiting_sum_ / std::max(1, ticks_),
               starts * kUsPerS / (own_us + times_.Us(Part::kModel)),
               own_us / starts);
    for (const auto part : kOwnParts) {
      fmt::print(" {:8.1f}", times_.Us(part) / starts);
    }
    fmt::print("\n");
    std::fflush(stdout);
  }

  auto Start(const WorkerEntry& worker, const StartOrder& order,
             OrderCallback callback) -> void override {
    const Charged charged(&times_, Part::kModel);
    ++starts_;
    Spend();
    Later(Between(2, 18), [this, id = worker.id_, ref = order.run_,
                           sent_ms = BootMs(), callback = std::move(callback)] {
      const Charged model(&times_, Part::kModel);
      auto& target = Find(id);
      target.running_.push_back(ref);
      Later(kWorkMs, [this, id, ref] {
        const Charged ending(&times_, Part::kModel);
        EndRun(Find(id), ref);
      });
      const Charged answer(&times_, Part::kAnswers);
      callback({WorkerStatus::kOk, BootMs(), sent_ms});
    });
  }
  auto Stop(const WorkerEntry&, const RunRef&, std::int64_t, OrderCallback)
      -> void override {}
  auto Pace(const WorkerEntry&, const RunRef&, int, std::int64_t, OrderCallback)
      -> void override {}

  auto Hold(const WorkerEntry& worker, const HoldOrder& order,
            HoldCallback callback) -> void override {
    const Charged charged(&times_, Part::kModel);
    Spend();
    auto& target = Find(worker.id_);
    std::erase_if(target.ended_, [&](const EndedRun& end) {
      return end.number_ <= order.acknowledged_end_;
    });
    target.hold_callback_ = std::move(callback);
    target.hold_sent_ms_ = BootMs();
    target.hold_ends_ms_ = BootMs() + order.wait_ms_;
    if (!target.ended_.empty() || order.wait_ms_ == 0) {
      AnswerHold(target);
    }
  }

  auto RequestAdvice(const std::string& step,
                     const std::vector<std::string>& workers, Millis,
                     Callback callback) -> void override {
    const Charged charged(&times_, Part::kModel);
    AdviceResult result;
    result.is_answered_ = true;
    result.valid_ms_ = kTicketMs;
    for (const auto& id : workers) {
      if (std::hash<std::string>()(step + id) % kRefusedDivisor != 0) {
        result.tickets_.push_back({id, "ticket"});
      }
    }
    const auto cost_ms = AdviceCallMs(kAdvice, workers.size()) + Between(4, 34);
    Later(cost_ms, [this, result, callback = std::move(callback)] {
      const Charged answer(&times_, Part::kAdvice);
      callback(result);
    });
  }

 private:
  struct ModelWorker {
    WorkerEntry entry_;
    std::vector<RunRef> running_;
    std::vector<EndedRun> ended_;
    std::int64_t next_end_ = 1;
    // The Hold call that waits for an end.
    HoldCallback hold_callback_;
    Millis hold_sent_ms_ = 0;
    Millis hold_ends_ms_ = 0;
  };

  auto AddQueue(const std::string& name, const std::string& service,
                int priority, Millis target_ms) -> void {
    Queue queue;
    queue.name_ = name;
    queue.service_ = service;
    queue.priority_ = priority;
    queue.max_attempts_ = 4;
    queue.stretch_ = 2;
    queue.target_ms_ = target_ms;
    queue.advice_ = kAdvice;
    config_->queues_.push_back(queue);
  }

  auto AddWorkers(const std::string& service, int count) -> void {
    for (auto i = 0; i < count; ++i) {
      const auto number = workers_.size();
      auto& worker = workers_.emplace_back();
      worker.entry_.id_ = fmt::format("w-{:04}", number);
      worker.entry_.incarnation_ = 1;
      worker.entry_.service_ = service;
      worker.entry_.address_ = worker.entry_.id_;
      worker.entry_.capacity_ = {0, 16000, 32768, 0};
      worker.entry_.labels_ = {"zone-a", "rack-1", "std"};
      store_.Put(kWorkerPrefix + worker.entry_.id_, std::to_string(number));
    }
  }

  auto Find(const std::string& id) -> ModelWorker& {
    return workers_.at(static_cast<std::size_t>(std::stoi(id.substr(2))));
  }

  auto Spend() const -> void {
    const auto end_ns = ThreadCpuNs() + call_us_ * 1000LL;
    while (ThreadCpuNs() < end_ns) {
    }
  }

  auto EndRun(ModelWorker& worker, const RunRef& ref) -> void {
    std::erase_if(worker.running_, [&](const RunRef& run) {
      return run.task_ == ref.task_ && run.run_ == ref.run_;
    });
    worker.ended_.push_back({worker.next_end_++, ref, RunEnd::kDone, ""});
    AnswerHold(worker);
  }

  auto AnswerHold(ModelWorker& worker) -> void {
    if (!worker.hold_callback_) {
      return;
    }
    HoldResult result;
    result.status_ = WorkerStatus::kOk;
    result.incarnation_ = worker.entry_.incarnation_;
    result.worker_clock_ms_ = BootMs();
    result.sent_ms_ = worker.hold_sent_ms_;
    result.ended_ = worker.ended_;
    for (const auto& run : worker.running_) {
      result.running_.push_back({run, "", 0, 0});
    }
    Later(Between(1, 9),
          [this, callback = std::exchange(worker.hold_callback_, nullptr),
           result] {
            const Charged answer(&times_, Part::kHolds);
            callback(result);
          });
  }

  // Returns the id of the new job.
  auto Submit() -> std::string {
    JobRecord record;
    const auto number = ++submitted_;
    record.id_ = fmt::format("{:016x}", number * 0x9e3779b97f4a7c15ULL);
    record.queue_ = number % kBatchJobDivisor == 0 ? "batch" : "urgent";
    record.spec_ = "ms=300";
    record.accepted_ms_ = WallMs();
    Step step;
    step.count_ = kTasksPerStep;
    step.demand_ = {0, 1000, 100, 0};
    step.estimate_ms_ = kWorkMs;
    record.steps_.push_back(step);
    const auto revision = store_.Put(JobKey(record.id_), "{}");
    // A job is charged like the store's answer that would deliver it.
    const Charged charged(&times_, Part::kStore);
    dispatcher_->AddJob(record, revision);
    return record.id_;
  }

  auto AddEndedJobs() -> void {
    for (auto i = 0; i < kEndedJobs; ++i) {
      dispatcher_->CancelJob(Submit());
    }
  }

  auto AskForLengths(Millis elapsed_ms) -> void {
    due_length_calls_ +=
        kLengthCallsPerS * static_cast<double>(elapsed_ms) / kMsPerS;
    const Charged charged(&times_, Part::kLengths);
    for (; due_length_calls_ >= 1; due_length_calls_ -= 1) {
      dispatcher_->CountQueuedJobs("urgent");
    }
  }

  auto OnTick() -> void {
    const auto now = BootMs();
    if (now >= next_beat_ms_) {
      next_beat_ms_ = now + kBeatMs;
      for (auto i = 1; i < kInstances; ++i) {
        balancer_->MarkInstanceLive(std::to_string(i), now);
      }
    }
    for (auto& worker : workers_) {
      if (worker.hold_callback_ && now >= worker.hold_ends_ms_) {
        AnswerHold(worker);
      }
    }
    if (now < began_ms_) {
      return;
    }
    if (submitted_ == 0) {
      AddEndedJobs();
    }
    AskForLengths(now - last_tick_ms_);
    waiting_sum_ += static_cast<double>(dispatcher_->waiting_count());
    ++ticks_;
    due_jobs_ +=
        waiting_ == 0
            ? kJobsPerS * static_cast<double>(now - last_tick_ms_) / kMsPerS
            : 0;
    last_tick_ms_ = now;
    for (; due_jobs_ >= 1; due_jobs_ -= 1) {
      Submit();
    }
    while (dispatcher_->waiting_count() < waiting_) {
      Submit();
    }
  }

  auto RunFor(Millis ms) -> void {
    const auto until = MonotonicMs() + ms;
    while (MonotonicMs() < until) {
      uv_run(loop_, UV_RUN_ONCE);
    }
  }

  uv_loop_t* loop_;
  std::size_t waiting_;
  int call_us_;
  PartTimes times_;
  ChargedStore store_;
  std::shared_ptr<FleetConfig> config_;
  FleetMetrics metrics_;
  std::vector<ModelWorker> workers_;
  std::unique_ptr<AdviceBalancer> balancer_;
  std::unique_ptr<Dispatcher> dispatcher_;
  Millis began_ms_ = 0;
  Millis last_tick_ms_ = BootMs() + kSettleMs;
  Millis next_beat_ms_ = 0;
  double due_jobs_ = 0;
  double due_length_calls_ = 0;
  std::uint64_t submitted_ = 0;
  int starts_ = 0;
  double waiting_sum_ = 0;
  int ticks_ = 0;
  std::unique_ptr<RepeatingTimer> tick_;
};

}  // namespace
}  // namespace lentilscale::fleet

auto main(int argc, char** argv) -> int {
  lentilscale::SetLogLevel(lentilscale::LogLevel::kError);
  const auto seconds = argc > 1 ? std::stoi(argv[1]) : 4;
  const auto call_us = argc > 2 ? std::stoi(argv[2]) : 100;
  std::vector<std::size_t> rows;
  for (auto i = 3; i < argc; ++i) {
    rows.push_back(std::stoul(argv[i]));
  }
  if (rows.empty()) {
    rows = {0, 500, 2500, 5000};
  }
  fmt::print("{:>8} {:>8} {:>9} {:>9} {:>8} {:>8} {:>8} {:>8} {:>8} {:>8}\n",
             "kept", "waiting", "starts/s", "us/start", "pass", "answers",
             "holds", "advice", "store", "lengths");
  for (const auto waiting : rows) {
    uv_loop_t loop;
    uv_loop_init(&loop);
    {
      lentilscale::fleet::Benchmark benchmark(&loop, waiting, call_us);
      benchmark.Run(seconds);
    }
    uv_run(&loop, UV_RUN_NOWAIT);
  }
  return 0;
}
