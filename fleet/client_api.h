// What clients ask: hand a job in, its state, its cancellation, a queue's
// number of waiting jobs.
//
// A job counts as accepted when the store holds it; the owner of the fleet is
// told at once and would otherwise find it in the store. States come from the
// owner, or from the store while the owner does not know the job or does not
// answer. Requests are served only on a configuration that is proved to be
// recent, so that a withdrawn key stops working also on an instance that is
// cut off.

#ifndef LENTILSCALE_FLEET_CLIENT_API_H_
#define LENTILSCALE_FLEET_CLIENT_API_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet/config_watcher.h"
#include "fleet/fleet_metrics.h"
#include "fleet/job_record.h"
#include "fleet/record_store.h"
#include "lentilscale/http_server.h"

namespace lentilscale::fleet {

// How requests and answers look on the wire.
struct ClientApiCodec {
  std::function<absl::StatusOr<JobRecord>(const std::string& body)> parse_job_;
  std::function<std::string(JobState)> encode_state_;
  std::function<std::string(std::int64_t jobs)> encode_pending_;
  std::function<std::string(const std::string& reason)> encode_error_;
};

// The way to the owner of the fleet, in this process or at a peer.
struct OwnerClient {
  std::function<void(const JobRecord&)> notify_job_;
  std::function<void(const std::string& id)> notify_cancel_;
  std::function<void(const std::string& id,
                     std::function<void(std::optional<JobState>)>)>
      query_state_;
  std::function<void(const std::string& queue,
                     std::function<void(std::optional<std::int64_t>)>)>
      query_pending_;
  // Returns true if the store seems to have answered other instances since the
  // given time (BootMs), asked when it does not answer this one.
  std::function<bool(Millis since_ms)> has_store_answered_others_;
};

class ClientApi {
 public:
  ClientApi(uv_loop_t* loop, RecordStore* store, const ConfigWatcher* config,
            ClientApiCodec codec, OwnerClient owner, Millis max_config_age_ms,
            FleetMetrics* metrics);
  ~ClientApi() { *is_alive_ = false; }
  ClientApi(const ClientApi&) = delete;
  auto operator=(const ClientApi&) -> ClientApi& = delete;

  // Serves one request of a client.
  auto Handle(const HttpRequest& request, std::shared_ptr<HttpReply> reply)
      -> void;
  // Returns true if requests can be served now.
  auto IsReady() const -> bool;

 private:
  using Reply = std::shared_ptr<HttpReply>;
  struct RequestTarget {
    const Queue* queue_;
    std::string team_;
    // The rest of the path after the queue's prefix.
    std::string id_;
  };

  auto SubmitJob(const HttpRequest& request, const RequestTarget& target,
                 Reply reply) -> void;
  auto CommitJob(const JobRecord& job, Millis deadline_ms, bool may_be_stored,
                 Reply reply) -> void;
  auto ReplyWithState(const std::string& id, Reply reply) -> void;
  auto ReplyWithStoredState(const std::string& id, Reply reply) -> void;
  auto CancelJob(const std::string& id, Reply reply) -> void;
  auto CommitCancel(const std::string& id, Millis deadline_ms, Reply reply)
      -> void;
  auto ReplyWithPending(const Queue& queue, Reply reply) -> void;
  auto IsStoreUnresponsive() const -> bool;
  // Returns how long a refused client should wait, in seconds.
  auto RetryAfterS() const -> int;
  auto Refuse(const Reply& reply, int status, const std::string& id,
              const std::string& reason) -> void;

  uv_loop_t* loop_;
  RecordStore* store_;
  const ConfigWatcher* config_;
  ClientApiCodec codec_;
  OwnerClient owner_;
  Millis max_config_age_ms_;
  FleetMetrics* metrics_;
  // When the first write that failed since one succeeded was sent; 0 if none.
  Millis first_failed_write_ms_ = 0;
  // When the latest write without an answer was sent; 0 after one that was
  // answered. While the store is silent, new writes would only end with an
  // unknown outcome.
  Millis last_unanswered_write_ms_ = 0;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_CLIENT_API_H_
