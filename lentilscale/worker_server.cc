// One timer serves all workers, so work ends at most one timer period late.

#include "lentilscale/worker_server.h"

#include <fmt/format.h>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/refusal.h"

namespace lentilscale {
namespace {

constexpr Millis kTickIntervalMs = 2;
// Minimum time between two session answers; ends in between share an answer.
constexpr Millis kMinAnswerIntervalMs = 5;
constexpr std::size_t kMaxBodyBytes = 8U << 20U;
constexpr auto kHttpOk = 200;
constexpr std::uint64_t kIdleTimeoutMs = 60000;

}  // namespace

WorkerServer::WorkerServer(uv_loop_t* loop, WorkerModel::Recorder recorder)
    : loop_(loop), recorder_(std::move(recorder)) {
  timer_ = std::make_unique<RepeatingTimer>(loop, kTickIntervalMs,
                                            [this] { Tick(); });
}

auto WorkerServer::Add(const std::string& id, const Resources& capacity,
                       int port) -> absl::StatusOr<std::string> {
  auto worker = std::make_unique<Worker>();
  worker->model_ = std::make_unique<WorkerModel>(id, capacity, recorder_);
  auto* raw = worker.get();
  auto server = HttpServer::Listen(
      loop_, "127.0.0.1", port, {kMaxBodyBytes, kIdleTimeoutMs},
      [this, raw](const HttpRequest& request,
                  std::shared_ptr<HttpReply> reply) {
        Serve(*raw, request, std::move(reply));
      });
  if (!server.ok()) {
    return server.status();
  }
  worker->server_ = std::move(*server);
  const auto address = fmt::format("127.0.0.1:{}", worker->server_->port());
  workers_[id] = std::move(worker);
  return address;
}

auto WorkerServer::Find(const std::string& id) -> WorkerModel* {
  const auto it = workers_.find(id);
  return it == workers_.end() ? nullptr : it->second->model_.get();
}

auto WorkerServer::SetUnresponsive(const std::string& id, bool is_unresponsive)
    -> void {
  const auto it = workers_.find(id);
  if (it != workers_.end()) {
    it->second->is_unresponsive_ = is_unresponsive;
  }
}

auto WorkerServer::Serve(Worker& worker, const HttpRequest& request,
                         std::shared_ptr<HttpReply> reply) -> void {
  if (worker.is_unresponsive_) {
    worker.withheld_replies_.push_back(std::move(reply));
    return;
  }
  const auto now = MonotonicMs();
  TickWorker(worker);
  try {
    const auto body = ParseJson(request.body_);
    if (request.path_ == "/v1/session") {
      ServeSession(worker, SessionRequest::FromJson(body), reply);
    } else if (request.path_ == "/v1/start") {
      worker.model_->OnStart(StartRequest::FromJson(body), false, now);
      reply->Send(kHttpOk, R"({"started":true})");
    } else if (request.path_ == "/v1/call") {
      const auto start = StartRequest::FromJson(body);
      worker.model_->OnStart(start, true, now);
      worker.open_calls_[start.key_] = std::move(reply);
      TickWorker(worker);
    } else {
      throw Error(ErrorCode::kNotFound, "no such path");
    }
  } catch (const Error& e) {
    reply->Send(e.info().http_status_,
                DumpJson(MakeRefusal(e.code(), e.what())));
  }
}

auto WorkerServer::AnswerSession(Worker& worker, HttpReply& reply,
                                 const SessionAnswer& answer) -> void {
  worker.answered_change_count_ = worker.model_->change_count();
  worker.last_answer_ms_ = MonotonicMs();
  reply.Send(kHttpOk, DumpJson(answer.ToJson()));
}

auto WorkerServer::ServeSession(Worker& worker, const SessionRequest& request,
                                std::shared_ptr<HttpReply> reply) -> void {
  const auto now = MonotonicMs();
  const auto answer = worker.model_->OnSession(request, now);
  if (worker.held_renewal_ != nullptr) {
    AnswerSession(worker, *worker.held_renewal_,
                  worker.model_->BuildRenewalAnswer(now));
    worker.held_renewal_ = nullptr;
  }
  const auto has_changes =
      worker.model_->change_count() != worker.answered_change_count_;
  if (request.max_wait_ms_ == 0 || request.echoed_clock_ms_ == 0 ||
      has_changes || worker.model_->IsForFormerIncarnation(request)) {
    AnswerSession(worker, *reply, answer);
    return;
  }
  worker.held_renewal_ = std::move(reply);
  worker.hold_deadline_ms_ = now + request.max_wait_ms_;
}

auto WorkerServer::TickWorker(Worker& worker) -> void {
  for (const auto& ended : worker.model_->Tick(MonotonicMs())) {
    const auto it = worker.open_calls_.find(ended.key_);
    if (it == worker.open_calls_.end()) {
      continue;
    }
    if (it->second->IsGone()) {
      worker.model_->OnCallAnswerUndelivered();
    } else if (worker.is_unresponsive_) {
      worker.withheld_replies_.push_back(it->second);
    } else {
      it->second->Send(kHttpOk, DumpJson(ended.call_answer_));
    }
    worker.open_calls_.erase(it);
  }
  const auto now = MonotonicMs();
  const auto has_changes =
      worker.model_->change_count() != worker.answered_change_count_ &&
      now - worker.last_answer_ms_ >= kMinAnswerIntervalMs;
  if (worker.held_renewal_ != nullptr && !worker.is_unresponsive_ &&
      (has_changes || now >= worker.hold_deadline_ms_)) {
    const auto held = std::move(worker.held_renewal_);
    worker.held_renewal_ = nullptr;
    AnswerSession(worker, *held, worker.model_->BuildRenewalAnswer(now));
  }
}

auto WorkerServer::Tick() -> void {
  for (auto& [id, worker] : workers_) {
    TickWorker(*worker);
  }
}

}  // namespace lentilscale
