// Request ids name team and run, so that the stand-ins' record alone tells for
// whom work ran and how often.

#include "lentilscale/load_run.h"

#include <fmt/format.h>
#include <signal.h>

#include <chrono>
#include <sstream>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr Millis kSampleMs = 100;
constexpr Millis kTicketPollMs = 200;
constexpr Millis kProgressMs = 1000;
constexpr Millis kFinishGraceMs = 8000;
constexpr Millis kTransportGraceMs = 2000;
constexpr Millis kControlTimeoutMs = 2000;
constexpr Millis kRepeatDelayMs = 30;
constexpr std::int64_t kMaxAttempts = 3;

}  // namespace

LoadRun::LoadRun(uv_loop_t* loop, LoadExperiment experiment,
                 LoadTargets targets)
    : loop_(loop),
      experiment_(std::move(experiment)),
      targets_(std::move(targets)),
      client_(loop, {}),
      random_(experiment_.seed_) {
  if (!targets_.record_.empty()) {
    record_.open(targets_.record_, std::ios::app);
  }
  run_id_ = fmt::format("{:x}", WallMs());
}

auto LoadRun::Now() const -> double {
  using Milli = std::chrono::duration<double, std::milli>;
  return Milli(std::chrono::steady_clock::now().time_since_epoch()).count() -
         start_ms_;
}

auto LoadRun::Record(Json::Value event) -> void {
  if (record_.is_open()) {
    event["t_ms"] = Json::Int64(WallMs());
    record_ << DumpJson(event) << '\n';
  }
}

auto LoadRun::PickEntry() -> std::string {
  return targets_.entries_[random_() % targets_.entries_.size()];
}

auto LoadRun::Exponential(double mean) -> double {
  return std::exponential_distribution<double>(1.0 / mean)(random_);
}

auto LoadRun::Percent() -> std::int64_t {
  return static_cast<std::int64_t>(random_() % 100);
}

auto LoadRun::Start(std::function<void()> done) -> void {
  done_ = std::move(done);
  start_ms_ = 0;
  start_ms_ = Now();
  result_.seconds_ = experiment_.seconds_ - experiment_.warm_up_s_;
  for (const auto& plan : experiment_.teams_) {
    if (plan.calls_per_s_ > 0) {
      ScheduleCall(plan);
    }
    if (plan.jobs_per_s_ > 0) {
      ScheduleJob(plan);
    }
  }
  for (const auto& fault : experiment_.faults_) {
    RunAfter(loop_, static_cast<Millis>(fault.at_s_ * 1000),
             [this, &fault] { RunFault(fault); });
  }
  const auto every = [this](Millis period, std::function<void()> function) {
    timers_.push_back(
        std::make_unique<RepeatingTimer>(loop_, period, std::move(function)));
  };
  if (!targets_.workers_.empty()) {
    every(kSampleMs, [this] { Sample(); });
  }
  if (!targets_.operator_key_.empty()) {
    every(kTicketPollMs, [this] { PollTickets(); });
  }
  if (targets_.shows_progress_) {
    every(kProgressMs, [this] {
      fmt::print(stderr, "{:5.0f} s of {:.0f}: {} open\n", Now() / 1000,
                 experiment_.seconds_, open_);
    });
  }
  RunAfter(loop_, static_cast<Millis>(experiment_.seconds_ * 1000), [this] {
    is_over_ = true;
    finish_by_ms_ = MonotonicMs() + kFinishGraceMs;
    timers_.push_back(std::make_unique<RepeatingTimer>(loop_, kSampleMs,
                                                       [this] { Finish(); }));
  });
}

auto LoadRun::IsSending(const TeamLoadPlan& plan) const -> bool {
  const auto at_s = Now() / 1000;
  return !is_over_ && at_s >= plan.from_s_ &&
         (plan.until_s_ == 0 || at_s < plan.until_s_);
}

// The next arrival is counted from the time at which this one was due, so
// that a busy loop does not thin the load out.
auto LoadRun::ScheduleCall(const TeamLoadPlan& plan) -> void {
  auto due = std::make_shared<double>(Now());
  auto step = std::make_shared<std::function<void()>>();
  *step = [this, &plan, due, step] {
    while (*due <= Now()) {
      if (IsSending(plan)) {
        SendCall(plan);
      }
      *due += Exponential(1000.0 / plan.calls_per_s_);
    }
    if (!is_over_) {
      RunAfter(loop_, std::max<Millis>(static_cast<Millis>(*due - Now()), 1),
               *step);
    } else {
      RunAfter(loop_, 0, [step] { *step = nullptr; });
    }
  };
  (*step)();
}

auto LoadRun::ScheduleJob(const TeamLoadPlan& plan) -> void {
  if (is_over_) {
    return;
  }
  const auto wait = Exponential(1000.0 / plan.jobs_per_s_);
  RunAfter(loop_, static_cast<Millis>(wait), [this, &plan] {
    if (IsSending(plan)) {
      SendJob(plan);
    }
    ScheduleJob(plan);
  });
}

auto LoadRun::SendCall(const TeamLoadPlan& plan) -> void {
  auto sent = std::make_shared<Sent>();
  sent->plan_ = &plan;
  sent->is_idempotent_ = Percent() < plan.idempotent_percent_;
  const auto is_urgent = Percent() < plan.urgent_percent_;
  sent->class_ = is_urgent ? "urgent" : "call";
  sent->is_counted_ = Now() / 1000 >= experiment_.warm_up_s_;
  sent->issued_wall_ms_ = WallMs();
  sent->started_ms_ = Now();
  sent->request_id_ =
      fmt::format("{}-{}-{}-{}", sent->is_idempotent_ ? "i" : "n", plan.name_,
                  run_id_, ++next_id_);
  sent->echo_ = fmt::format("{:x}", random_());
  Json::Value body;
  body["request_id"] = sent->request_id_;
  body["idempotent"] = sent->is_idempotent_;
  body["urgent"] = is_urgent;
  body["issued_ms"] = Json::Int64(sent->issued_wall_ms_);
  body["deadline_ms"] = Json::Int64(plan.deadline_ms_);
  body["class"] = "call";
  body["need"]["cpu_milli"] = Json::Int64(plan.cpu_milli_);
  body["need"]["memory_mb"] = Json::Int64(plan.memory_mb_);
  body["work"]["run_ms"] = Json::Int64(
      static_cast<Millis>(Exponential(std::max(plan.run_ms_, 0.001))));
  body["work"]["cpu_milli"] =
      Json::Int64(plan.cpu_milli_ * plan.real_percent_ / 100);
  body["work"]["memory_mb"] =
      Json::Int64(plan.memory_mb_ * plan.real_percent_ / 100);
  body["work"]["echo"] = sent->echo_;
  sent->body_ = DumpJson(body);
  if (sent->is_counted_) {
    ++result_.classes_[sent->class_].sent_;
  }
  ++open_;
  Post(sent);
  const auto is_repeated =
      !sent->is_idempotent_ && Percent() < plan.repeat_percent_;
  if (is_repeated) {
    // A second copy through another instance, as after a lost connection.
    auto copy = std::make_shared<Sent>(*sent);
    copy->is_counted_ = false;
    copy->attempt_ = 2;
    ++open_;
    RunAfter(loop_, kRepeatDelayMs, [this, copy] { Post(copy); });
  }
}

auto LoadRun::Post(const std::shared_ptr<Sent>& sent) -> void {
  auto body = ParseJson(sent->body_);
  body["attempt"] = Json::Int64(sent->attempt_);
  Json::Value event;
  event["event"] = "send";
  event["request_id"] = sent->request_id_;
  event["team"] = sent->plan_->name_;
  event["key"] = sent->plan_->key_;
  event["attempt"] = Json::Int64(sent->attempt_);
  Record(event);
  client_.Send(
      {PickEntry(), "POST", "/v1/services/" + sent->plan_->service_ + "/calls",
       DumpJson(body), sent->plan_->key_,
       sent->plan_->deadline_ms_ + kTransportGraceMs},
      [this, sent](const HttpResult& http) { OnAnswer(sent, http); });
}

auto LoadRun::OnAnswer(const std::shared_ptr<Sent>& sent,
                       const HttpResult& http) -> void {
  const auto can_try_again = sent->attempt_ < kMaxAttempts && !is_over_;
  if (http.outcome_ == HttpOutcome::kNotSent && can_try_again) {
    // The balancer would have tried another instance; it was never sent.
    RunAfter(loop_, kRepeatDelayMs, [this, sent] { Post(sent); });
    return;
  }
  --open_;
  auto kind = std::string("cut");
  auto code = std::string("transport");
  auto wait = 0.0;
  auto reason = std::string();
  auto not_run = http.outcome_ == HttpOutcome::kNotSent;
  if (http.outcome_ == HttpOutcome::kAnswered) {
    try {
      const auto body = ParseJson(http.body_);
      code = GetString(body, "code", "");
      reason = GetString(body, "reason", "");
      not_run = GetBool(body, "not_run", false);
      kind = http.status_ == kHttpOk ? "answered"
             : not_run               ? "not_run"
                                     : "unknown";
      wait =
          static_cast<double>(GetInt(body, "wait_ms", 0, INT64_MIN, INT64_MAX));
      if (kind == "answered" && body["answer"]["echo"] != sent->echo_) {
        ++result_.wrong_answers_;
        kind = "wrong";
      }
    } catch (const Error&) {
      kind = "wrong";
      ++result_.wrong_answers_;
    }
  }
  Json::Value event;
  event["event"] = "outcome";
  event["request_id"] = sent->request_id_;
  event["team"] = sent->plan_->name_;
  event["attempt"] = Json::Int64(sent->attempt_);
  event["kind"] = kind;
  event["code"] = code;
  event["reason"] = reason;
  event["not_run"] = not_run;
  Record(event);
  if (!sent->is_counted_) {
    return;
  }
  auto& result = result_.classes_[sent->class_];
  if (kind == "answered") {
    ++result.answered_;
    result.waits_ms_.push_back(wait);
    result.latencies_ms_.push_back(Now() - sent->started_ms_);
    const auto second = static_cast<std::size_t>(Now() / 1000);
    if (result_.answered_by_second_.size() <= second) {
      result_.answered_by_second_.resize(second + 1);
    }
    ++result_.answered_by_second_[second];
    return;
  }
  ++result_.refusals_[code];
  result.not_run_ += kind == "not_run" ? 1 : 0;
  result.unknown_ += kind == "unknown" ? 1 : 0;
  result.cut_ += kind == "cut" ? 1 : 0;
}

auto LoadRun::SendJob(const TeamLoadPlan& plan) -> void {
  Json::Value body;
  body["job_id"] = fmt::format("{}-{}-{}", plan.name_, run_id_, ++next_id_);
  body["service"] = plan.service_;
  body["kind"] = plan.job_kind_;
  body["count"] = Json::Int64(plan.job_tasks_);
  body["class"] = "job-" + plan.job_kind_;
  body["urgent"] = Percent() < plan.job_urgent_percent_;
  body["need"]["slots"] = Json::Int64(plan.job_slots_);
  body["need"]["cpu_milli"] = Json::Int64(plan.job_cpu_milli_);
  body["need"]["memory_mb"] = Json::Int64(plan.job_memory_mb_);
  body["need"]["accelerators"] = Json::Int64(plan.job_accelerators_);
  body["work"]["run_ms"] = Json::Int64(static_cast<Millis>(
      std::max(Exponential(std::max(plan.job_run_ms_, 0.001)), 1.0)));
  body["work"]["cpu_milli"] =
      Json::Int64(plan.job_cpu_milli_ * plan.real_percent_ / 100);
  body["work"]["memory_mb"] =
      Json::Int64(plan.job_memory_mb_ * plan.real_percent_ / 100);
  ++open_;
  client_.Send({PickEntry(), "POST", "/v1/jobs", DumpJson(body), plan.key_,
                plan.deadline_ms_ + kTransportGraceMs},
               [this](const HttpResult& http) {
                 --open_;
                 const auto is_ok = http.outcome_ == HttpOutcome::kAnswered &&
                                    http.status_ == kHttpOk;
                 ++(is_ok ? result_.jobs_accepted_ : result_.jobs_refused_);
               });
}

auto LoadRun::PostFault(const std::string& address, const std::string& path,
                        const FaultPlan& fault) -> void {
  Json::Value body(Json::objectValue);
  for (const auto& [key, value] : fault.values_) {
    char* end = nullptr;
    const auto number = std::strtoll(value.c_str(), &end, 10);
    if (*end == '\0' && !value.empty()) {
      body[key] = Json::Int64(number);
    } else if (value == "true" || value == "false") {
      body[key] = value == "true";
    } else {
      body[key] = value;
    }
  }
  client_.Send({address, "POST", path, DumpJson(body), "", kControlTimeoutMs},
               [](const HttpResult& /*result*/) {});
}

auto LoadRun::RunFault(const FaultPlan& fault) -> void {
  Json::Value event;
  event["event"] = "fault";
  event["kind"] = fault.kind_;
  for (const auto& [key, value] : fault.values_) {
    event[key] = value;
  }
  Record(event);
  if (fault.kind_ == "store") {
    PostFault(targets_.platform_, "/fake/fault", fault);
  } else if (fault.kind_ == "workers") {
    PostFault(targets_.workers_, "/fake/worker", fault);
  } else if (fault.kind_ == "proxy") {
    PostFault(targets_.proxy_, "/fake/fault", fault);
  } else if (fault.kind_ == "signal") {
    const auto process = fault.values_.find("process");
    const auto number = fault.values_.find("signal");
    if (process != fault.values_.end() && number != fault.values_.end()) {
      const auto pid = targets_.pids_.find(process->second);
      if (pid != targets_.pids_.end()) {
        kill(pid->second, std::atoi(number->second.c_str()));
      }
    }
  }
}

auto LoadRun::Sample() -> void {
  client_.Send(
      {targets_.workers_, "GET", "/fake/load", "", "", kControlTimeoutMs},
      [this](const HttpResult& http) {
        if (http.outcome_ != HttpOutcome::kAnswered || is_over_ ||
            Now() / 1000 < experiment_.warm_up_s_) {
          return;
        }
        try {
          const auto body = ParseJson(http.body_);
          FleetSample sample;
          sample.at_s_ = Now() / 1000;
          sample.used_slots_ = GetInt(body, "used_slots", 0, 0, INT64_MAX);
          sample.slots_ = GetInt(body, "slots", 0, 0, INT64_MAX);
          for (const auto& [entry, queued] : queued_) {
            sample.queued_ += queued;
          }
          const auto teams = GetObject(body, "teams");
          for (const auto& name : teams.getMemberNames()) {
            sample.team_share_[name] = teams[name].asDouble();
          }
          result_.samples_.push_back(std::move(sample));
        } catch (const std::exception&) {
          // A sample that is missing is one fewer to average.
        }
      });
}

auto LoadRun::PollTickets() -> void {
  for (const auto& entry : targets_.entries_) {
    client_.Send({entry, "GET", "/v1/status", "", targets_.operator_key_,
                  kControlTimeoutMs},
                 [this, entry](const HttpResult& http) {
                   if (http.outcome_ != HttpOutcome::kAnswered ||
                       http.status_ != kHttpOk) {
                     return;
                   }
                   try {
                     const auto body = ParseJson(http.body_);
                     queued_[entry] = 0;
                     for (const auto& service : body["services"]) {
                       queued_[entry] += service["queued"].asInt64();
                     }
                     Json::Value event;
                     event["event"] = "ticket";
                     event["instance"] = body["id"];
                     event["number"] = body["ticket"];
                     Record(event);
                   } catch (const Error&) {
                     // The next poll tells.
                   }
                 });
  }
}

auto LoadRun::Finish() -> void {
  const auto is_finished = open_ <= 0 || MonotonicMs() >= finish_by_ms_;
  if (!is_finished || !done_) {
    return;
  }
  auto done = std::move(done_);
  done_ = nullptr;
  ReadMetrics([this, done] {
    timers_.clear();
    record_.flush();
    done();
  });
}

auto LoadRun::ReadMetrics(std::function<void()> done) -> void {
  auto left = std::make_shared<std::size_t>(targets_.entries_.size());
  for (const auto& entry : targets_.entries_) {
    client_.Send(
        {entry, "GET", "/metrics", "", "", kControlTimeoutMs},
        [this, entry, left, done](const HttpResult& http) {
          std::istringstream lines(http.body_);
          std::string name;
          double value = 0;
          for (std::string line; std::getline(lines, line);) {
            std::istringstream words(line);
            if (line.starts_with("lentilscale_") && words >> name >> value) {
              result_.metrics_[entry][name] = value;
            }
          }
          if (--*left == 0) {
            done();
          }
        });
  }
}

}  // namespace lentilscale
