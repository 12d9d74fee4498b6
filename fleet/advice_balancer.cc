// Slots are searched linearly among a few dozen instances. The reserved slots
// are the first third by address with this instance first, so that urgent calls
// need no extra hop while that slot is free.

#include "fleet/advice_balancer.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// An instance that has not reported for this long gets no questions.
constexpr Millis kHelperSilenceMs = 2500;
// Urgent calls that may wait at one instance; each takes some 15 ms.
constexpr int kUrgentPerHelper = 3;
// One in this many slots is kept for urgent calls.
constexpr std::size_t kReservedDivisor = 3;
constexpr Millis kAvoidMs = 1000;

}  // namespace

AdviceDesk::AdviceDesk(AdviceGateway* own, AskPeer ask_peer)
    : own_(own), ask_peer_(std::move(ask_peer)) {
  helpers_[""] = Helper{};
}

auto AdviceDesk::NoteHelper(const std::string& address, Millis now_ms) -> void {
  auto& helper = helpers_[address];
  helper.address_ = address;
  helper.seen_ms_ = now_ms;
}

auto AdviceDesk::FindSlot(bool is_urgent, Millis now_ms) const
    -> const Helper* {
  std::vector<const Helper*> live;
  for (const auto& [address, helper] : helpers_) {
    if (address.empty() || now_ms - helper.seen_ms_ < kHelperSilenceMs) {
      live.push_back(&helper);
    }
  }
  const auto reserved =
      live.size() == 1
          ? 0
          : std::max<std::size_t>(1, live.size() / kReservedDivisor);
  const Helper* best = nullptr;
  for (std::size_t i = 0; i < live.size(); ++i) {
    const auto& helper = *live[i];
    if (now_ms < helper.avoid_until_ms_) {
      continue;
    }
    if (!is_urgent) {
      if (i >= reserved && helper.open_ == 0) {
        return &helper;
      }
      continue;
    }
    if (helper.open_long_ == 0 && helper.open_ < kUrgentPerHelper &&
        (best == nullptr || helper.open_ < best->open_)) {
      best = &helper;
    }
  }
  return best;
}

auto AdviceDesk::HasSlot(bool is_urgent, Millis now_ms) const -> bool {
  return FindSlot(is_urgent, now_ms) != nullptr;
}

auto AdviceDesk::Ask(const AdviceQuestion& question, Millis now_ms,
                     AdviceGateway::Callback callback) -> bool {
  const auto* slot = FindSlot(question.is_urgent_, now_ms);
  if (slot == nullptr) {
    return false;
  }
  const auto address = slot->address_;
  auto& helper = helpers_[address];
  const auto is_long = !question.is_urgent_;
  ++helper.open_;
  helper.open_long_ += is_long ? 1 : 0;
  auto on_answer = [this, address, is_long, now_ms, alive = is_alive_,
                    callback =
                        std::move(callback)](const AdviceResult& result) {
    if (!*alive) {
      return;
    }
    auto& helper = helpers_[address];
    --helper.open_;
    helper.open_long_ -= is_long ? 1 : 0;
    helper.failures_ = result.is_answered_ ? 0 : helper.failures_ + 1;
    if (helper.failures_ > 1) {
      helper.avoid_until_ms_ = now_ms + kAvoidMs;
    }
    callback(result);
  };
  if (address.empty()) {
    own_->Ask(question.step_, question.workers_, question.expected_ms_,
              std::move(on_answer));
  } else {
    ask_peer_(address, question, std::move(on_answer));
  }
  return true;
}

}  // namespace lentilscale::fleet
