// The users' platform in one process, for tests: store, workers and advice
// service speak the published protocol over HTTP on loopback.
//
// Workers run tasks as timers. A task's text says what it does:
//
//   "ms=200"            is done after 200 ms
//   "ms=50 fail=2"      fails its first two runs
//   "ms=0"              runs until it is stopped
//   "ms=100 gang=3"     works once three members of its run are there
//   "ms=200 crash=50"   crashes its worker after 50 ms
//   "only=2"            with fail or crash, means the tasks of index 2 alone
//
// What the workers see is judged here, independently of what the product
// claims; violations() lists each broken promise as a sentence.

#ifndef LENTILSCALE_TESTING_PLATFORM_EMULATOR_STAND_IN_H_
#define LENTILSCALE_TESTING_PLATFORM_EMULATOR_STAND_IN_H_

#include <json/json.h>
#include <uv.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/http_server.h"
#include "lentilscale/timer.h"

namespace lentilscale::testing {

// The platform's key-value store.
class EmulatedStore {
 public:
  enum class Mode { kUp, kRefusing, kSilent };

  explicit EmulatedStore(uv_loop_t* loop);

  auto address() const -> const std::string& { return address_; }
  auto SetMode(Mode mode) -> void { mode_ = mode; }
  // Opens another address for the same store, so that one instance can be
  // turned away while others are served. Returns its number.
  auto AddEntrance() -> std::size_t;
  auto entrance_address(std::size_t entrance) const -> const std::string& {
    return entrances_[entrance].address_;
  }
  auto SetEntranceRefusing(std::size_t entrance, bool is_refusing) -> void {
    SetEntranceMode(entrance, is_refusing ? Mode::kRefusing : Mode::kUp);
  }
  auto SetEntranceMode(std::size_t entrance, Mode mode) -> void {
    entrances_[entrance].mode_ = mode;
  }
  // The next `count` transactions are carried out and not answered.
  auto LoseAnswers(int count) -> void { answers_to_lose_ = count; }
  // The next `count` transactions are carried out `delay_ms` later and not
  // answered.
  auto CarryOutLate(int count, Millis delay_ms) -> void {
    late_transactions_ = count;
    late_ms_ = delay_ms;
  }
  // `hook` runs after each page of a range has been read, with its prefix.
  auto SetPageHook(std::function<void(const std::string&)> hook) -> void {
    page_hook_ = std::move(hook);
  }
  // While true, reads of the keys that begin with `prefix` are refused, and of
  // the key that is equal to it.
  auto SetRangeRefused(const std::string& prefix, bool is_refused) -> void {
    if (is_refused) {
      refused_ranges_.insert(prefix);
    } else {
      refused_ranges_.erase(prefix);
    }
  }
  // While true, no watch returns, whatever is written.
  auto SetWatchesDeaf(bool is_deaf) -> void { is_deaf_ = is_deaf; }
  // Forgets all history, so that watches must read anew.
  auto DropHistory() -> void;

  // Writes as the operator or a worker does, whatever the mode.
  auto Put(const std::string& key, const std::string& value) -> void;
  auto Remove(const std::string& key) -> void;
  // Returns true if there is a key that begins with `prefix`.
  auto HasPrefix(const std::string& prefix) const -> bool {
    const auto it = items_.lower_bound(prefix);
    return it != items_.end() && it->first.starts_with(prefix);
  }
  // Returns the value, or an empty text.
  auto Get(const std::string& key) const -> std::string;
  // Returns how many answers through the entrance carried the key's value.
  auto ValueAnswers(std::size_t entrance, const std::string& key) const -> int {
    const auto it = value_answers_.find({entrance, key});
    return it == value_answers_.end() ? 0 : it->second;
  }

 private:
  // Stands for the store's own address where an entrance is named.
  static constexpr std::size_t kNoEntrance = SIZE_MAX;

  struct Item {
    std::string value_;
    std::int64_t revision_ = 0;
    std::int64_t created_ = 0;
    std::int64_t lease_ = 0;
  };
  struct Change {
    std::int64_t revision_;
    std::string key_;
    bool is_removed_;
    Item item_;
  };
  struct Watcher {
    std::string prefix_;
    std::int64_t after_;
    Millis until_ms_;
    std::shared_ptr<HttpReply> reply_;
    std::size_t entrance_;
  };
  struct Lease {
    Millis ttl_ms_;
    Millis ends_ms_;
  };

  auto Handle(const HttpRequest& request,
              const std::shared_ptr<HttpReply>& reply, std::size_t entrance)
      -> void;
  auto HandleTransaction(const Json::Value& body,
                         const std::shared_ptr<HttpReply>& reply) -> void;
  // Returns the status and the answer.
  auto Apply(const Json::Value& body) -> std::pair<int, Json::Value>;
  auto Write(const std::string& key, const std::string& value,
             std::int64_t lease) -> void;
  auto Erase(const std::string& key) -> void;
  auto ItemToJson(const std::string& key, const Item& item) const
      -> Json::Value;
  auto AnswerWatchers() -> void;
  auto Tick() -> void;

  uv_loop_t* loop_;
  struct Entrance {
    std::string address_;
    Mode mode_ = Mode::kUp;
    std::unique_ptr<HttpServer> server_;
  };
  std::vector<Entrance> entrances_;
  std::string address_;
  Mode mode_ = Mode::kUp;
  bool is_deaf_ = false;
  int answers_to_lose_ = 0;
  int late_transactions_ = 0;
  Millis late_ms_ = 0;
  std::function<void(const std::string&)> page_hook_;
  std::set<std::string> refused_ranges_;
  // By entrance and key.
  std::map<std::pair<std::size_t, std::string>, int> value_answers_;
  std::int64_t revision_ = 1;
  std::int64_t first_kept_ = 1;
  std::int64_t next_lease_ = 100;
  std::map<std::string, Item> items_;
  std::vector<Change> changes_;
  std::vector<Watcher> watchers_;
  std::map<std::int64_t, Lease> leases_;
  // Requests that never get an answer.
  std::vector<std::shared_ptr<HttpReply>> unanswered_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<RepeatingTimer> tick_;
};

class PlatformEmulator;

// One worker.
class EmulatedWorker {
 public:
  EmulatedWorker(PlatformEmulator* platform, std::string id,
                 std::string service, std::int64_t cpu_milli,
                 std::int64_t accelerators);

  // Ends all that runs and forgets everything; answers again as a new life, to
  // which no connection of the former one leads.
  auto Restart() -> void;
  // Restarts once the next answer that lists ends has been sent.
  auto RestartAfterNextEnds() -> void { restarts_after_ends_ = true; }
  // Where a restart falls: the call isn't carried out, is carried out without
  // an answer, or has been answered.
  enum class RestartPoint { kBeforeCall, kBeforeAnswer, kAfterAnswer };
  // Restarts at the call with this number; the first one of the worker's is 1.
  auto RestartAtCall(int call, RestartPoint point) -> void {
    restart_call_ = call;
    restart_point_ = point;
  }
  // Returns how many calls have arrived, in all lives.
  auto calls() const -> int { return calls_; }
  // Ends as by a crash of its process: calls that wait fail.
  auto Crash() -> void;
  // A worker that has crashed answers nothing for `down_ms` and then restarts.
  auto SetCrashDownTime(Millis down_ms) -> void { down_ms_ = down_ms; }
  // Answers nothing and writes no entry, but runs on.
  auto SetCut(bool is_cut) -> void { is_cut_ = is_cut; }
  auto SetDraining() -> void { is_draining_ = true; }
  // The entry names the zone one heartbeat later.
  auto SetZone(const std::string& zone) -> void { zone_ = zone; }
  // Leaves the next `count` starts unanswered and carries them out later.
  auto CarryOutStartsLate(int count, Millis delay_ms) -> void {
    late_starts_ = count;
    late_ms_ = delay_ms;
  }
  // Carries out the next `count` starts without an answer.
  auto LoseStartAnswers(int count) -> void { answers_to_lose_ = count; }
  // Neither carries out nor answers the next `count` starts.
  auto LoseStarts(int count) -> void { starts_to_lose_ = count; }
  // Handles requests at once, but sends each answer made from now on `delay_ms`
  // later than it was made. An answer that is already late is not hurried.
  auto DelayAnswers(Millis delay_ms) -> void { answer_delay_ms_ = delay_ms; }
  // The same for the answers to starts and stops alone.
  auto DelayOrderAnswers(Millis delay_ms) -> void {
    order_answer_delay_ms_ = delay_ms;
  }
  // Carries out the next `count` stops without an answer.
  auto LoseStopAnswers(int count) -> void { stop_answers_to_lose_ = count; }
  // Neither carries out nor answers the next `count` stops.
  auto LoseStops(int count) -> void { stops_to_lose_ = count; }
  // Stops take this long from now on.
  auto SetStopDuration(Millis ms) -> void { stop_ms_ = ms; }
  // Changes the capacity; the entry shows it one heartbeat later.
  auto SetCapacity(std::int64_t cpu_milli, std::int64_t accelerators) -> void;
  // All that is started from now on fails.
  auto SetFailing(bool is_failing) -> void { is_failing_ = is_failing; }

  auto id() const -> const std::string& { return id_; }
  auto running_count() const -> std::size_t { return running_.size(); }
  // Returns true if the present life has ended or stopped a run of the task.
  auto HasClosed(const std::string& task) const -> bool {
    return closed_runs_.contains(task);
  }
  // Returns how many lives have begun.
  auto lives() const -> int { return lives_; }

 private:
  friend class PlatformEmulator;
  struct Run {
    std::int64_t run_;
    std::int64_t cpu_milli_;
    std::int64_t accelerators_;
    Millis work_ms_;
    // 0 while a gang waits for its members.
    Millis begun_ms_;
    Millis arrived_ms_;
    int gang_;
    bool fails_;
    // Time from the start until the run crashes its worker; 0 if it does not.
    Millis crash_ms_;
    // When a stop ends the run; 0 until it is stopped.
    Millis stopped_at_ms_ = 0;
  };
  // A larger capacity of before, and until when starts may rely on it.
  struct FormerCapacity {
    std::int64_t cpu_milli_;
    std::int64_t accelerators_;
    Millis until_ms_;
  };
  struct End {
    std::int64_t number_;
    std::string task_;
    std::int64_t run_;
    std::string how_;
  };

  // Closes the former life's connections and listens at the same address.
  auto ListenAnew() -> void;
  auto Handle(const HttpRequest& request,
              const std::shared_ptr<HttpReply>& reply) -> void;
  auto HandleStart(const Json::Value& body) -> std::pair<int, Json::Value>;
  auto HandleStop(const Json::Value& body) -> std::pair<int, Json::Value>;
  auto HandleHold(const Json::Value& body,
                  const std::shared_ptr<HttpReply>& reply, bool restarts)
      -> void;
  // Restarts once the call that is being handled has returned.
  auto RestartSoon() -> void;
  auto Lists(std::int64_t last_seen) const -> Json::Value;
  auto SendAnswer(const std::shared_ptr<HttpReply>& reply, int status,
                  const std::string& body, Millis delay_ms) -> void;
  auto EndRun(const std::string& task, const std::string& how) -> void;
  // Returns true if starts may bring the worker to these sums.
  auto MayHold(std::int64_t cpu_milli, std::int64_t accelerators,
               Millis now_ms) const -> bool;
  auto ForgetEnds() -> void;
  auto Tick(Millis now_ms) -> void;
  auto ClockMs() const -> Millis;
  auto WriteEntry() -> void;

  PlatformEmulator* platform_;
  std::string id_;
  std::string service_;
  std::string address_;
  std::int64_t cpu_milli_;
  std::int64_t accelerators_;
  std::vector<FormerCapacity> former_capacities_;
  std::int64_t born_ms_ = 0;
  Millis started_ms_ = 0;
  bool is_cut_ = false;
  bool is_draining_ = false;
  std::string zone_ = "here";
  bool is_failing_ = false;
  Millis down_ms_ = 0;
  // Until when the worker is down after a crash; 0 if it is not.
  Millis down_until_ms_ = 0;
  int late_starts_ = 0;
  Millis late_ms_ = 0;
  int answers_to_lose_ = 0;
  int starts_to_lose_ = 0;
  Millis answer_delay_ms_ = 0;
  Millis order_answer_delay_ms_ = 0;
  int stop_answers_to_lose_ = 0;
  int stops_to_lose_ = 0;
  Millis stop_ms_ = 0;
  std::int64_t token_ = 0;
  Millis deadline_ms_ = 0;
  std::int64_t next_end_ = 1;
  std::int64_t entry_number_ = 0;
  Millis next_entry_ms_ = 0;
  // 0 once the entry has expired.
  Millis last_entry_ms_ = 0;
  std::map<std::string, Run> running_;
  std::vector<End> ended_;
  // The highest run that was stopped or ended, by task.
  std::map<std::string, std::int64_t> closed_runs_;
  struct Waiting {
    std::int64_t last_seen_;
    Millis until_ms_;
    std::shared_ptr<HttpReply> reply_;
    // True if the worker restarts once it has answered.
    bool restarts_;
  };
  std::vector<Waiting> waiting_;
  struct LateAnswer {
    Millis due_ms_;
    int status_;
    std::string body_;
    std::shared_ptr<HttpReply> reply_;
  };
  std::vector<LateAnswer> late_answers_;
  std::vector<std::shared_ptr<HttpReply>> unanswered_;
  bool restarts_after_ends_ = false;
  int calls_ = 0;
  // 0 if no restart is due at a call.
  int restart_call_ = 0;
  RestartPoint restart_point_ = RestartPoint::kBeforeCall;
  int lives_ = 0;
  std::unique_ptr<HttpServer> server_;
  // Those of former lives.
  std::vector<std::unique_ptr<HttpServer>> ended_servers_;
};

// Store, workers and advice service together, with the judge.
class PlatformEmulator {
 public:
  explicit PlatformEmulator(uv_loop_t* loop);

  auto store() -> EmulatedStore& { return store_; }
  auto advice_address() const -> const std::string& { return advice_address_; }
  auto AddWorker(const std::string& id, const std::string& service,
                 std::int64_t cpu_milli, std::int64_t accelerators)
      -> EmulatedWorker&;
  auto worker(const std::string& id) -> EmulatedWorker& {
    return *workers_.at(id);
  }
  // Workers write their entries this often from now on. The entry of a worker
  // that is cut off expires after three times as long.
  auto SetHeartbeat(Millis ms) -> void {
    heartbeat_ms_ = ms;
    entry_ttl_ms_ = 3 * ms;
  }
  // The job's tasks last: they may be started however many workers they have
  // crashed.
  auto AddLastingJob(const std::string& job) -> void {
    lasting_jobs_.insert(job);
  }
  // Registers what a task takes, by the job's id; starts are judged by it.
  auto SetDemand(const std::string& job, std::int64_t cpu_milli,
                 std::int64_t accelerators) -> void {
    demands_[job] = {cpu_milli, accelerators};
  }
  // Workers that the advice service allows; all, if none are named.
  auto SetAllowed(std::set<std::string> ids) -> void {
    allowed_ = std::move(ids);
  }

  auto violations() const -> const std::vector<std::string>& {
    return violations_;
  }
  auto starts() const -> int { return starts_; }
  auto StartsOf(const std::string& job) const -> int;
  auto StartsOfTask(const std::string& task) const -> int;
  // Returns how many tasks are done, of the job or of all jobs.
  auto DoneOf(const std::string& job) const -> int;
  auto done_count() const -> int { return static_cast<int>(done_.size()); }
  // Returns how many workers the job's tasks have crashed.
  auto CrashesOf(const std::string& job) const -> int;
  // Returns the highest number of workers that ran, at the same time, tasks
  // that had crashed more than one worker before.
  auto max_suspect_workers() const -> int { return max_suspect_workers_; }
  // Returns the number of the job's runs that are going on now.
  auto RunningOf(const std::string& job) const -> int;

 private:
  friend class EmulatedWorker;
  auto HandleAdvice(const HttpRequest& request,
                    const std::shared_ptr<HttpReply>& reply) -> void;
  auto JudgeStart(EmulatedWorker& worker, const std::string& task) -> void;
  // Judges a start of a task that has crashed workers.
  auto JudgeCrashes(const std::string& task) -> void;
  auto Tick() -> void;

  uv_loop_t* loop_;
  EmulatedStore store_;
  Millis heartbeat_ms_ = 300;
  // 0 if entries do not expire.
  Millis entry_ttl_ms_ = 0;
  std::string advice_address_;
  std::map<std::string, std::unique_ptr<EmulatedWorker>> workers_;
  std::map<std::string, std::pair<std::int64_t, std::int64_t>> demands_;
  std::set<std::string> allowed_;
  std::set<std::string> done_;
  std::map<std::string, int> failures_;
  std::map<std::string, int> crashes_;
  // Starts of a task after it has crashed kMaxCrashes workers.
  std::map<std::string, int> starts_after_crashes_;
  std::set<std::string> lasting_jobs_;
  std::map<std::string, int> starts_by_task_;
  int max_suspect_workers_ = 0;
  std::map<std::string, int> starts_by_job_;
  std::vector<std::string> violations_;
  int starts_ = 0;
  std::unique_ptr<HttpServer> advice_server_;
  std::unique_ptr<RepeatingTimer> tick_;
};

}  // namespace lentilscale::testing

#endif  // LENTILSCALE_TESTING_PLATFORM_EMULATOR_STAND_IN_H_
