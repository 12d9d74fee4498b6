// Balances calls to the advice service over the instances.
//
// The service handles one call at a time per calling machine and takes up to
// half a second for it, so each instance provides one slot, which takes one
// long call or a few urgent ones. Some slots are reserved for urgent steps,
// whose short calls must not wait behind long ones.

#ifndef LENTILSCALE_FLEET_ADVICE_BALANCER_H_
#define LENTILSCALE_FLEET_ADVICE_BALANCER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/worker_gateway.h"

namespace lentilscale::fleet {

// One call to the advice service.
struct AdviceRequest {
  // The step's name, "JOB.OCCURRENCE.STEP".
  std::string step_name_;
  std::vector<std::string> worker_ids_;
  // Time that the service is expected to take.
  Millis expected_ms_ = 0;
  bool is_urgent_ = false;
};

class AdviceBalancer {
 public:
  // Makes a call through the instance at `address`.
  using PeerRequestFunction =
      std::function<void(const std::string& address, const AdviceRequest&,
                         AdviceGateway::Callback)>;

  AdviceBalancer(AdviceGateway* local_gateway,
                 PeerRequestFunction request_through_peer);
  ~AdviceBalancer() { *is_alive_ = false; }
  AdviceBalancer(const AdviceBalancer&) = delete;
  auto operator=(const AdviceBalancer&) -> AdviceBalancer& = delete;

  // Records that the instance at `address` is live and can make calls.
  auto MarkInstanceLive(const std::string& address, Millis now_ms) -> void;

  // Returns the number of calls of this urgency that can be made now; several
  // urgent ones through one slot count once.
  auto CountFreeSlots(bool is_urgent, Millis now_ms) const -> std::size_t;
  // Makes the call through a free slot; returns false if there is none.
  auto RequestAdvice(const AdviceRequest& request, Millis now_ms,
                     AdviceGateway::Callback callback) -> bool;

 private:
  struct Instance {
    // Empty for this instance.
    std::string address_;
    Millis last_report_ms_ = 0;
    int open_calls_ = 0;
    int open_long_calls_ = 0;
    int consecutive_failures_ = 0;
    Millis backoff_until_ms_ = 0;
  };

  // Returns the instances with a free slot for such a call, the best one first.
  auto FindInstances(bool is_urgent, Millis now_ms) const
      -> std::vector<const Instance*>;

  AdviceGateway* local_gateway_;
  PeerRequestFunction request_through_peer_;
  std::map<std::string, Instance> instances_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ADVICE_BALANCER_H_
