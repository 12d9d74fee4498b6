// A slot is found by a linear search over a few dozen instances. The reserved
// slots are those of the first third of the instances by address. This instance
// sorts first, so that urgent calls need no extra hop while its slot is free.

#include "fleet/advice_balancer.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// An instance that has not reported for this long gets no calls.
constexpr Millis kInstanceTimeoutMs = 2500;
// Urgent calls that may be open at one instance; each takes about 15 ms.
constexpr int kMaxUrgentCallsPerInstance = 3;
// One slot in this many is reserved for urgent calls.
constexpr std::size_t kReservedSlotDivisor = 3;
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

auto AdviceBalancer::FindInstance(bool is_urgent, Millis now_ms) const
    -> const Instance* {
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
  const Instance* best = nullptr;
  for (std::size_t i = 0; i < live.size(); ++i) {
    const auto& instance = *live[i];
    if (now_ms < instance.backoff_until_ms_) {
      continue;
    }
    if (!is_urgent) {
      if (i >= reserved && instance.open_calls_ == 0) {
        return &instance;
      }
      continue;
    }
    if (instance.open_long_calls_ == 0 &&
        instance.open_calls_ < kMaxUrgentCallsPerInstance &&
        (best == nullptr || instance.open_calls_ < best->open_calls_)) {
      best = &instance;
    }
  }
  return best;
}

auto AdviceBalancer::HasSlot(bool is_urgent, Millis now_ms) const -> bool {
  return FindInstance(is_urgent, now_ms) != nullptr;
}

auto AdviceBalancer::RequestAdvice(const AdviceRequest& request, Millis now_ms,
                                   AdviceGateway::Callback callback) -> bool {
  const auto* chosen = FindInstance(request.is_urgent_, now_ms);
  if (chosen == nullptr) {
    return false;
  }
  const auto address = chosen->address_;
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
