// A job is accepted by one conditional write, so a repeated submission at any
// instance conflicts with the first one.
//
// A write without an answer may still be carried out later, so it is retried
// until the store answers. If it does not answer in time, the client gets 504:
// the outcome is unknown. 503 would say that the job was not accepted.
//
// So a job that is refused for load is looked up first: an earlier submission
// may have stored it. One read costs the store less than the write would.

#include "fleet/client_api.h"

#include <fmt/format.h>

#include <algorithm>

#include "fleet/job.h"
#include "fleet/store_keys.h"
#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

// Below the 3 s that clients wait for an answer.
constexpr Millis kCommitTimeoutMs = 2300;
constexpr Millis kCommitRetryMs = 120;
// Retry-After in seconds. A refused client usually retries at another instance.
// If only this instance cannot reach the store, it should do so at once.
constexpr int kRetryAfterElsewhereS = 0;
// If the store answers no instance, it is given time to recover.
constexpr int kRetryAfterS = 1;
// The configuration is confirmed at least this often while the store answers.
constexpr Millis kMaxConfigConfirmIntervalMs = 2000;
constexpr std::size_t kJobIdLength = 16;

auto IsJobId(const std::string& id) -> bool {
  return id.size() == kJobIdLength &&
         std::all_of(id.begin(), id.end(),
                     [](unsigned char c) { return std::isxdigit(c) != 0; });
}

}  // namespace

ClientApi::ClientApi(uv_loop_t* loop, RecordStore* store,
                     const ConfigWatcher* config, ClientApiCodec codec,
                     OwnerClient owner, Millis max_config_age_ms,
                     Admission* admission, FleetMetrics* metrics)
    : loop_(loop),
      store_(store),
      config_(config),
      codec_(std::move(codec)),
      owner_(std::move(owner)),
      max_config_age_ms_(max_config_age_ms),
      admission_(admission),
      metrics_(metrics) {}

auto ClientApi::IsReady() const -> bool {
  return config_->current() != nullptr && config_->AgeMs() < max_config_age_ms_;
}

auto ClientApi::Refuse(const Reply& reply, int status, const std::string& id,
                       const std::string& reason,
                       std::optional<int> retry_after_s) -> void {
  metrics_->Increment(FleetCounter::kRequestsRefused);
  const auto is_temporary = status == 503 || status == 429;
  const auto retry_s = is_temporary && !retry_after_s.has_value()
                           ? RetryAfterS()
                           : retry_after_s.value_or(0);
  LogEvent(Event::kFleetRequestRefused,
           {{"id", id},
            {"status", std::to_string(status)},
            {"reason", reason},
            {"retry_after_s", std::to_string(retry_s)},
            {"configuration_age_ms", std::to_string(config_->AgeMs())}});
  if (is_temporary) {
    reply->SendRetryLater(status, codec_.encode_error_(reason), retry_s);
  } else {
    reply->Send(status, codec_.encode_error_(reason));
  }
}

auto ClientApi::RetryAfterS() const -> int {
  const auto since_ms =
      IsReady() ? first_failed_write_ms_
                : config_->StoreAnsweredMs() + kMaxConfigConfirmIntervalMs;
  return since_ms != 0 && owner_.has_store_answered_others_(since_ms)
             ? kRetryAfterElsewhereS
             : kRetryAfterS;
}

auto ClientApi::Handle(const HttpRequest& request, Reply reply) -> void {
  if (!IsReady()) {
    // The queue's prefix is unknown without a configuration, so the last path
    // segment is logged as the job's ID.
    Refuse(reply, 503, request.path_.substr(request.path_.rfind('/') + 1),
           "no recent configuration");
    return;
  }
  const auto config = config_->current();
  const auto* queue = config->FindQueue(request.host_, request.path_);
  if (queue == nullptr) {
    Refuse(reply, 404, request.path_, "no such queue");
    return;
  }
  RequestTarget target;
  target.queue_ = queue;
  target.id_ = request.path_.substr(queue->prefix_.size());
  const auto* team = config->FindTeamByKey(request.bearer_);
  if (team != nullptr) {
    target.team_ = team->name_;
  }
  if (team == nullptr && !queue->is_public_) {
    Refuse(reply, 401, target.id_, "unknown key");
    return;
  }
  if (request.method_ == "GET" && target.id_.empty()) {
    ReplyWithPending(*queue, std::move(reply));
  } else if (!IsJobId(target.id_)) {
    Refuse(reply, request.method_ == "POST" ? 400 : 410, target.id_,
           "not a job's id");
  } else if (request.method_ == "POST") {
    SubmitJob(request, target, std::move(reply));
  } else if (request.method_ == "GET") {
    ReplyWithState(target.id_, std::move(reply));
  } else if (request.method_ == "DELETE") {
    CancelJob(target.id_, std::move(reply));
  } else {
    Refuse(reply, 405, target.id_, "method not allowed");
  }
}

auto ClientApi::SubmitJob(const HttpRequest& request,
                          const RequestTarget& target, Reply reply) -> void {
  auto job = codec_.parse_job_(request.body_);
  if (!job.ok()) {
    Refuse(reply, 400, target.id_, std::string(job.status().message()));
    return;
  }
  if (IsStoreUnresponsive()) {
    Refuse(reply, 503, target.id_, "the store does not answer");
    return;
  }
  job->id_ = target.id_;
  job->queue_ = target.queue_->name_;
  job->team_ = target.team_;
  job->accepted_ms_ = WallMs();
  const auto deadline_ms = BootMs() + kCommitTimeoutMs;
  if (const auto retry_after_s = RefuseForLoad(*job, *target.queue_)) {
    RefuseUnlessStored(*job, *retry_after_s, deadline_ms, std::move(reply));
  } else {
    CommitJob(*job, deadline_ms, false, std::move(reply));
  }
}

auto ClientApi::RefuseForLoad(const JobRecord& job, const Queue& queue)
    -> std::optional<int> {
  const auto now = BootMs();
  if (job.repeat_count_ > 0 || !admission_->MayRefuse(queue.name_, now)) {
    return std::nullopt;
  }
  const auto slack_ms = Job(job, ProgressRecord(), false).SlackMs(queue);
  return slack_ms.has_value() ? admission_->Refuse(queue.name_, *slack_ms, now)
                              : std::nullopt;
}

auto ClientApi::RefuseUnlessStored(const JobRecord& job, int retry_after_s,
                                   Millis deadline_ms, Reply reply) -> void {
  store_->Read(JobKey(job.id_), [this, job, retry_after_s, deadline_ms,
                                 reply](const ReadResult& result) {
    if (result.status_ == StoreStatus::kOk) {
      reply->Send(200, "{}");
    } else if (result.status_ == StoreStatus::kAbsent) {
      metrics_->Increment(FleetCounter::kRequestsRefusedForLoad);
      Refuse(reply, 503, job.id_, "the queue's work can't start in time",
             retry_after_s);
    } else {
      CommitJob(job, deadline_ms, false, reply);
    }
  });
}

auto ClientApi::IsStoreUnresponsive() const -> bool {
  return last_unanswered_write_ms_ != 0 &&
         config_->StoreAnsweredMs() < last_unanswered_write_ms_;
}

auto ClientApi::CommitJob(const JobRecord& job, Millis deadline_ms,
                          bool may_be_stored, Reply reply) -> void {
  Transaction transaction;
  transaction.conditions_ = {{JobKey(job.id_), 0}};
  transaction.puts_ = {{JobKey(job.id_), EncodeJob(job), 0}};
  store_->Commit(transaction, [this, job, deadline_ms, may_be_stored, reply,
                               sent_ms = BootMs()](const CommitResult& result) {
    if (result.status_ == StoreStatus::kOk ||
        result.status_ == StoreStatus::kConflict) {
      last_unanswered_write_ms_ = 0;
      first_failed_write_ms_ = 0;
    } else if (first_failed_write_ms_ == 0) {
      first_failed_write_ms_ = sent_ms;
    }
    if (result.status_ == StoreStatus::kOk) {
      const auto took_ms = BootMs() - (deadline_ms - kCommitTimeoutMs);
      metrics_->Increment(FleetCounter::kJobsAccepted);
      metrics_->Record(FleetLatency::kAccept, job.queue_,
                       static_cast<double>(took_ms));
      LogEvent(Event::kFleetJobAccepted,
               {{"job", job.id_},
                {"queue", job.queue_},
                {"team", job.team_},
                {"revision", std::to_string(result.revision_)},
                {"took_ms", std::to_string(took_ms)}});
      reply->Send(200, "{}");
      owner_.notify_job_(job, result.revision_);
      return;
    }
    if (result.status_ == StoreStatus::kConflict) {
      // Accepted by an earlier submission, whose record remains valid.
      reply->Send(200, "{}");
      return;
    }
    if (result.status_ == StoreStatus::kUnknown) {
      last_unanswered_write_ms_ = sent_ms;
    }
    const auto is_outcome_unknown =
        may_be_stored || result.status_ == StoreStatus::kUnknown;
    if (!is_outcome_unknown) {
      Refuse(reply, 503, job.id_, "the store refuses");
      return;
    }
    if (BootMs() >= deadline_ms) {
      Refuse(reply, 504, job.id_, "no answer from the store");
      return;
    }
    RunAfter(loop_, kCommitRetryMs,
             [this, job, deadline_ms, reply, alive = is_alive_] {
               if (*alive) {
                 CommitJob(job, deadline_ms, true, reply);
               }
             });
  });
}

auto ClientApi::ReplyWithState(const std::string& id, Reply reply) -> void {
  owner_.query_state_(id, [this, id, reply](std::optional<JobState> state) {
    if (state.has_value()) {
      reply->Send(200, codec_.encode_state_(*state));
      return;
    }
    ReplyWithStoredState(id, reply);
  });
}

auto ClientApi::ReplyWithStoredState(const std::string& id, Reply reply)
    -> void {
  store_->Read(JobKey(id), [this, id, reply](const ReadResult& job) {
    if (job.status_ == StoreStatus::kAbsent) {
      Refuse(reply, 410, id, "no such job");
      return;
    }
    if (job.status_ != StoreStatus::kOk) {
      Refuse(reply, 503, id, "neither the owner nor the store answers");
      return;
    }
    store_->Read(ProgressKey(id), [this, id, reply](const ReadResult& result) {
      auto state = JobState::kQueued;
      if (result.status_ == StoreStatus::kOk) {
        const auto progress = DecodeProgress(result.records_[0].value_);
        state = progress.ok() ? progress->state_ : state;
      } else if (result.status_ != StoreStatus::kAbsent) {
        Refuse(reply, 503, id, "the store refuses");
        return;
      }
      reply->Send(200, codec_.encode_state_(state));
    });
  });
}

auto ClientApi::CancelJob(const std::string& id, Reply reply) -> void {
  store_->Read(JobKey(id), [this, id, reply](const ReadResult& job) {
    if (job.status_ == StoreStatus::kAbsent) {
      Refuse(reply, 410, id, "no such job");
      return;
    }
    if (job.status_ != StoreStatus::kOk) {
      Refuse(reply, 503, id, "the store refuses");
      return;
    }
    CommitCancel(id, job.records_[0].revision_, BootMs() + kCommitTimeoutMs,
                 reply);
  });
}

auto ClientApi::CommitCancel(const std::string& id, std::int64_t job_revision,
                             Millis deadline_ms, Reply reply) -> void {
  Transaction transaction;
  // A write that is carried out late must not cancel a later job of that ID.
  transaction.conditions_ = {{JobKey(id), job_revision}};
  transaction.puts_ = {{CancelKey(id), "{}", 0}};
  store_->Commit(transaction, [this, id, job_revision, deadline_ms,
                               reply](const CommitResult& result) {
    if (result.status_ == StoreStatus::kOk) {
      LogEvent(Event::kFleetCancelAccepted,
               {{"job", id}, {"revision", std::to_string(result.revision_)}});
      reply->Send(200, "{}");
      owner_.notify_cancel_(id);
      return;
    }
    if (result.status_ == StoreStatus::kConflict) {
      Refuse(reply, 410, id, "the job was deleted");
      return;
    }
    if (BootMs() >= deadline_ms) {
      Refuse(reply, result.status_ == StoreStatus::kRefused ? 503 : 504, id,
             "no answer from the store");
      return;
    }
    RunAfter(loop_, kCommitRetryMs,
             [this, id, job_revision, deadline_ms, reply, alive = is_alive_] {
               if (*alive) {
                 CommitCancel(id, job_revision, deadline_ms, reply);
               }
             });
  });
}

auto ClientApi::ReplyWithPending(const Queue& queue, Reply reply) -> void {
  owner_.query_pending_(queue.name_, [this, name = queue.name_,
                                      reply](std::optional<std::int64_t> jobs) {
    if (jobs.has_value()) {
      reply->Send(200, codec_.encode_pending_(*jobs));
    } else {
      Refuse(reply, 503, name, "the owner of the fleet does not answer");
    }
  });
}

}  // namespace lentilscale::fleet
