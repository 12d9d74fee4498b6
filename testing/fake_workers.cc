// fake_workers stands in for many workers in one process.
//
//   fake_workers --platform=127.0.0.1:2379 --fleet=fleet.ini --record=w.jsonl
//
// The fleet file has one section per group of workers:
//
//   [workers tablets-a]
//   service = tablets
//   data_centre = home-a
//   region = home
//   count = 14
//   per_rack = 5
//   slots = 8
//   cpu_milli = 24000
//   memory_mb = 49152
//   accelerators = 0
//
// To tests it serves, on --port:
//
//   POST /fake/worker  {"id": ID or "prefix": P, "silent": bool,
//                       "failing": bool, "restart": true, "leaving": bool}
//   GET  /fake/summary running and epochs by worker

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <ini.h>
#include <signal.h>
#include <uv.h>

#include <fstream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

#include "lentilscale/command_line.h"
#include "lentilscale/error.h"
#include "lentilscale/http_sync.h"
#include "lentilscale/json.h"
#include "lentilscale/worker_server.h"
#include "testing/record_stand_in.h"

ABSL_FLAG(int, port, 0, "port for tests on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::string, platform, "", "address of fake_platform");
ABSL_FLAG(std::string, fleet, "", "INI file with the workers");
ABSL_FLAG(std::string, proxy, "",
          "control address of fault_proxy, through which workers are reached");
ABSL_FLAG(std::string, record, "", "file for the record of events");

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr Millis kRegisterTimeoutMs = 5000;

struct Group {
  std::map<std::string, std::string> values_;

  auto Text(const std::string& key) const -> std::string {
    const auto it = values_.find(key);
    return it == values_.end() ? "" : it->second;
  }
  auto Number(const std::string& key, std::int64_t fallback) const
      -> std::int64_t {
    const auto text = Text(key);
    return text.empty() ? fallback : std::atoll(text.c_str());
  }
};

using Fleet = std::map<std::string, Group>;

auto ReadFleet(const std::string& path) -> Fleet {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  Fleet fleet;
  ini_parse_string(
      text.str().c_str(),
      [](void* user, const char* section, const char* key, const char* value) {
        const std::string name = section;
        constexpr std::string_view kPrefix = "workers ";
        if (name.starts_with(kPrefix)) {
          auto& groups = *static_cast<Fleet*>(user);
          groups[name.substr(kPrefix.size())].values_[key] = value;
        }
        return 1;
      },
      &fleet);
  return fleet;
}

class FakeWorkers {
 public:
  explicit FakeWorkers(uv_loop_t* loop)
      : record_(absl::GetFlag(FLAGS_record)),
        server_(loop,
                [this](const Json::Value& event) { record_.Write(event); }) {}

  // Adds all workers of the fleet; returns "" or the problem.
  auto Add(const Fleet& fleet) -> std::string {
    for (const auto& [name, group] : fleet) {
      const auto count = group.Number("count", 1);
      const auto per_rack =
          std::max<std::int64_t>(group.Number("per_rack", 5), 1);
      for (std::int64_t i = 0; i < count; ++i) {
        WorkerInfo info;
        info.id_ = fmt::format("{}-{}", name, i);
        info.service_ = group.Text("service");
        info.data_centre_ = group.Text("data_centre");
        info.region_ = group.Text("region");
        info.rack_ = fmt::format("{}-rack-{}", name, i / per_rack);
        info.capacity_ = {
            group.Number("slots", 8), group.Number("cpu_milli", 24000),
            group.Number("memory_mb", 49152), group.Number("accelerators", 0)};
        auto address = server_.Add(info.id_, info.capacity_, 0);
        if (!address.ok()) {
          return std::string(address.status().message());
        }
        info.address_ = ThroughProxy(info.id_, *address);
        infos_[info.id_] = info;
      }
    }
    return "";
  }

  auto Register(const std::vector<WorkerInfo>& infos) -> void {
    Json::Value body;
    for (const auto& info : infos) {
      body["instances"].append(info.ToJson());
    }
    const HttpCall call{absl::GetFlag(FLAGS_platform),
                        "POST",
                        "/fake/instances",
                        DumpJson(body),
                        "",
                        kRegisterTimeoutMs};
    sync_.Send(call);
  }

  auto RegisterAll() -> void {
    std::vector<WorkerInfo> all;
    for (const auto& [id, info] : infos_) {
      all.push_back(info);
    }
    Register(all);
  }

  auto Serve(const HttpRequest& request, HttpReply& reply) -> void {
    try {
      if (request.path_ == "/fake/worker") {
        Change(ParseJson(request.body_));
        reply.Send(kHttpOk, "{}");
      } else if (request.path_ == "/fake/load") {
        reply.Send(kHttpOk, DumpJson(Load()));
      } else {
        reply.Send(kHttpOk, DumpJson(Summary()));
      }
    } catch (const Error& e) {
      reply.Send(e.info().http_status_, "{}");
    }
  }

 private:
  auto ThroughProxy(const std::string& id, const std::string& address)
      -> std::string {
    if (absl::GetFlag(FLAGS_proxy).empty()) {
      return address;
    }
    Json::Value body;
    body["name"] = "worker-" + id;
    body["target"] = address;
    const auto result =
        sync_.Send({absl::GetFlag(FLAGS_proxy), "POST", "/fake/link",
                    DumpJson(body), "", kRegisterTimeoutMs});
    return fmt::format("127.0.0.1:{}", ParseJson(result.body_)["port"].asInt());
  }

  auto Change(const Json::Value& body) -> void {
    const auto id = GetString(body, "id", "");
    const auto prefix = GetString(body, "prefix", "");
    std::vector<WorkerInfo> changed;
    for (auto& [name, info] : infos_) {
      const auto is_meant =
          name == id || (!prefix.empty() && name.starts_with(prefix));
      if (!is_meant) {
        continue;
      }
      auto* model = server_.Find(name);
      if (body.isMember("silent")) {
        server_.SetUnresponsive(name, body["silent"].asBool());
      }
      if (body.isMember("failing")) {
        model->SetFailing(body["failing"].asBool());
      }
      if (GetBool(body, "restart", false)) {
        model->Restart();
      }
      if (body.isMember("leaving")) {
        info.is_leaving_ = body["leaving"].asBool();
        changed.push_back(info);
      }
    }
    Json::Value event = body;
    event["event"] = "change";
    record_.Write(event);
    if (!changed.empty()) {
      Register(changed);
    }
  }

  auto Summary() -> Json::Value {
    Json::Value out(Json::objectValue);
    for (const auto& [id, info] : infos_) {
      const auto* model = server_.Find(id);
      out[id]["running"] = Json::UInt64(model->running());
      out[id]["epoch"] = Json::Int64(model->epoch());
    }
    return out;
  }

  // Slots in use of all workers, and each team's part of all slots.
  auto Load() -> Json::Value {
    std::int64_t slots = 0;
    std::int64_t used = 0;
    std::map<std::string, std::int64_t> by_team;
    for (const auto& [id, info] : infos_) {
      slots += info.capacity_.slots_;
      const auto* model = server_.Find(id);
      used += model->Reserved().slots_;
      model->AddSlotsByTeam(by_team);
    }
    Json::Value out;
    out["slots"] = Json::Int64(slots);
    out["used_slots"] = Json::Int64(used);
    out["teams"] = Json::Value(Json::objectValue);
    for (const auto& [team, count] : by_team) {
      out["teams"][team] =
          static_cast<double>(count) / static_cast<double>(slots);
    }
    return out;
  }

  EventRecord record_;
  WorkerServer server_;
  SyncClient sync_;
  std::map<std::string, WorkerInfo> infos_;
};

auto Main() -> int {
  signal(SIGPIPE, SIG_IGN);
  auto* loop = uv_default_loop();
  FakeWorkers workers(loop);
  const auto problem = workers.Add(ReadFleet(absl::GetFlag(FLAGS_fleet)));
  if (!problem.empty()) {
    fmt::print(stderr, "fake_workers: {}\n", problem);
    return 1;
  }
  auto server = HttpServer::Listen(
      loop, "127.0.0.1", absl::GetFlag(FLAGS_port), HttpLimits{},
      [&workers](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        workers.Serve(request, *reply);
      });
  if (!server.ok()) {
    fmt::print(stderr, "fake_workers: {}\n",
               std::string(server.status().message()));
    return 1;
  }
  workers.RegisterAll();
  fmt::print("port {}\n", (*server)->port());
  fflush(stdout);
  uv_run(loop, UV_RUN_DEFAULT);
  return 0;
}

}  // namespace
}  // namespace lentilscale

auto main(int argc, char** argv) -> int {
  lentilscale::ParseCommandLine(argc, argv);
  return lentilscale::Main();
}
