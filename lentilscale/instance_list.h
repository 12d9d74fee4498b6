// The platform's list of live and leaving instances.
//
//   InstanceList list(&client, "127.0.0.1:2379");
//   list.Read([](const std::vector<WorkerInfo>* workers) { ... });
//
// The platform is asked for what changed since the version that was read last,
// so that a list of thousands costs its size once. The list lags; its users
// treat it as a hint and the workers' own answers as the truth.

#ifndef LENTILSCALE_INSTANCE_LIST_H_
#define LENTILSCALE_INSTANCE_LIST_H_

#include <functional>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "lentilscale/http_client.h"
#include "lentilscale/worker_protocol.h"

namespace lentilscale {

// Access to the list.
class InstanceList {
 public:
  // Called with the whole list, or with nullptr if the platform did not answer
  // or nothing changed.
  using Callback = std::function<void(const std::vector<WorkerInfo>* workers)>;

  // A list read over HTTP: GET /v1/instances?since=VERSION answers
  // {"version": N, "full": bool, "instances": [...], "removed": [ids]}.
  InstanceList(HttpClient* client, std::string address)
      : source_(Remote{client, std::move(address)}) {}
  // A fixed list.
  explicit InstanceList(std::vector<WorkerInfo> workers)
      : source_(std::move(workers)) {}

  auto Read(Callback callback) -> void;

 private:
  struct Remote {
    HttpClient* client_;
    std::string address_;
  };

  auto ReadRemote(const Remote& remote, Callback callback) -> void;
  auto Apply(const std::string& text) -> bool;

  std::variant<Remote, std::vector<WorkerInfo>> source_;
  std::map<std::string, WorkerInfo, std::less<>> known_;
  std::int64_t version_ = 0;
  bool is_reading_ = false;
  bool is_fixed_given_ = false;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_INSTANCE_LIST_H_
