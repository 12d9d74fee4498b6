// A slot is found by a linear search over a few dozen instances. The reserved
// slots are those of the first instances by address. This instance sorts first,
// so that urgent calls need no extra hop while its slot is free.
//
// An instance whose last call got no answer is chosen after all others: if it
// still gets none, the step loses the time of a whole call. It is not left out,
// since where no instance gets answers, all are as good.

#include "fleet/advice_balancer.h"

#include <algorithm>
#include <utility>

namespace lentilscale::fleet {
namespace {

// An instance that has not reported for this long gets no calls.
constexpr Millis kInstanceTimeoutMs = 2500;
// Urgent calls that may be open at one instance; each takes about 15 ms.
constexpr int kMaxUrgentCallsPerInstance = 3;
// One slot in this many is reserved for urgent calls.
constexpr std::size_t kReservedSlotDivisor = 6;
// Time without calls after repeated failures, from the start of the last call.
constexpr Millis kFailureBackoffMs = 1000;

}  // namespace

AdviceBalancer::AdviceBalancer(AdviceGateway* local_gateway,
                               PeerRequestFunction request_through_peer)
    : local_gateway_(local_gateway),
      request_through_peer_(std::move(request_through_peer)) {
  instances_[""] = Instance{};
}

auto AdviceBalancer::MarkInstanceLive(const std::string& address, Millis now_ms)
    -> void {
  auto& instance = instances_[address];
  instance.address_ = address;
  instance.last_report_ms_ = now_ms;
}

auto AdviceBalancer::FindInstances(bool is_urgent, Millis now_ms) const
    -> std::vector<const Instance*> {
  std::vector<const Instance*> live;
  for (const auto& [address, instance] : instances_) {
    if (address.empty() ||
        now_ms - instance.last_report_ms_ < kInstanceTimeoutMs) {
      live.push_back(&instance);
    }
  }
  const auto reserved =
      live.size() == 1
          ? 0
          : std::max<std::size_t>(1, live.size() / kReservedSlotDivisor);
  std::vector<const Instance*> free;
  for (std::size_t i = 0; i < live.size(); ++i) {
    const auto& instance = *live[i];
    const auto has_slot =
        is_urgent ? instance.open_long_calls_ == 0 &&
                        instance.open_calls_ < kMaxUrgentCallsPerInstance
                  : i >= reserved && instance.open_calls_ == 0;
    if (has_slot && now_ms >= instance.backoff_until_ms_) {
      free.push_back(&instance);
    }
  }
  const auto order = [](const Instance& instance) {
    return std::pair(instance.consecutive_failures_ > 0, instance.open_calls_);
  };
  std::stable_sort(free.begin(), free.end(),
                   [&order](const Instance* a, const Instance* b) {
                     return order(*a) < order(*b);
                   });
  return free;
}

auto AdviceBalancer::CountFreeSlots(bool is_urgent, Millis now_ms) const
    -> std::size_t {
  return FindInstances(is_urgent, now_ms).size();
}

auto AdviceBalancer::RequestAdvice(const AdviceRequest& request, Millis now_ms,
                                   AdviceGateway::Callback callback) -> bool {
  const auto free = FindInstances(request.is_urgent_, now_ms);
  if (free.empty()) {
    return false;
  }
  const auto address = free.front()->address_;
  auto& instance = instances_[address];
  const auto is_long = !request.is_urgent_;
  ++instance.open_calls_;
  instance.open_long_calls_ += is_long ? 1 : 0;
  auto on_answer = [this, address, is_long, now_ms, alive = is_alive_,
                    callback =
                        std::move(callback)](const AdviceResult& result) {
    if (!*alive) {
      return;
    }
    auto& instance = instances_[address];
    --instance.open_calls_;
    instance.open_long_calls_ -= is_long ? 1 : 0;
    instance.consecutive_failures_ =
        result.is_answered_ ? 0 : instance.consecutive_failures_ + 1;
    if (instance.consecutive_failures_ > 1) {
      instance.backoff_until_ms_ = now_ms + kFailureBackoffMs;
    }
    callback(result);
  };
  if (address.empty()) {
    local_gateway_->RequestAdvice(request.step_name_, request.worker_ids_,
                                  request.expected_ms_, std::move(on_answer));
  } else {
    request_through_peer_(address, request, std::move(on_answer));
  }
  return true;
}

}  // namespace lentilscale::fleet
