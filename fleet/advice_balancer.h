// Spreads questions to the advice service over the instances.
//
// The service takes one call at a time from each calling machine and needs up
// to half a second for one, so calls are a scheduled resource: each instance
// has one slot, and some slots are kept for urgent steps, whose short calls
// must not wait behind long ones.

#ifndef LENTILSCALE_FLEET_ADVICE_BALANCER_H_
#define LENTILSCALE_FLEET_ADVICE_BALANCER_H_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fleet/worker_gateway.h"

namespace lentilscale::fleet {

// One question.
struct AdviceQuestion {
  // "JOB.OCCURRENCE.STEP".
  std::string step_;
  std::vector<std::string> workers_;
  // Time that the service should take.
  Millis expected_ms_ = 0;
  bool is_urgent_ = false;
};

class AdviceDesk {
 public:
  // Asks through the instance at `address`.
  using AskPeer =
      std::function<void(const std::string& address, const AdviceQuestion&,
                         AdviceGateway::Callback)>;

  AdviceDesk(AdviceGateway* own, AskPeer ask_peer);
  ~AdviceDesk() { *is_alive_ = false; }
  AdviceDesk(const AdviceDesk&) = delete;
  auto operator=(const AdviceDesk&) -> AdviceDesk& = delete;

  // Notes that the instance at `address` can ask.
  auto NoteHelper(const std::string& address, Millis now_ms) -> void;

  // Returns true if a slot is free for such a question.
  auto HasSlot(bool is_urgent, Millis now_ms) const -> bool;
  // Asks through a free slot; returns false if there is none.
  auto Ask(const AdviceQuestion& question, Millis now_ms,
           AdviceGateway::Callback callback) -> bool;

 private:
  struct Helper {
    // Empty for this instance.
    std::string address_;
    Millis seen_ms_ = 0;
    int open_ = 0;
    int open_long_ = 0;
    int failures_ = 0;
    Millis avoid_until_ms_ = 0;
  };

  auto FindSlot(bool is_urgent, Millis now_ms) const -> const Helper*;

  AdviceGateway* own_;
  AskPeer ask_peer_;
  std::map<std::string, Helper> helpers_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_ADVICE_BALANCER_H_
