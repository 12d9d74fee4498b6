// The HTTP API for clients: submit a job, query its state, cancel it, and query
// the number of pending jobs of a queue.
//
// A job is accepted once it is stored. The owner of the fleet is notified at
// once; if the notification is lost, it finds the job in the store.
//
// Job states come from the owner, or from the store if the owner does not know
// the job or does not answer.
//
// While much work waits for its start, new jobs that could not be on time are
// refused (admission.h): nothing of them is stored, so they never run. A job
// that was accepted before is not affected.
//
// Requests are served only while the configuration is known to be recent, so
// that a revoked key also stops working on an instance that is partitioned from
// the store.

#ifndef LENTILSCALE_FLEET_CLIENT_API_H_
#define LENTILSCALE_FLEET_CLIENT_API_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/admission.h"
#include "fleet/config_watcher.h"
#include "fleet/fleet_metrics.h"
#include "fleet/job_record.h"
#include "fleet/record_store.h"
#include "lentilscale/http_server.h"

namespace lentilscale::fleet {

// Parses request bodies and formats response bodies.
struct ClientApiCodec {
  std::function<absl::StatusOr<JobRecord>(const std::string& body)> parse_job_;
  std::function<std::string(JobState)> encode_state_;
  std::function<std::string(std::int64_t jobs)> encode_pending_;
  std::function<std::string(const std::string& reason)> encode_error_;
};

// Calls to the owner of the fleet, which is this process or a peer. Queries
// call back with nullopt if the owner does not know or does not answer.
struct OwnerClient {
  // `revision` is that of the job's record in the store.
  std::function<void(const JobRecord&, std::int64_t revision)> notify_job_;
  std::function<void(const std::string& id)> notify_cancel_;
  std::function<void(const std::string& id,
                     std::function<void(std::optional<JobState>)>)>
      query_state_;
  std::function<void(const std::string& queue,
                     std::function<void(std::optional<std::int64_t>)>)>
      query_pending_;
  // Returns true if the store seems to have answered other instances since
  // `since_ms` (BootMs). Called when it does not answer this one.
  std::function<bool(Millis since_ms)> has_store_answered_others_;
};

class ClientApi {
 public:
  ClientApi(uv_loop_t* loop, RecordStore* store, const ConfigWatcher* config,
            ClientApiCodec codec, OwnerClient owner, Millis max_config_age_ms,
            Admission* admission, FleetMetrics* metrics);
  ~ClientApi() { *is_alive_ = false; }
  ClientApi(const ClientApi&) = delete;
  auto operator=(const ClientApi&) -> ClientApi& = delete;

  // Serves a client request.
  auto Handle(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
      -> void;
  // Returns true if the configuration is recent enough to serve requests.
  auto IsReady() const -> bool;

 private:
  using Reply = std::shared_ptr<HttpReply>;
  // The queue and the job that a request is for, and the team that sent it.
  struct RequestTarget {
    const Queue* queue_;
    // Empty if a request to a public queue carries no valid key.
    std::string team_;
    // The job's ID: the part of the path after the queue's prefix.
    std::string id_;
  };

  auto SubmitJob(const HttpRequest& request, const RequestTarget& target,
                 Reply reply) -> void;
  // Returns nullopt if the job is admitted, else the number of seconds after
  // which it should be submitted again.
  auto RefuseForLoad(const JobRecord& job, const Queue& queue)
      -> std::optional<int>;
  // Refuses the job, unless the store has it from an earlier submission.
  auto RefuseUnlessStored(const JobRecord& job, int retry_after_s,
                          Millis deadline_ms, Reply reply) -> void;
  // Stores `job`, retrying until `deadline_ms` while the outcome is unknown.
  // `may_be_stored` is true if an earlier attempt may have stored it.
  auto CommitJob(const JobRecord& job, Millis deadline_ms, bool may_be_stored,
                 Reply reply) -> void;
  auto ReplyWithState(const std::string& id, Reply reply) -> void;
  auto ReplyWithStoredState(const std::string& id, Reply reply) -> void;
  auto CancelJob(const std::string& id, Reply reply) -> void;
  // Stores the cancellation of the job whose record has `job_revision`.
  auto CommitCancel(const std::string& id, std::int64_t job_revision,
                    Millis deadline_ms, Reply reply) -> void;
  auto ReplyWithPending(const Queue& queue, Reply reply) -> void;
  // Returns true if a write got no answer and the store has answered no
  // configuration call sent since.
  auto IsStoreUnresponsive() const -> bool;
  // Returns the number of seconds after which a refused client should retry.
  auto RetryAfterS() const -> int;
  // `retry_after_s` replaces what RetryAfterS returns.
  auto Refuse(const Reply& reply, int status, const std::string& id,
              const std::string& reason,
              std::optional<int> retry_after_s = std::nullopt) -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  const ConfigWatcher* config_;
  ClientApiCodec codec_;
  OwnerClient owner_;
  Millis max_config_age_ms_;
  Admission* admission_;
  FleetMetrics* metrics_;
  // When the first failed write since the last success was sent; 0 if none.
  Millis first_failed_write_ms_ = 0;
  // When the latest write without an answer was sent; 0 once a later one has
  // been answered. While the store does not answer, the outcome of new writes
  // would be unknown, so new jobs are refused.
  Millis last_unanswered_write_ms_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CLIENT_API_H_
