// judge reads the stand-ins' own records and names every broken promise.
//
//   judge --workers=workers.jsonl --platform=platform.jsonl --load=load.jsonl
//
// It asks nothing of the product and believes nothing it says, but for the
// outcomes that the load received. It prints one JSON object with a count and
// examples per promise, and exits 1 if anything was broken.

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <algorithm>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/command_line.h"
#include "lentilscale/configuration.h"
#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/resources.h"

ABSL_FLAG(std::string, workers, "", "record of fake_workers");
ABSL_FLAG(std::string, platform, "", "record of fake_platform");
ABSL_FLAG(std::string, load, "", "record of lentilload");
ABSL_FLAG(int, force_ms, 7000, "time until a ticket must be in force");
ABSL_FLAG(int, withdraw_ms, 3000, "time until a withdrawn key must not work");
ABSL_FLAG(int, leave_ms, 3000, "time until a leaving worker gets no work");
ABSL_FLAG(int, lapse_ms, 7000,
          "session of 10 s less a renewal of 2 s and a timeout of 1 s");
ABSL_FLAG(bool, graceful, false, "no process was killed: cut requests count");

namespace lentilscale {
namespace {

using Events = std::vector<Json::Value>;

constexpr std::size_t kMaxExamples = 3;

auto ReadEvents(const std::string& path) -> Events {
  Events out;
  std::ifstream file(path);
  for (std::string line; std::getline(file, line);) {
    try {
      out.push_back(ParseJson(line));
    } catch (const Error&) {
      // The last line of a killed process may be cut.
    }
  }
  return out;
}

class Judge {
 public:
  auto Run() -> int {
    workers_ = ReadEvents(absl::GetFlag(FLAGS_workers));
    platform_ = ReadEvents(absl::GetFlag(FLAGS_platform));
    load_ = ReadEvents(absl::GetFlag(FLAGS_load));
    ReadTickets();
    ReadCapacities();
    CheckWorkers();
    CheckLimits();
    CheckLeaving();
    CheckLoad();
    CheckTickets();
    return Print();
  }

 private:
  struct LimitChange {
    Millis at_ms_;
    std::int64_t limit_;
  };

  auto Break(const std::string& promise, const std::string& example) -> void {
    auto& examples = broken_[promise];
    ++counts_[promise];
    if (examples.size() < kMaxExamples) {
      examples.push_back(example);
    }
  }

  // The operators' tickets as the store took them.
  auto ReadTickets() -> void {
    for (const auto& event : platform_) {
      for (const auto& put : event["puts"]) {
        if (put["key"].asString() != "/lentilscale/state/head") {
          continue;
        }
        const auto head = ParseJson(put["value"].asString())["configuration"];
        const auto at = event["t_ms"].asInt64();
        for (const auto& team : head["teams"].getMemberNames()) {
          limits_[team].push_back({at, head["teams"][team]["limit"].asInt64()});
          for (const auto& key : head["teams"][team]["keys"]) {
            key_seen_[key["sha256"].asString()] = at;
          }
        }
        last_ticket_ms_ = at;
      }
    }
  }

  auto ReadCapacities() -> void {
    for (const auto& event : platform_) {
      for (const auto& instance : event["instances"]) {
        capacities_[instance["id"].asString()] =
            Resources::FromJson(instance["capacity"], 0);
      }
    }
  }

  static auto RequestOf(const Json::Value& event) -> std::string {
    return event["work"]["request_id"].asString();
  }

  // Double runs, tasks in two places, overfilled workers.
  auto CheckWorkers() -> void {
    std::map<std::string, std::string> ran;
    std::map<std::string, std::string> places;
    std::map<std::string, std::map<std::string, Resources>> on_worker;
    for (const auto& event : workers_) {
      const auto what = event["event"].asString();
      if (what == "ack") {
        NoteAck(event["worker"].asString() + " " + event["key"].asString());
      }
      if (what != "start" && what != "end") {
        continue;
      }
      const auto worker = event["worker"].asString();
      const auto key = event["key"].asString();
      const auto task = TaskOf(event);
      if (what == "end") {
        on_worker[worker].erase(key);
        if (places[task] == worker + " " + key) {
          places.erase(task);
        }
        if (event["detail"] == "ok" && !task.empty()) {
          CheckTaskEnd(event, task);
        }
        continue;
      }
      const auto request = RequestOf(event);
      if (request.starts_with("n-")) {
        const auto [it, is_new] = ran.emplace(request, worker + " " + key);
        if (!is_new) {
          Break("double_run",
                request + ": " + it->second + " and " + worker + " " + key);
        }
      }
      if (!task.empty()) {
        NoteTaskStart(event, task);
        const auto place = worker + " " + key;
        const auto [it, is_new] = places.emplace(task, place);
        if (!is_new && it->second != place) {
          Break("two_places", task + ": " + it->second + " and " + place);
          it->second = place;
        }
      }
      on_worker[worker][key] = Resources::FromJson(event["need"], 1);
      CheckRoom(worker, on_worker[worker]);
      started_.insert(request);
      CheckTeam(event, request);
    }
  }

  auto CheckRoom(const std::string& worker,
                 const std::map<std::string, Resources>& tasks) -> void {
    Resources used;
    for (const auto& [key, need] : tasks) {
      used += need;
    }
    const auto it = capacities_.find(worker);
    if (it != capacities_.end() && !used.FitsIn(it->second)) {
      Break("overfilled", worker);
    }
  }

  static auto TaskOf(const Json::Value& event) -> std::string {
    const auto& ref = event["tag"]["ref"];
    return ref.isObject() ? fmt::format("{}/{}", ref["job"].asString(),
                                        ref["index"].asInt64())
                          : "";
  }

  // A task that has succeeded must not be started again once its success was
  // acknowledged. If its worker could not be reached, it may be started again
  // when the session on that worker must have lapsed: the owner's last answer
  // from the worker is at most a renewal and a timeout older than the start.
  struct Success {
    std::string place_;
    Millis started_ms_ = 0;
    bool is_acknowledged_ = false;
  };

  auto CheckTaskEnd(const Json::Value& event, const std::string& task) -> void {
    constexpr auto kServiceLane = 2;
    if (event["tag"]["lane"].asInt() != kServiceLane) {
      const auto place =
          event["worker"].asString() + " " + event["key"].asString();
      successes_[task] = {place, task_starts_[place], false};
      task_of_place_[place] = task;
    }
  }

  auto NoteAck(const std::string& place) -> void {
    const auto it = task_of_place_.find(place);
    if (it != task_of_place_.end() && successes_[it->second].place_ == place) {
      successes_[it->second].is_acknowledged_ = true;
    }
  }

  auto NoteTaskStart(const Json::Value& event, const std::string& task)
      -> void {
    const auto at = event["t_ms"].asInt64();
    const auto place =
        event["worker"].asString() + " " + event["key"].asString();
    task_starts_[place] = at;
    const auto it = successes_.find(task);
    if (it == successes_.end()) {
      return;
    }
    const auto has_lapsed =
        at >= it->second.started_ms_ + absl::GetFlag(FLAGS_lapse_ms);
    if (it->second.is_acknowledged_ || !has_lapsed) {
      Break("task_done_twice", task + ": " + it->second.place_ + ", " + place);
    }
  }

  auto CheckTeam(const Json::Value& event, const std::string& request) -> void {
    const auto team = event["tag"]["team"].asString();
    const auto first = request.find('-');
    if (request.size() < 3 || first != 1) {
      return;
    }
    if (request.compare(2, team.size() + 1, team + "-") != 0) {
      Break("wrong_team", request + " ran for " + team);
    }
  }

  auto LimitAt(const std::string& team, Millis at) const -> std::int64_t {
    // A lowered limit binds when it must be in force; until then the larger
    // one does.
    std::int64_t limit = -1;
    const auto it = limits_.find(team);
    if (it == limits_.end()) {
      return INT64_MAX;
    }
    for (std::size_t i = 0; i < it->second.size(); ++i) {
      const auto& change = it->second[i];
      const auto is_last_in_force =
          change.at_ms_ + absl::GetFlag(FLAGS_force_ms) <= at;
      if (is_last_in_force) {
        limit = change.limit_;
      } else if (change.at_ms_ <= at) {
        limit = std::max(limit, change.limit_);
      }
    }
    return limit < 0 ? INT64_MAX : limit;
  }

  auto CheckLimits() -> void {
    std::map<std::string, std::int64_t> running;
    std::set<std::string> live;
    for (const auto& event : workers_) {
      const auto what = event["event"].asString();
      const auto id =
          event["worker"].asString() + " " + event["key"].asString();
      const auto team = event["tag"]["team"].asString();
      if (what == "end" && live.erase(id) > 0) {
        --running[team];
      }
      if (what != "start" || !live.insert(id).second) {
        continue;
      }
      const auto count = ++running[team];
      most_[team] = std::max(most_[team], count);
      const auto limit = LimitAt(team, event["t_ms"].asInt64());
      if (count > limit) {
        Break("over_limit",
              fmt::format("{}: {} running, limit {}", team, count, limit));
      }
    }
  }

  auto CheckLeaving() -> void {
    std::map<std::string, Millis> left;
    for (const auto& event : platform_) {
      for (const auto& instance : event["instances"]) {
        const auto id = instance["id"].asString();
        if (instance["state"] == "leaving") {
          left.emplace(id, event["t_ms"].asInt64());
        } else {
          left.erase(id);
        }
      }
    }
    for (const auto& event : workers_) {
      const auto it = left.find(event["worker"].asString());
      if (event["event"] == "start" && it != left.end() &&
          event["t_ms"].asInt64() >
              it->second + absl::GetFlag(FLAGS_leave_ms)) {
        Break("work_after_leaving", event["worker"].asString());
      }
    }
  }

  auto CheckLoad() -> void {
    struct Seen {
      bool is_not_run_ = false;
      bool is_answered_ = false;
      std::int64_t attempts_ = 0;
    };
    std::map<std::string, Seen> requests;
    for (const auto& event : load_) {
      const auto what = event["event"].asString();
      const auto request = event["request_id"].asString();
      if (what == "send") {
        ++requests[request].attempts_;
        NoteKey(event);
      } else if (what == "outcome") {
        auto& seen = requests[request];
        const auto kind = event["kind"].asString();
        seen.is_not_run_ |= event["not_run"].asBool();
        seen.is_answered_ |= kind == "answered";
        if (kind == "wrong") {
          Break("wrong_answer", request);
        }
        if (kind == "cut" && absl::GetFlag(FLAGS_graceful)) {
          Break("cut_request", request);
        }
      }
    }
    for (const auto& [request, seen] : requests) {
      const auto is_single = seen.attempts_ == 1;
      if (seen.is_not_run_ && is_single && started_.contains(request)) {
        Break("false_not_run", request);
      }
      if (seen.is_answered_ && !started_.contains(request)) {
        Break("answer_without_run", request);
      }
    }
  }

  // A key that the last ticket does not name any more must not get work
  // started that was sent later than the allowance.
  auto NoteKey(const Json::Value& event) -> void {
    const auto hash = KeyHash(event["key"].asString());
    const auto it = key_seen_.find(hash);
    const auto is_withdrawn =
        it != key_seen_.end() && it->second < last_ticket_ms_;
    const auto at = event["t_ms"].asInt64();
    const auto request = event["request_id"].asString();
    if (is_withdrawn && started_.contains(request) &&
        at > WithdrawnAt(hash) + absl::GetFlag(FLAGS_withdraw_ms)) {
      Break("work_after_withdrawal", request);
    }
  }

  // Returns when the ticket came that no longer names the key.
  auto WithdrawnAt(const std::string& hash) const -> Millis {
    const auto last_seen = key_seen_.at(hash);
    for (const auto& event : platform_) {
      for (const auto& put : event["puts"]) {
        if (put["key"].asString() == "/lentilscale/state/head" &&
            event["t_ms"].asInt64() > last_seen) {
          return event["t_ms"].asInt64();
        }
      }
    }
    return INT64_MAX / 2;
  }

  auto KeyHash(const std::string& key) -> std::string {
    auto& hash = hashes_[key];
    if (hash.empty()) {
      hash = Sha256Hex(key);
    }
    return hash;
  }

  auto CheckTickets() -> void {
    std::map<std::string, std::int64_t> highest;
    for (const auto& event : load_) {
      if (event["event"] != "ticket") {
        continue;
      }
      auto& known = highest[event["instance"].asString()];
      const auto number = event["number"].asInt64();
      if (number < known) {
        Break("reverted_ticket", fmt::format("{} after {}", number, known));
      }
      known = std::max(known, number);
    }
  }

  auto Print() -> int {
    Json::Value out;
    out["violations"] = Json::Value(Json::objectValue);
    std::int64_t total = 0;
    for (const auto& [promise, examples] : broken_) {
      auto& item = out["violations"][promise];
      item["count"] = Json::Int64(counts_[promise]);
      total += counts_[promise];
      for (const auto& example : examples) {
        item["examples"].append(example);
      }
    }
    out["total"] = Json::Int64(total);
    out["starts"] = Json::UInt64(static_cast<std::size_t>(std::count_if(
        workers_.begin(), workers_.end(),
        [](const auto& event) { return event["event"] == "start"; })));
    for (const auto& [team, count] : most_) {
      out["most_running"][team] = Json::Int64(count);
    }
    fmt::print("{}\n", DumpJson(out));
    return total == 0 ? 0 : 1;
  }

  Events workers_;
  Events platform_;
  Events load_;
  std::map<std::string, std::vector<LimitChange>> limits_;
  std::map<std::string, Millis> key_seen_;
  Millis last_ticket_ms_ = 0;
  std::map<std::string, Resources> capacities_;
  std::set<std::string> started_;
  std::map<std::string, Success> successes_;
  std::map<std::string, std::string> task_of_place_;
  std::map<std::string, Millis> task_starts_;
  std::map<std::string, std::int64_t> most_;
  std::map<std::string, std::string> hashes_;
  std::map<std::string, std::vector<std::string>> broken_;
  std::map<std::string, std::int64_t> counts_;
};

}  // namespace
}  // namespace lentilscale

auto main(int argc, char** argv) -> int {
  lentilscale::ParseCommandLine(argc, argv);
  return lentilscale::Judge().Run();
}
