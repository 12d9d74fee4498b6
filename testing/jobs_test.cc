#define BOOST_TEST_MODULE jobs
#include <boost/test/unit_test.hpp>

#include "lentilscale/error.h"
#include "lentilscale/job.h"
#include "lentilscale/json.h"
#include "lentilscale/worker_model.h"
#include "lentilscale/worker_session.h"

namespace lentilscale {
namespace {

auto Spec(JobKind kind, std::int64_t count) -> JobSpec {
  JobSpec spec;
  spec.id_ = "j";
  spec.team_ = "t";
  spec.service_ = "s";
  spec.kind_ = kind;
  spec.count_ = count;
  spec.need_ = {1, 100, 100, 0};
  spec.max_failures_ = 2;
  return spec;
}

auto Event(std::int64_t index, std::int64_t attempt, TaskEventKind kind,
           EndStatus status = EndStatus::kOk) -> TaskEvent {
  return {{"j", index, attempt, "home", 1}, kind, status, 0, "x", "w"};
}

BOOST_AUTO_TEST_CASE(BatchTasksEndOnceAndFailuresAreBounded) {
  auto job = Job::Create(Spec(JobKind::kBatch, 2), "home", 0);
  job.MarkOffered(0, 1, "x");
  job.MarkOffered(1, 2, "x");
  job.OnEvent(Event(0, 1, TaskEventKind::kStarted), 1);
  job.OnEvent(Event(0, 1, TaskEventKind::kEnded), 2);
  BOOST_TEST(job.is_dirty());
  BOOST_TEST(job.Counts().done_ == 1);
  // A repeat and an old attempt change nothing.
  job.OnEvent(Event(0, 1, TaskEventKind::kEnded, EndStatus::kFailed), 3);
  BOOST_TEST(job.Counts().done_ == 1);
  for (auto attempt = 2; attempt < 4; ++attempt) {
    job.MarkOffered(1, attempt, "x");
    job.OnEvent(Event(1, attempt, TaskEventKind::kEnded, EndStatus::kFailed),
                4);
  }
  BOOST_TEST(job.Counts().failed_ == 1);
  BOOST_TEST((job.state() == JobState::kEnded));
}

BOOST_AUTO_TEST_CASE(RecordsKeepEndsOnly) {
  auto job = Job::Create(Spec(JobKind::kBatch, 3), "home", 0);
  job.MarkOffered(0, 1, "x");
  job.OnEvent(Event(0, 1, TaskEventKind::kEnded), 2);
  job.MarkOffered(1, 2, "x");
  const auto read = Job::FromRecord(ParseJson(DumpJson(job.ToRecord())));
  BOOST_TEST(read.Counts().done_ == 1);
  BOOST_TEST(read.Counts().pending_ == 2);
}

BOOST_AUTO_TEST_CASE(AnAllAtOnceJobRestartsWhole) {
  auto job = Job::Create(Spec(JobKind::kAllAtOnce, 3), "home", 0);
  for (auto i = 0; i < 3; ++i) {
    job.MarkOffered(i, 1 + i, "x");
    job.OnEvent(Event(i, 1 + i, TaskEventKind::kStarted), 1);
  }
  job.OnEvent(Event(0, 1, TaskEventKind::kLost), 2);
  BOOST_TEST(job.TasksToStop().size() == 2U);
  job.OnEvent(Event(1, 2, TaskEventKind::kEnded, EndStatus::kStopped), 3);
  job.OnEvent(Event(2, 3, TaskEventKind::kEnded, EndStatus::kStopped), 3);
  BOOST_TEST(job.PendingTasks(9, 1000).size() == 3U);
}

// Seeds 1, 2 and 11 of the chaos schedules: a task offered in the same
// millisecond as the question was taken for lost.
BOOST_AUTO_TEST_CASE(ReconcilingLeavesLaterOffersAlone) {
  auto job = Job::Create(Spec(JobKind::kBatch, 3), "home", 0);
  job.MarkOffered(0, 1, "x");
  job.MarkOffered(1, 2, "x");
  const auto since = job.change_count();
  job.MarkOffered(2, 3, "x");
  Job::Report report{Event(1, 2, TaskEventKind::kStarted), true};
  job.Reconcile({report}, since, 0);
  BOOST_TEST((job.tasks()[0].state_ == TaskState::kPending));
  BOOST_TEST((job.tasks()[1].state_ == TaskState::kRunning));
  BOOST_TEST((job.tasks()[2].state_ == TaskState::kOffered));
}

BOOST_AUTO_TEST_CASE(ServicesRollWithinTheirBound) {
  auto spec = Spec(JobKind::kService, 4);
  spec.version_ = "1";
  auto job = Job::Create(spec, "home", 0);
  for (auto i = 0; i < 4; ++i) {
    job.MarkOffered(i, 1 + i, "x");
    job.OnEvent(Event(i, 1 + i, TaskEventKind::kStarted), 1);
  }
  spec.version_ = "2";
  spec.max_unavailable_ = 2;
  job.Update(spec);
  BOOST_TEST(job.TasksToStop().size() == 2U);
  job.OnEvent(Event(0, 1, TaskEventKind::kEnded, EndStatus::kStopped), 2);
  BOOST_TEST(job.TasksToStop().size() == 1U);
  spec.count_ = 2;
  job.Update(spec);
  job.OnEvent(Event(3, 4, TaskEventKind::kEnded, EndStatus::kStopped), 3);
  BOOST_TEST((job.tasks()[3].state_ == TaskState::kCancelled));
}

constexpr Resources kCapacity{2, 1000, 1000, 0};

auto Start(const std::string& key, std::int64_t epoch, Millis run_ms)
    -> StartRequest {
  StartRequest request;
  request.key_ = key;
  request.epoch_ = epoch;
  request.need_ = {1, 100, 100, 0};
  request.payload_["run_ms"] = Json::Int64(run_ms);
  return request;
}

auto Renewal(std::int64_t epoch, Millis echo) -> SessionRequest {
  SessionRequest request;
  request.owner_ = "o";
  request.epoch_ = epoch;
  request.session_ttl_ms_ = 1000;
  request.echoed_clock_ms_ = echo;
  return request;
}

BOOST_AUTO_TEST_CASE(WorkersFenceByEpoch) {
  WorkerModel worker("w", kCapacity, nullptr);
  worker.OnSession(Renewal(2, 0), 100);
  BOOST_CHECK_THROW(worker.OnSession(Renewal(1, 0), 110), Error);
  BOOST_CHECK_THROW(worker.OnStart(Start("k", 1, 10), false, 110), Error);
  worker.OnStart(Start("k", 2, 10), false, 110);
  worker.OnStart(Start("k", 2, 10), false, 111);
  BOOST_TEST(worker.running() == 1U);
  const auto answer = worker.OnSession(Renewal(3, 0), 112);
  BOOST_TEST(answer.running_.size() == 1U);
}

BOOST_AUTO_TEST_CASE(ADelayedRenewalExtendsNothing) {
  WorkerModel worker("w", kCapacity, nullptr);
  worker.OnSession(Renewal(1, 0), 100);
  worker.OnStart(Start("k", 1, 0), false, 110);
  // Sent with the clock of 100, but arriving at 1050.
  worker.OnSession(Renewal(1, 100), 1050);
  worker.Tick(1099);
  BOOST_TEST(worker.running() == 1U);
  worker.Tick(1100);
  BOOST_TEST(worker.running() == 0U);
}

BOOST_AUTO_TEST_CASE(CancellingProvesThatAStartDidNotHappen) {
  WorkerModel worker("w", kCapacity, nullptr);
  auto request = Renewal(1, 0);
  worker.OnSession(request, 100);
  request.cancel_keys_ = {"k"};
  const auto answer = worker.OnSession(request, 110);
  BOOST_REQUIRE(answer.ended_.size() == 1U);
  BOOST_TEST((answer.ended_[0].status_ == EndStatus::kNeverStarted));
  BOOST_CHECK_THROW(worker.OnStart(Start("k", 1, 10), true, 120), Error);
  // Seed 16 of the chaos schedules: a restart makes the proof void, and the
  // worker says that it restarted.
  const auto incarnation = answer.incarnation_;
  worker.Restart();
  BOOST_TEST(worker.OnSession(Renewal(1, 0), 130).incarnation_ != incarnation);
}

BOOST_AUTO_TEST_CASE(WorkersRefuseWhatDoesNotFit) {
  WorkerModel worker("w", kCapacity, nullptr);
  worker.OnSession(Renewal(1, 0), 100);
  worker.OnStart(Start("a", 1, 50), false, 100);
  worker.OnStart(Start("b", 1, 50), false, 100);
  BOOST_CHECK_THROW(worker.OnStart(Start("c", 1, 50), false, 100), Error);
}

BOOST_AUTO_TEST_CASE(SessionsKnowTheirLatestEnd) {
  const WorkerSession::Options options{"o", 10000, 2000, 300, 200};
  WorkerSession session({}, "s", 1, options, 0);
  auto request = session.BeginRequest();
  SessionAnswer answer;
  answer.clock_ms_ = 77;
  answer.sequence_ = 1;
  BOOST_TEST(session.OnAnswer(request, answer, 1000));
  BOOST_TEST(session.LatestExpiryMs() == 1000 + 10200);
  request = session.BeginRequest();
  BOOST_TEST(request.echoed_clock_ms_ == 77);
  BOOST_TEST(request.max_wait_ms_ == 2000);
  // A stop interrupts the renewal that the worker holds.
  BOOST_TEST(!session.IsRequestDue(1500));
  session.Stop("k");
  BOOST_TEST(session.IsRequestDue(1500));
  const auto urgent = session.BeginRequest();
  BOOST_TEST(urgent.max_wait_ms_ == 0);
  answer.sequence_ = 3;
  answer.clock_ms_ = 90;
  BOOST_TEST(session.OnAnswer(urgent, answer, 1600));
  // The held one was answered earlier and arrives later: it says nothing.
  answer.sequence_ = 2;
  answer.clock_ms_ = 80;
  BOOST_TEST(!session.OnAnswer(request, answer, 1700));
  request = session.BeginRequest();
  session.OnFailure(request, 2000);
  BOOST_TEST(!session.MarkLostIfExpired(11799));
  BOOST_TEST(session.MarkLostIfExpired(11800));
  BOOST_TEST(!session.MarkLostIfExpired(11801));
}

}  // namespace
}  // namespace lentilscale
