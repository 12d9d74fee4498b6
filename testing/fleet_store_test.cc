// What happens between the fleet scheduler and its store: answers that arrive
// out of order, records that cannot be read, reads of several pages and history
// that is gone. Most cases answer each store call by hand.

#define BOOST_TEST_MODULE fleet_store
#include <fmt/format.h>
#include <signal.h>
#include <uv.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/client_api.h"
#include "fleet/dispatcher.h"
#include "fleet/election.h"
#include "fleet/store_keys.h"
#include "lentilscale/http_client.h"
#include "lentilscale/http_server.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"
#include "platform/documents.h"
#include "platform/kv_store.h"
#include "platform/platform_node.h"
#include "testing/free_address_stand_in.h"
#include "testing/platform_emulator_stand_in.h"

namespace lentilscale::fleet {
namespace {

// Cases wait for conditions; this bounds a case that never gets there.
constexpr Millis kPatienceMs = 20000;
// Fleets whose store is harassed, all at once.
constexpr auto kFirstSeed = 1U;
constexpr auto kFleets = 12U;

auto RunUntil(const std::function<bool()>& condition) -> bool {
  const auto until = MonotonicMs() + kPatienceMs;
  RepeatingTimer waker(uv_default_loop(), 5, [] {});
  while (!condition() && MonotonicMs() < until) {
    uv_run(uv_default_loop(), UV_RUN_ONCE);
  }
  return condition();
}

// A store whose calls are answered by the test, in any order.
class ScriptedStore : public RecordStore {
 public:
  struct Call {
    // "read KEY", "range PREFIX", "watch PREFIX", "commit", "grant" or "renew".
    std::string name_;
    Transaction transaction_;
    ReadCallback read_;
    CommitCallback commit_;
    LeaseCallback lease_;
  };

  auto Read(const std::string& key, ReadCallback callback) -> void override {
    calls_.push_back({"read " + key, {}, std::move(callback), {}, {}});
  }
  auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void override {
    calls_.push_back({"range " + prefix, {}, std::move(callback), {}, {}});
  }
  auto Watch(const std::string& prefix, std::int64_t, Millis,
             ReadCallback callback) -> void override {
    calls_.push_back({"watch " + prefix, {}, std::move(callback), {}, {}});
  }
  auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void override {
    calls_.push_back({"commit", transaction, {}, std::move(callback), {}});
  }
  auto GrantLease(Millis, LeaseCallback callback) -> void override {
    calls_.push_back({"grant", {}, {}, {}, std::move(callback)});
  }
  auto RenewLease(std::int64_t, LeaseCallback callback) -> void override {
    calls_.push_back({"renew", {}, {}, {}, std::move(callback)});
  }
  auto RevokeLease(std::int64_t) -> void override {}

  // Waits for a call and takes it off the list.
  auto Await(const std::string& name) -> Call {
    const auto find = [&] {
      return std::find_if(calls_.begin(), calls_.end(),
                          [&](const Call& call) { return call.name_ == name; });
    };
    BOOST_REQUIRE_MESSAGE(RunUntil([&] { return find() != calls_.end(); }),
                          "no call: " << name);
    const auto it = find();
    auto call = *it;
    calls_.erase(it);
    return call;
  }
  // Takes a call off the list if it has been made.
  auto TakeIfCalled(const std::string& name) -> std::optional<Call> {
    const auto it =
        std::find_if(calls_.begin(), calls_.end(),
                     [&](const Call& call) { return call.name_ == name; });
    if (it == calls_.end()) {
      return std::nullopt;
    }
    auto call = *it;
    calls_.erase(it);
    return call;
  }

 private:
  std::list<Call> calls_;
};

auto Found(std::vector<Record> records, std::int64_t revision) -> ReadResult {
  return {StoreStatus::kOk, std::move(records), revision, BootMs()};
}

auto Absent(std::int64_t revision) -> ReadResult {
  return {StoreStatus::kAbsent, {}, revision, BootMs()};
}

auto OwnerRecord(const std::string& instance, std::int64_t revision) -> Record {
  return {
      kOwnerKey,
      fmt::format(R"({{"instance":"{}","address":"a:1","epoch":4}})", instance),
      revision, 6};
}

struct Candidate {
  ScriptedStore store_;
  Election election_{
      uv_default_loop(),
      &store_,
      {"i", "i:1", 1500, 0},
      {[](const OwnerClaim&) {}, [](const std::string&) {}, [] {}}};

  Candidate() { SetLogLevel(LogLevel::kError); }

  // Answers the calls of a claim up to its transaction, which is returned.
  auto AwaitClaim() -> ScriptedStore::Call {
    store_.Await("grant").lease_({StoreStatus::kOk, 5, 1500, BootMs()});
    store_.Await("read ls/epoch").read_(Found({{kEpochKey, "3", 8}}, 9));
    return store_.Await("commit");
  }
};

class IdleGateway : public WorkerGateway, public AdviceGateway {
 public:
  auto Start(const WorkerEntry&, const StartOrder&, OrderCallback)
      -> void override {}
  auto Stop(const WorkerEntry&, const RunRef&, std::int64_t, OrderCallback)
      -> void override {}
  auto Hold(const WorkerEntry&, const HoldOrder&, HoldCallback)
      -> void override {}
  auto Pace(const WorkerEntry&, const RunRef&, int, std::int64_t, OrderCallback)
      -> void override {}
  auto RequestAdvice(const std::string&, const std::vector<std::string>&,
                     Millis, Callback) -> void override {}
};

// A dispatcher that has just taken over, without workers.
struct NewOwner {
  IdleGateway gateway_;
  AdviceBalancer advice_{&gateway_, {}};
  FleetMetrics metrics_;
  Dispatcher dispatcher_;

  explicit NewOwner(RecordStore* store, Millis status_retention_ms = 120000)
      : dispatcher_(uv_default_loop(), store, &gateway_, &advice_, &metrics_,
                    {2, 7, BootMs(), {}}, MakeOptions(status_retention_ms),
                    {[] { return true; }, [](const std::string&) {},
                     [] { return std::make_shared<const FleetConfig>(); },
                     [](const std::string&,
                        const std::string&) -> absl::StatusOr<WorkerEntry> {
                       return absl::InvalidArgumentError("no worker");
                     }}) {
    SetLogLevel(LogLevel::kError);
  }

  static auto MakeOptions(Millis status_retention_ms) -> DispatcherOptions {
    DispatcherOptions options;
    options.status_retention_ms_ = status_retention_ms;
    options.worker_prefix_ = "servers/";
    return options;
  }
};

// The API for clients on a store that is answered by hand and without an owner.
struct Api {
  ScriptedStore store_;
  FleetMetrics metrics_;
  ConfigWatcher config_{uv_default_loop(), &store_, "cfg",
                        [](const std::string&) -> absl::StatusOr<FleetConfig> {
                          FleetConfig config;
                          config.version_ = 1;
                          config.queues_.resize(1);
                          config.queues_[0].name_ = "q";
                          config.queues_[0].host_ = "h.example";
                          config.queues_[0].prefix_ = "/q/";
                          config.queues_[0].is_public_ = true;
                          return config;
                        }};
  Admission admission_{1};
  ClientApi api_{
      uv_default_loop(),
      &store_,
      &config_,
      {platform::ParseJob, platform::FormatState, platform::FormatPending,
       platform::FormatError},
      {[](const JobRecord&, std::int64_t) {}, [](const std::string&) {},
       [](const std::string&, const auto& callback) { callback(std::nullopt); },
       [](const std::string&, const auto& callback) { callback(std::nullopt); },
       [](Millis) { return false; }},
      10 * kPatienceMs,
      &admission_,
      &metrics_};
  std::unique_ptr<HttpServer> server_ = *HttpServer::Listen(
      uv_default_loop(), "127.0.0.1", 0, {},
      [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        api_.Handle(request, std::move(reply));
      });
  HttpClient client_{uv_default_loop(), HttpClient::Options{}};

  Api() {
    SetLogLevel(LogLevel::kError);
    store_.Await("read cfg")
        .read_({StoreStatus::kOk, {{"cfg", "", 5}}, 5, BootMs()});
  }

  // Sends a request for the job; its status is set when the answer arrives.
  auto Send(const std::string& method, const std::string& id,
            const std::string& body = "")
      -> std::shared_ptr<std::optional<int>> {
    auto status = std::make_shared<std::optional<int>>();
    client_.Send(
        {fmt::format("127.0.0.1:{}", server_->port()),
         method,
         "/q/" + id,
         body,
         "",
         kPatienceMs,
         {},
         "h.example"},
        [status](const HttpResult& result) { *status = result.status_; });
    return status;
  }
};

auto IdOf(int number) -> std::string { return fmt::format("{:016x}", number); }

auto JobText(const std::string& id, std::size_t spec_bytes = 10)
    -> std::string {
  JobRecord job;
  job.id_ = id;
  job.spec_ = std::string(spec_bytes, 'x');
  job.queue_ = "q";
  job.steps_.resize(1);
  job.steps_[0].count_ = 1;
  return EncodeJob(job);
}

auto JobEntry(int number, std::int64_t revision) -> Record {
  return {JobKey(IdOf(number)), JobText(IdOf(number)), revision, 0};
}

}  // namespace

// Guards against: nobody claims, because the claim expects no owner record
// while one that cannot be read is there.
BOOST_AUTO_TEST_CASE(an_unreadable_owner_record_is_replaced_by_a_claim) {
  for (const auto* text : {"{", "{}", R"({"instance":"x","address":"a:1"})"}) {
    BOOST_TEST_CONTEXT(text) {
      Candidate candidate;
      candidate.store_.Await("read ls/owner")
          .read_(Found({{kOwnerKey, text, 9, 4}}, 9));
      const auto claim = candidate.AwaitClaim();
      BOOST_REQUIRE_EQUAL(claim.transaction_.conditions_.size(), 2U);
      BOOST_TEST(claim.transaction_.conditions_[1].key_ == kOwnerKey);
      BOOST_TEST(claim.transaction_.conditions_[1].revision_ == 9);
    }
  }
}

// Guards against: an instance asks and tells a previous owner, or none, until
// the owner changes again.
BOOST_AUTO_TEST_CASE(an_overtaken_read_does_not_hide_the_owner) {
  for (const auto has_previous : {false, true}) {
    BOOST_TEST_CONTEXT("previous owner: " << has_previous) {
      Candidate candidate;
      candidate.store_.Await("read ls/owner").read_(Absent(10));
      candidate.AwaitClaim().commit_({StoreStatus::kConflict, 0, {}});
      const auto overtaken = candidate.store_.Await("read ls/owner");
      candidate.store_.Await("watch ls/owner")
          .read_(Found({OwnerRecord("x", 20)}, 20));
      BOOST_TEST(candidate.election_.owner().instance_ == "x");
      overtaken.read_(has_previous ? Found({OwnerRecord("w", 12)}, 15)
                                   : Absent(15));
      BOOST_TEST(candidate.election_.owner().instance_ == "x");
    }
  }
}

// Guards against: a new owner gives up over an answer from before its claim,
// and the fleet has none for the time of another take-over.
BOOST_AUTO_TEST_CASE(an_owner_heeds_only_changes_after_its_claim) {
  Candidate candidate;
  candidate.store_.Await("read ls/owner").read_(Absent(10));
  candidate.AwaitClaim().commit_({StoreStatus::kUnknown, 0, {}});
  const auto overtaken = candidate.store_.Await("read ls/owner");
  candidate.store_.Await("watch ls/owner").read_(Found({}, 12));
  candidate.AwaitClaim().commit_({StoreStatus::kOk, 20, {}});
  BOOST_REQUIRE(candidate.election_.IsOwner());
  overtaken.read_(Absent(13));
  BOOST_TEST(candidate.election_.IsOwner());
  Record removed;
  removed.key_ = kOwnerKey;
  removed.revision_ = 13;
  removed.is_removed_ = true;
  candidate.store_.Await("watch ls/owner")
      .read_(Found({removed, OwnerRecord("i", 20)}, 21));
  BOOST_TEST(candidate.election_.IsOwner());
  removed.revision_ = 30;
  candidate.store_.Await("watch ls/owner").read_(Found({removed}, 30));
  BOOST_TEST(!candidate.election_.IsOwner());
}

// Guards against: two owners, if the answer to a claim comes after the news
// that another instance has claimed since.
BOOST_AUTO_TEST_CASE(a_claim_that_was_replaced_meanwhile_gives_no_rights) {
  Candidate candidate;
  candidate.store_.Await("read ls/owner").read_(Absent(10));
  const auto claim = candidate.AwaitClaim();
  candidate.store_.Await("watch ls/owner")
      .read_(Found({OwnerRecord("i", 20), OwnerRecord("x", 25)}, 25));
  claim.commit_({StoreStatus::kOk, 20, {}});
  BOOST_TEST(!candidate.election_.IsOwner());
  BOOST_TEST(candidate.election_.owner().instance_ == "x");
}

// Guards against: two owners, if an instance resigns before it learns that its
// claim succeeded.
BOOST_AUTO_TEST_CASE(a_claim_gives_no_rights_after_a_resignation) {
  Candidate candidate;
  candidate.store_.Await("read ls/owner").read_(Absent(10));
  const auto claim = candidate.AwaitClaim();
  candidate.election_.ResignBefore(1000);
  claim.commit_({StoreStatus::kOk, 20, {}});
  BOOST_TEST(!candidate.election_.IsOwner());
}

// Guards against: two owners, if the news that an owner was replaced does not
// reach it while the store goes on renewing its lease.
BOOST_AUTO_TEST_CASE(a_renewed_lease_alone_gives_no_rights) {
  Candidate candidate;
  candidate.store_.Await("read ls/owner").read_(Absent(10));
  candidate.AwaitClaim().commit_({StoreStatus::kOk, 20, {}});
  BOOST_TEST(candidate.election_.HasRights());
  // Renewals are not counted: how many are sent while a read is pending does
  // not change until when the rights may last.
  const auto until = MonotonicMs() + 1500;
  auto renewals = 0;
  BOOST_TEST(RunUntil([&] {
    if (const auto renewal = candidate.store_.TakeIfCalled("renew")) {
      renewal->lease_({StoreStatus::kOk, 5, 1500, BootMs()});
      ++renewals;
    }
    return MonotonicMs() > until || !candidate.election_.HasRights();
  }));
  BOOST_TEST(renewals > 0);
  BOOST_TEST(!candidate.election_.HasRights());
}

// Guards against: two owners, if one whom the store refuses goes on by the
// reports of some instances while another one, which it no longer hears of, has
// claimed.
BOOST_AUTO_TEST_CASE(an_instance_that_stops_reporting_ends_the_rights) {
  Candidate candidate;
  candidate.store_.Await("read ls/owner").read_(Absent(10));
  candidate.AwaitClaim().commit_({StoreStatus::kOk, 20, {}});
  const auto claimed_ms = BootMs();
  candidate.election_.ApplyReport("claimant", {4, claimed_ms, 3000, true});
  RunUntil([&] {
    candidate.election_.ApplyReport("refused", {4, BootMs(), 3000, true});
    return BootMs() > claimed_ms + 3500;
  });
  BOOST_TEST(!candidate.election_.HasRights());
}

// Guards against: a fleet without an owner until the watch returns, because the
// owner that was to be replaced has left, or a call of the claim has failed.
BOOST_AUTO_TEST_CASE(a_claim_that_could_not_be_made_is_repeated) {
  Record removed;
  removed.key_ = kOwnerKey;
  removed.revision_ = 30;
  removed.is_removed_ = true;
  {
    Candidate candidate;
    candidate.store_.Await("read ls/owner")
        .read_(Found({OwnerRecord("x", 20)}, 20));
    candidate.election_.OnOwnerConnectionRefused();
    candidate.store_.Await("watch ls/owner").read_(Found({removed}, 30));
    const auto claim = candidate.AwaitClaim();
    BOOST_TEST(claim.transaction_.conditions_[1].revision_ == 0);
  }
  {
    Candidate candidate;
    candidate.store_.Await("read ls/owner").read_(Absent(10));
    candidate.store_.Await("grant").lease_({StoreStatus::kRefused, 0, 0, 0});
    candidate.store_.Await("read ls/epoch").read_(Found({}, 9));
    candidate.AwaitClaim();
  }
}

// Guards against: an ended job that is deleted while the inbox is read again
// comes back as a new one, and its tasks run once more.
BOOST_AUTO_TEST_CASE(a_deleted_job_does_not_come_back_with_a_late_read) {
  ScriptedStore store;
  NewOwner owner(&store, 0);
  ProgressRecord ended;
  ended.state_ = JobState::kCompleted;
  store.Await("range ls/in/").read_(Found({JobEntry(1, 10)}, 50));
  store.Await("range ls/progress/")
      .read_(Found({{ProgressKey(IdOf(1)), EncodeProgress(ended), 20}}, 50));
  store.Await("read ls/workers").read_(Absent(50));
  store.Await("range servers/").read_(Found({}, 50));
  BOOST_TEST((owner.dispatcher_.GetJobState(IdOf(1)) == JobState::kCompleted));
  store.Await("watch ls/in/").read_({StoreStatus::kCompacted, {}, 0, 0});
  const auto read = store.Await("range ls/in/");
  // The owner also writes its record of workers.
  auto purge = store.Await("commit");
  if (purge.transaction_.deletes_.empty()) {
    purge = store.Await("commit");
  }
  BOOST_TEST(purge.transaction_.deletes_.size() == 3U);
  purge.commit_({StoreStatus::kOk, 60, {}});
  read.read_(Found({JobEntry(1, 10), JobEntry(2, 55)}, 56));
  BOOST_TEST(!owner.dispatcher_.GetJobState(IdOf(1)).has_value());
  BOOST_TEST((owner.dispatcher_.GetJobState(IdOf(2)) == JobState::kQueued));
}

// Guards against: a cancellation that the store carries out late applies to a
// later job of the same id.
BOOST_AUTO_TEST_CASE(a_cancellation_holds_for_the_job_that_was_found) {
  Api api;
  const auto status = api.Send("DELETE", IdOf(1));
  api.store_.Await("read " + JobKey(IdOf(1)))
      .read_(Found({JobEntry(1, 10)}, 20));
  for (const auto answer : {StoreStatus::kUnknown, StoreStatus::kConflict}) {
    const auto call = api.store_.Await("commit");
    BOOST_REQUIRE_EQUAL(call.transaction_.conditions_.size(), 1U);
    BOOST_TEST(call.transaction_.conditions_[0].key_ == JobKey(IdOf(1)));
    BOOST_TEST(call.transaction_.conditions_[0].revision_ == 10);
    call.commit_({answer, 0, {}});
  }
  BOOST_REQUIRE(RunUntil([&] { return status->has_value(); }));
  BOOST_TEST(**status == 410);
}

// Guards against: a client is told that a job was not accepted, while a write
// of it may still be carried out.
BOOST_AUTO_TEST_CASE(a_refusal_means_that_no_write_can_follow) {
  using enum StoreStatus;
  struct Case {
    std::vector<StoreStatus> answers_;
    int status_;
  };
  const std::vector<Case> cases = {{{kOk}, 200},
                                   {{kConflict}, 200},
                                   {{kRefused}, 503},
                                   {{kUnknown, kConflict}, 200},
                                   {{kUnknown, kRefused, kOk}, 200},
                                   {{kUnknown, kRefused, kConflict}, 200}};
  for (const auto& c : cases) {
    BOOST_TEST_CONTEXT(c.answers_.size() << " answers, then " << c.status_) {
      Api api;
      const auto status =
          api.Send("POST", IdOf(1), R"({"spec":"x","steps":[{"count":1}]})");
      for (const auto answer : c.answers_) {
        const auto call = api.store_.Await("commit");
        BOOST_TEST(call.transaction_.conditions_[0].revision_ == 0);
        call.commit_({answer, 30, {}});
      }
      BOOST_REQUIRE(RunUntil([&] { return status->has_value(); }));
      BOOST_TEST(**status == c.status_);
    }
  }
}

// Guards against: 410 for a job that the store may hold.
BOOST_AUTO_TEST_CASE(only_an_absent_record_makes_a_job_unknown) {
  using enum StoreStatus;
  struct Case {
    StoreStatus job_;
    StoreStatus progress_;
    int status_;
  };
  const std::vector<Case> cases = {{kAbsent, kOk, 410},   {kRefused, kOk, 503},
                                   {kUnknown, kOk, 503},  {kOk, kRefused, 503},
                                   {kOk, kUnknown, 503},  {kOk, kAbsent, 200},
                                   {kCompacted, kOk, 503}};
  for (const auto& c : cases) {
    BOOST_TEST_CONTEXT(StoreStatusName(c.job_)
                       << ", " << StoreStatusName(c.progress_)) {
      Api api;
      const auto status = api.Send("GET", IdOf(1));
      api.store_.Await("read " + JobKey(IdOf(1)))
          .read_({c.job_, {JobEntry(1, 10)}, 20, 0});
      if (c.job_ == kOk) {
        api.store_.Await("read " + ProgressKey(IdOf(1)))
            .read_({c.progress_, {}, 20, 0});
      }
      BOOST_REQUIRE(RunUntil([&] { return status->has_value(); }));
      BOOST_TEST(**status == c.status_);
    }
  }
}

// Guards against: a job is accepted, but no owner can read its record or it
// runs with another text.
BOOST_AUTO_TEST_CASE(what_is_accepted_can_be_read_back) {
  struct Case {
    const char* spec_;
    const char* step_;
  };
  const std::vector<Case> cases = {
      {"plain", R"("estimate_ms":700)"},
      {R"(\u0000 \" \\ \n \ud83d\ude00)", R"("estimate_ms":0.5)"},
      {"caf\xc3\xa9", R"("cpu":1000000000000)"},
      {"\xff\xfe", R"("gpu":8)"},
      {"x", R"("estimate_ms":-5)"},
      {"x", R"("estimate_ms":2e12)"},
      {"x", R"("estimate_ms":1e300)"},
      {"x", R"("target_ms":-1)"},
      {"x", R"("target_ms":2e12)"},
      {"x", R"("cpu":-1)"},
      {"x", R"("max_per_server":5000)"},
      {"x", R"("after":[1e10])"},
      {"x", R"("may_miss":-1)"},
  };
  auto accepted = 0;
  for (const auto& c : cases) {
    BOOST_TEST_CONTEXT(c.spec_ << " " << c.step_) {
      const auto job = platform::ParseJob(fmt::format(
          R"({{"spec":"{}","steps":[{{"count":2,{}}}]}})", c.spec_, c.step_));
      if (job.ok()) {
        ++accepted;
        auto stored = *job;
        stored.id_ = IdOf(1);
        stored.queue_ = "q";
        const auto read = DecodeJob(EncodeJob(stored));
        BOOST_TEST(read.ok());
        BOOST_TEST((read.ok() && read->spec_ == stored.spec_));
      }
    }
  }
  BOOST_TEST(accepted >= 4);
}

// Guards against: a job or a cancellation that is written between two pages of
// a take-over's read, before the place that has been reached, is never taken.
BOOST_AUTO_TEST_CASE(what_is_written_between_pages_is_taken) {
  struct Case {
    int jobs_;
    // Small texts fill pages by their number, large ones by their size.
    std::size_t spec_bytes_;
    bool drops_history_;
  };
  const std::vector<Case> cases = {
      {1200, 10, false}, {1200, 10, true}, {700, 4000, false}};
  for (const auto& c : cases) {
    BOOST_TEST_CONTEXT(c.jobs_ << " jobs of " << c.spec_bytes_ << " bytes, "
                               << (c.drops_history_ ? "no history" : "")) {
      testing::EmulatedStore emulated(uv_default_loop());
      HttpClient client(uv_default_loop(), HttpClient::Options{});
      platform::KvStore store(&client, emulated.address());
      const auto put_job = [&](int number) {
        emulated.Put(JobKey(IdOf(number)),
                     JobText(IdOf(number), c.spec_bytes_));
      };
      for (auto i = 0; i < c.jobs_; ++i) {
        put_job(2 * i + 1);
      }
      auto pages = 0;
      emulated.SetPageHook([&](const std::string& prefix) {
        if (prefix != kInboxPrefix || pages == 2) {
          return;
        }
        put_job(2 * pages);
        emulated.Put(CancelKey(IdOf(2 * pages + 1)), "{}");
        ++pages;
        if (c.drops_history_) {
          emulated.DropHistory();
        }
      });
      NewOwner owner(&store);
      const auto has_state = [&](int number, JobState state) {
        return owner.dispatcher_.GetJobState(IdOf(number)) == state;
      };
      BOOST_TEST(RunUntil([&] {
        return has_state(0, JobState::kQueued) &&
               has_state(2, JobState::kQueued) &&
               has_state(1, JobState::kCancelled) &&
               has_state(3, JobState::kCancelled);
      }));
      BOOST_TEST(pages == 2);
      for (auto i = 2; i < c.jobs_; ++i) {
        BOOST_TEST_CONTEXT(i) {
          BOOST_TEST(has_state(2 * i + 1, JobState::kQueued));
        }
      }
    }
  }
}

// Three instances, each with a way to the store of its own, and three workers.
class HarassedFleet {
 public:
  explicit HarassedFleet(unsigned seed) : seed_(seed), random_(seed) {
    SetLogLevel(LogLevel::kError);
    signal(SIGPIPE, SIG_IGN);
    platform_.store().Put(
        "op/config",
        R"({"version":1,"routes":[{"name":"q","host":"h.example","prefix":"/q/",)"
        R"("service":"s","priority":1,"max_attempts":3,"stretch":2.0,)"
        R"("target_duration_ms":300,"public":true}],"tenants":[]})");
    for (auto i = 0; i < kWorkers; ++i) {
      platform_.AddWorker(fmt::format("i-{}", i), "s", 4000, 0);
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      platform_.store().AddEntrance();
      Restart(i);
    }
  }

  // Does what is due; returns true once all accepted jobs have ended.
  auto Advance() -> bool {
    const auto now = MonotonicMs();
    const auto has_faults = now < began_ms_ + kFaultsMs;
    Unblock(now);
    if (has_faults && now >= next_fault_ms_) {
      next_fault_ms_ = now + Between(50, 800);
      CauseFault();
    }
    if (has_faults && now >= next_job_ms_) {
      next_job_ms_ = now + Between(20, 200);
      Submit();
    }
    if (now >= next_question_ms_) {
      next_question_ms_ = now + 300;
      AskStates();
    }
    return now > began_ms_ + kFaultsMs + kLastAnswersMs &&
           ended_.size() == accepted_.size();
  }

  // What went wrong, as sentences.
  auto violations() -> std::vector<std::string> {
    auto all = violations_;
    all.insert(all.end(), platform_.violations().begin(),
               platform_.violations().end());
    for (const auto& id : refused_) {
      if (platform_.StartsOf(id) > 0) {
        all.push_back(id + " was refused and has run");
      }
    }
    for (const auto& id : accepted_) {
      if (!ended_.contains(id)) {
        all.push_back(id + " was accepted and has not ended");
      }
    }
    return all;
  }
  auto accepted_count() const -> std::size_t { return accepted_.size(); }
  auto seed() const -> unsigned { return seed_; }

 private:
  static constexpr int kNodes = 3;
  static constexpr int kWorkers = 3;
  static constexpr Millis kFaultsMs = 8000;
  // The last requests of the time with faults have been answered by then.
  static constexpr Millis kLastAnswersMs = 4000;

  // Does something to the store, an instance's way to it or its process.
  auto CauseFault() -> void {
    auto& store = platform_.store();
    const auto node = Between(0, kNodes - 1);
    const auto mode = Between(0, 1) == 0
                          ? testing::EmulatedStore::Mode::kSilent
                          : testing::EmulatedStore::Mode::kRefusing;
    switch (Between(0, 6)) {
      case 0:
      case 1:
      case 2:
        store.SetEntranceMode(node, mode);
        blocked_until_ms_[node] = MonotonicMs() + Between(100, 2500);
        break;
      case 3:
        store.LoseAnswers(Between(1, 4));
        break;
      case 4:
        store.CarryOutLate(Between(1, 4), Between(300, 3000));
        break;
      case 5:
        store.DropHistory();
        break;
      default:
        Restart(node);
    }
  }

  auto Unblock(Millis now_ms) -> void {
    for (auto& [node, until] : blocked_until_ms_) {
      if (until != 0 && now_ms >= until) {
        platform_.store().SetEntranceMode(node,
                                          testing::EmulatedStore::Mode::kUp);
        until = 0;
      }
    }
  }

  auto Submit() -> void {
    const auto id = IdOf(static_cast<int>(seed_ << 16) + ++submitted_);
    platform_.SetDemand(id, 1000, 0);
    Call("POST", id,
         R"({"spec":"ms=150","steps":[{"count":3,"cpu":1000},)"
         R"({"count":2,"cpu":1000,"after":[0]}]})",
         [this, id](const HttpResult& result) {
           if (result.status_ == 200) {
             accepted_.insert(id);
           } else if (result.status_ == 503) {
             refused_.insert(id);
           }
         });
  }

  // Asks for the states of the accepted jobs that are not known to have ended.
  auto AskStates() -> void {
    for (const auto& id : accepted_) {
      if (!ended_.contains(id)) {
        Call("GET", id, "", [this, id](const HttpResult& result) {
          if (result.status_ == 410) {
            violations_.push_back(id + " is unknown");
          } else if (result.body_.find("failed") != std::string::npos ||
                     result.body_.find("cancelled") != std::string::npos) {
            violations_.push_back(id + " is given up");
          } else if (result.body_.find("completed") != std::string::npos) {
            ended_.insert(id);
          }
        });
      }
    }
  }

  auto Between(int low, int high) -> int {
    return std::uniform_int_distribution<int>(low, high)(random_);
  }

  // Replaces the process of an instance. The new one has addresses of its own,
  // since a kill inside this process leaves the old connections open.
  auto Restart(std::size_t node) -> void {
    if (nodes_.size() <= node) {
      nodes_.resize(node + 1);
      boots_.resize(node + 1);
    }
    nodes_[node].reset();
    auto& boot = boots_[node];
    boot.node_name_ = fmt::format("node-{}", node);
    boot.store_address_ = platform_.store().entrance_address(node);
    boot.advice_address_ = platform_.advice_address();
    boot.max_stop_ms_ = 200;
    // Another program may take a free address before it is used.
    for (auto attempts = 5; nodes_[node] == nullptr && attempts > 0;
         --attempts) {
      boot.client_address_ = testing::FreeAddress();
      boot.peer_address_ = testing::FreeAddress();
      auto created = platform::PlatformNode::Create(uv_default_loop(), boot);
      if (created.ok()) {
        nodes_[node] = *std::move(created);
      }
    }
    BOOST_REQUIRE(nodes_[node] != nullptr);
  }

  auto Call(const std::string& method, const std::string& id,
            const std::string& body, HttpClient::Callback callback) -> void {
    const auto& boot = boots_[static_cast<std::size_t>(Between(0, kNodes - 1))];
    client_.Send({boot.client_address_,
                  method,
                  "/q/" + id,
                  body,
                  "",
                  3000,
                  {},
                  "h.example"},
                 std::move(callback));
  }

  unsigned seed_;
  std::mt19937 random_;
  Millis began_ms_ = MonotonicMs();
  Millis next_fault_ms_ = began_ms_ + 500;
  Millis next_job_ms_ = began_ms_;
  Millis next_question_ms_ = began_ms_;
  testing::PlatformEmulator platform_{uv_default_loop()};
  HttpClient client_{uv_default_loop(), HttpClient::Options{}};
  std::vector<platform::BootFile> boots_;
  std::vector<std::unique_ptr<platform::PlatformNode>> nodes_;
  std::map<std::size_t, Millis> blocked_until_ms_;
  int submitted_ = 0;
  std::set<std::string> accepted_;
  std::set<std::string> refused_;
  std::set<std::string> ended_;
  std::vector<std::string> violations_;
};

// Guards against: an accepted job is lost, shown wrong or run twice while the
// store serves some instances only, loses answers and writes late.
BOOST_AUTO_TEST_CASE(accepted_jobs_end_whatever_the_store_does) {
  std::vector<std::unique_ptr<HarassedFleet>> fleets;
  for (auto seed = kFirstSeed; seed < kFirstSeed + kFleets; ++seed) {
    fleets.push_back(std::make_unique<HarassedFleet>(seed));
  }
  RunUntil([&] {
    auto is_over = true;
    for (auto& fleet : fleets) {
      is_over &= fleet->Advance();
    }
    return is_over;
  });
  std::size_t accepted = 0;
  for (auto& fleet : fleets) {
    accepted += fleet->accepted_count();
    BOOST_TEST_CONTEXT("seed " << fleet->seed()) {
      for (const auto& violation : fleet->violations()) {
        BOOST_ERROR(violation);
      }
    }
  }
  BOOST_TEST(accepted > 10U * kFleets);
}

}  // namespace lentilscale::fleet
