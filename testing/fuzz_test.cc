// Feeds malformed input, made from valid messages with fixed seeds, to every
// reader: callers, peers, workers' and the store's answers, files. A reader may
// only accept, or throw Error; anything else ends the test.

#define BOOST_TEST_MODULE fuzz
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

#include "lentilscale/call_router.h"
#include "lentilscale/configuration.h"
#include "lentilscale/error.h"
#include "lentilscale/job.h"
#include "lentilscale/json.h"
#include "lentilscale/kv_server.h"
#include "lentilscale/load_experiment.h"
#include "lentilscale/rpc_client_codec.h"
#include "lentilscale/rpc_server.h"
#include "lentilscale/settings.h"
#include "lentilscale/store_view.h"
#include "lentilscale/task_service.h"
#include "lentilscale/ticket_file.h"

namespace lentilscale {
namespace {

constexpr auto kRounds = 4000;

struct Target {
  std::string name_;
  std::string valid_;
  std::function<void(const std::string&)> read_;
};

template <typename Message>
auto Reads(const std::string& name, const std::string& valid) -> Target {
  return {name, valid,
          [](const std::string& text) { Message::FromJson(ParseJson(text)); }};
}

auto Targets() -> std::vector<Target> {
  KvServer kv;
  return {
      Reads<Ticket>(
          "ticket",
          R"({"number":1,"author":"a","teams":{"t":{"share":1,"limit":5,"keys":[{"name":"k","sha256":"00"}]}}})"),
      Reads<Configuration>(
          "configuration",
          R"({"number":1,"teams":{"t":{"share":1,"limit":5}},"services":{"s":{}}})"),
      Reads<MemberRecord>(
          "member",
          R"({"id":"a","address":"b","data_centre":"c","region":"d"})"),
      Reads<MemberDigest>(
          "digest",
          R"({"id":"a","ticket":3,"store":true,"age_ms":5,"loads":[{"s":"x","f":1,"q":2,"c":3}]})"),
      Reads<SessionAnswer>(
          "session answer",
          R"({"clock":5,"seq":1,"boot":1,"running":[{"key":"k","cpu":1,"mem":2,"tag":{}}],"ended":[{"key":"e","status":"ok","progress":1}]})"),
      Reads<SessionRequest>(
          "session request",
          R"({"owner":"o","epoch":1,"session_ms":10,"ack":["a"],"stop":["b"]})"),
      Reads<StartRequest>(
          "start",
          R"({"key":"k","epoch":1,"need":{"slots":1},"tag":{},"work":{}})"),
      Reads<JobSpec>(
          "job",
          R"({"job_id":"j","service":"s","kind":"batch","count":3,"need":{"slots":1}})"),
      Reads<TaskEvent>(
          "event",
          R"({"ref":{"job":"j","index":0,"attempt":1,"home":"h","epoch":1},"kind":"ended","status":"ok"})"),
      Reads<HomeOwnerClaim>("claim",
                            R"({"home":"h","epoch":1,"valid_until":5})"),
      Reads<HoldingRecord>("holding", R"({"limit":5,"shards":{"s/a/0":3}})"),
      Reads<WorkerInfo>(
          "worker",
          R"({"id":"w","address":"a","service":"s","data_centre":"d","region":"r","rack":"k","capacity":{"slots":8}})"),
      {"job record",
       R"({"spec":{"job_id":"j","service":"s"},"home":"h","tasks":"..d","state":"active"})",
       [](const std::string& text) { Job::FromRecord(ParseJson(text)); }},
      {"shard record", R"({"owner":"o","address":"a","epoch":1,"horizon":5})",
       [](const std::string& text) {
         ShardRecord::FromJson("s", ParseJson(text));
       }},
      {"call",
       R"({"team":"t","service":"s","left_ms":50,"need":{"slots":1},"payload":{}})",
       [](const std::string& text) { Call::FromJson(ParseJson(text), 0); }},
      {"table",
       R"({"horizon":5,"entries":[{"team":"t","id":"i","issued":3,"ended":true,"status":200,"body":"b"}]})",
       [](const std::string& text) { SnapshotFromJson(ParseJson(text)); }},
      {"store call",
       R"({"compare":[{"key":"YQ==","target":"MOD","result":"EQUAL","mod_revision":"0"}],"success":[{"request_put":{"key":"YQ==","value":"Yg=="}}]})",
       [kv](const std::string& text) mutable {
         kv.Handle("/v3/kv/txn", ParseJson(text), 0);
       }},
      {"rpc request",
       R"({"jsonrpc":"2.0","id":1,"method":"m","params":{"a":1}})",
       [](const std::string& text) {
         RpcServer server;
         server.AddMethod("m", [](const Json::Value& p) { return p; });
         BOOST_TEST(!server.Handle(text).empty());
       }},
      {"rpc answer", R"({"jsonrpc":"2.0","id":1,"result":{"a":1}})",
       [](const std::string& text) {
         Json::Value result;
         DecodeRpcResult("m", text, result);
       }},
      {"settings", "[instance]\nlisten_port = 1\n[store]\n[platform]\n",
       [](const std::string& text) {
         static_cast<void>(Settings::FromText(text, "f").ok());
       }},
      {"ticket file", "[ticket]\nnumber = 1\n[team a]\nshare = 1\n",
       [](const std::string& text) {
         static_cast<void>(TicketFromIni(text, "f").ok());
       }},
      {"experiment", "[run]\nseconds = 1\n[team a]\nrun_ms = 2\n",
       [](const std::string& text) {
         static_cast<void>(LoadExperiment::FromText(text, "f").ok());
       }},
  };
}

auto Mutate(std::string text, std::mt19937_64& random) -> std::string {
  static const std::string kPieces[] = {
      "{",   "}",    "[",    "\"", "null", "-1", "1e99", "99999999999999999999",
      "\\u", "\xff", "true", ":",  ",",    "{}", "[]",   "\"\"",
      "0.5", "="};
  const auto changes = 1 + random() % 3;
  for (std::uint64_t i = 0; i < changes && !text.empty(); ++i) {
    const auto at = random() % text.size();
    switch (random() % 5) {
      case 0:
        text.erase(at, 1 + random() % 6);
        break;
      case 1:
        text.insert(at, kPieces[random() % std::size(kPieces)]);
        break;
      case 2:
        text[at] = static_cast<char>(random() % 256);
        break;
      case 3:
        text = text.substr(0, at);
        break;
      default:
        text += text.substr(at);
    }
  }
  return text;
}

BOOST_AUTO_TEST_CASE(ReadersAcceptOrRefuseWithAnError) {
  for (const auto& target : Targets()) {
    BOOST_TEST_CONTEXT(target.name_) {
      std::mt19937_64 random(7);
      for (auto i = 0; i < kRounds; ++i) {
        const auto text = Mutate(target.valid_, random);
        try {
          target.read_(text);
        } catch (const Error&) {
          // A clear refusal.
        } catch (const std::exception& e) {
          BOOST_ERROR(e.what() << " for " << text);
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(DeepAndDoubledDocumentsAreRefused) {
  BOOST_CHECK_THROW(ParseJson(std::string(100000, '[')), Error);
  BOOST_CHECK_THROW(ParseJson(R"({"a":1,"a":2})"), Error);
  BOOST_CHECK_THROW(ParseJson(R"({"a":1} x)"), Error);
  BOOST_CHECK_THROW(ParseJson("[]"), Error);
}

}  // namespace
}  // namespace lentilscale
