// fake_platform stands in for the platform's store and instance list.
//
//   fake_platform --port=2379 --record=platform.jsonl
//
// It serves the store's JSON mapping (lentilscale/kv_server.h), the list under
// /v1/instances, and to tests:
//
//   POST /fake/instances      {"instances": [...]}: add or change; they appear
//                             in the list after --list_lag_ms
//   POST /fake/remove         {"ids": [...]}
//   POST /fake/fault          {"down_ms": N, "slow_ms": N, "for_ms": N,
//                              "lose_percent": N}: answers lost after writing
//   GET  /fake/counts         calls by kind

#include <absl/flags/flag.h>
#include <fmt/format.h>
#include <signal.h>
#include <uv.h>

#include <map>
#include <random>
#include <string>

#include "lentilscale/command_line.h"
#include "lentilscale/error.h"
#include "lentilscale/http_server.h"
#include "lentilscale/json.h"
#include "lentilscale/kv_server.h"
#include "lentilscale/timer.h"
#include "testing/record_stand_in.h"

ABSL_FLAG(int, port, 0, "port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::string, record, "", "file for the record of events");
ABSL_FLAG(int, list_lag_ms, 300, "lag of the instance list");
ABSL_FLAG(int, seed, 1, "seed of lost answers");

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr std::size_t kMaxBodyBytes = 64U << 20U;
constexpr std::uint64_t kIdleMs = 60000;

class FakePlatform {
 public:
  explicit FakePlatform(uv_loop_t* loop)
      : loop_(loop),
        record_(absl::GetFlag(FLAGS_record)),
        random_(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed))) {}

  auto Serve(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
      -> void {
    try {
      const auto body = request.body_.empty() ? Json::Value(Json::objectValue)
                                              : ParseJson(request.body_);
      if (request.path_.starts_with("/v3/")) {
        ServeStore(request.path_, body, std::move(reply));
      } else if (request.path_ == "/v1/instances") {
        reply->Send(kHttpOk, DumpJson(List(request.QueryParam("since", "0"))));
      } else {
        ServeFake(request.path_, body, *reply);
      }
    } catch (const Error& e) {
      reply->Send(e.info().http_status_,
                  R"({"error":")" + std::string(e.what()) + "\"}");
    }
  }

 private:
  struct Listed {
    Json::Value instance_;
    std::int64_t version_ = 0;
    bool is_removed_ = false;
  };

  auto ServeStore(const std::string& path, const Json::Value& body,
                  std::shared_ptr<HttpReply> reply) -> void {
    const auto now = MonotonicMs();
    if (now < down_until_ms_) {
      // A store that is down neither answers nor writes.
      held_.push_back(std::move(reply));
      return;
    }
    held_.clear();
    const auto revision = kv_.revision();
    const auto answer = DumpJson(kv_.Handle(path, body, now));
    if (kv_.revision() != revision) {
      RecordWrite(path, body);
    }
    const auto is_faulty = now < fault_until_ms_;
    const auto is_lost =
        is_faulty && static_cast<int>(random_() % 100) < lose_percent_;
    if (is_lost) {
      held_.push_back(std::move(reply));
      return;
    }
    RunAfter(loop_, is_faulty ? slow_ms_ : 0,
             [reply, answer] { reply->Send(kHttpOk, answer); });
  }

  auto RecordWrite(const std::string& path, const Json::Value& body) -> void {
    Json::Value event;
    event["event"] = "store_write";
    event["path"] = path;
    event["revision"] = Json::Int64(kv_.revision());
    for (const auto& op : GetArray(body, "success")) {
      if (op.isMember("request_put")) {
        Json::Value put;
        put["key"] = DecodeBase64(op["request_put"]["key"].asString());
        put["value"] = DecodeBase64(op["request_put"]["value"].asString());
        event["puts"].append(put);
      }
    }
    record_.Write(event);
  }

  auto List(const std::string& since_text) -> Json::Value {
    const auto since = std::atoll(since_text.c_str());
    Json::Value out;
    out["version"] = Json::Int64(version_);
    out["full"] = since == 0 || since > version_;
    out["instances"] = Json::Value(Json::arrayValue);
    out["removed"] = Json::Value(Json::arrayValue);
    for (const auto& [id, listed] : list_) {
      if (listed.version_ <= since && since <= version_) {
        continue;
      }
      if (listed.is_removed_) {
        out["removed"].append(id);
      } else {
        out["instances"].append(listed.instance_);
      }
    }
    return out;
  }

  auto ServeFake(const std::string& path, const Json::Value& body,
                 HttpReply& reply) -> void {
    if (path == "/fake/instances" || path == "/fake/remove") {
      Json::Value event = body;
      event["event"] = path == "/fake/remove" ? "remove" : "list";
      record_.Write(event);
      RunAfter(loop_, absl::GetFlag(FLAGS_list_lag_ms),
               [this, body] { ChangeList(body); });
    } else if (path == "/fake/fault") {
      const auto now = MonotonicMs();
      down_until_ms_ = now + GetInt(body, "down_ms", 0, 0, 3600000);
      fault_until_ms_ = now + GetInt(body, "for_ms", 0, 0, 3600000);
      slow_ms_ = GetInt(body, "slow_ms", 0, 0, 60000);
      lose_percent_ = static_cast<int>(GetInt(body, "lose_percent", 0, 0, 100));
      Json::Value event = body;
      event["event"] = "store_fault";
      record_.Write(event);
    } else if (path != "/fake/counts") {
      throw Error(ErrorCode::kNotFound, "no such path");
    }
    Json::Value out;
    out["reads"] = Json::Int64(kv_.counts().reads_);
    out["writes"] = Json::Int64(kv_.counts().writes_);
    out["lease_calls"] = Json::Int64(kv_.counts().lease_calls_);
    reply.Send(kHttpOk, DumpJson(out));
  }

  auto ChangeList(const Json::Value& body) -> void {
    ++version_;
    for (const auto& instance : GetArray(body, "instances")) {
      list_[instance["id"].asString()] = {instance, version_, false};
    }
    for (const auto& id : GetArray(body, "ids")) {
      list_[id.asString()].version_ = version_;
      list_[id.asString()].is_removed_ = true;
    }
  }

  uv_loop_t* loop_;
  EventRecord record_;
  std::mt19937_64 random_;
  KvServer kv_;
  std::map<std::string, Listed> list_;
  std::int64_t version_ = 0;
  Millis down_until_ms_ = 0;
  Millis fault_until_ms_ = 0;
  Millis slow_ms_ = 0;
  int lose_percent_ = 0;
  // Requests that never get an answer.
  std::vector<std::shared_ptr<HttpReply>> held_;
};

auto Main() -> int {
  signal(SIGPIPE, SIG_IGN);
  auto* loop = uv_default_loop();
  FakePlatform platform(loop);
  auto server = HttpServer::Listen(
      loop, "127.0.0.1", absl::GetFlag(FLAGS_port), {kMaxBodyBytes, kIdleMs},
      [&platform](const HttpRequest& request,
                  std::shared_ptr<HttpReply> reply) {
        platform.Serve(request, std::move(reply));
      });
  if (!server.ok()) {
    fmt::print(stderr, "fake_platform: {}\n",
               std::string(server.status().message()));
    return 1;
  }
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
