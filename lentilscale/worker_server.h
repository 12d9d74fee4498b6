// Serves WorkerModels over HTTP, each on its own port.
//
//   WorkerServer server(loop, recorder);
//   auto address = server.Add("w1", capacity, 0);
//
// It is part of the embedded mode of lentild and of the workers' stand-in.

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

// A set of workers in one process.
class WorkerServer {
 public:
  WorkerServer(uv_loop_t* loop, WorkerModel::Recorder recorder);

  // Adds a worker that listens on `port` of 127.0.0.1; 0 takes a free one.
  // Returns its address.
  auto Add(const std::string& id, const Resources& capacity, int port)
      -> absl::StatusOr<std::string>;

  // Returns the model of a worker, or nullptr.
  auto Find(const std::string& id) -> WorkerModel*;
  // Makes a worker answer nothing, or answer again.
  auto SetUnresponsive(const std::string& id, bool is_unresponsive) -> void;

 private:
  struct Worker {
    std::unique_ptr<WorkerModel> model_;
    std::unique_ptr<HttpServer> server_;
    std::map<std::string, std::shared_ptr<HttpReply>> open_calls_;
    std::vector<std::shared_ptr<HttpReply>> withheld_replies_;
    bool is_unresponsive_ = false;
    // The renewal whose answer is held.
    std::shared_ptr<HttpReply> held_renewal_;
    Millis hold_deadline_ms_ = 0;
    // Value of the model's change counter in the latest answer.
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
