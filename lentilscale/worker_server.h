// Serves WorkerModels over HTTP, each on its own port.
//
//   WorkerServer server(loop, recorder);
//   auto address = server.Add("w1", capacity, 0);
//
// The embedded mode of lentild and the simulated workers of the tests
// (testing/fake_workers.cc) use it.

#ifndef LENTILSCALE_WORKER_SERVER_H_
#define LENTILSCALE_WORKER_SERVER_H_

#include <absl/status/statusor.h>

#include <map>
#include <memory>
#include <string>

#include "lentilscale/http_server.h"
#include "lentilscale/timer.h"
#include "lentilscale/worker_model.h"

namespace lentilscale {

// Runs simulated workers in one process, each with its own HTTP server.
class WorkerServer {
 public:
  WorkerServer(uv_loop_t* loop, WorkerModel::Recorder recorder);

  // Adds a worker that listens on `port` of 127.0.0.1, or on a free port if
  // `port` is 0. Returns the worker's address.
  auto Add(const std::string& id, const Resources& capacity, int port)
      -> absl::StatusOr<std::string>;

  // Returns the model of the worker `id`, or nullptr if there is none.
  auto Find(const std::string& id) -> WorkerModel*;
  // Makes a worker accept requests without answering, or answer again.
  auto SetUnresponsive(const std::string& id, bool is_unresponsive) -> void;

 private:
  struct Worker {
    std::unique_ptr<WorkerModel> model_;
    std::unique_ptr<HttpServer> server_;
    // Replies to the calls that have not ended, by key.
    std::map<std::string, std::shared_ptr<HttpReply>> open_calls_;
    // Replies that are kept open and never sent, because the worker was
    // unresponsive.
    std::vector<std::shared_ptr<HttpReply>> withheld_replies_;
    bool is_unresponsive_ = false;
    // Reply to the renewal whose answer is held.
    std::shared_ptr<HttpReply> held_renewal_;
    // Latest time at which the held renewal is answered.
    Millis hold_deadline_ms_ = 0;
    // The model's change count at the latest session answer.
    std::int64_t answered_change_count_ = 0;
    Millis last_answer_ms_ = 0;
  };

  auto Serve(Worker& worker, const HttpRequest& request,
             std::shared_ptr<HttpReply> reply) -> void;
  auto ServeSession(Worker& worker, const SessionRequest& request,
                    std::shared_ptr<HttpReply> reply) -> void;
  auto AnswerSession(Worker& worker, HttpReply& reply,
                     const SessionAnswer& answer) -> void;
  auto Tick() -> void;
  auto TickWorker(Worker& worker) -> void;

  uv_loop_t* loop_;
  WorkerModel::Recorder recorder_;
  std::map<std::string, std::unique_ptr<Worker>, std::less<>> workers_;
  std::unique_ptr<RepeatingTimer> timer_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_WORKER_SERVER_H_
