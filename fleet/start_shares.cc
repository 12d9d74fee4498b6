// Deficit round robin (Shreedhar and Varghese), whose quantum is earned with
// each start instead of each round: passes come as answers do, many of them
// with room for a single start, so that a pass by itself must not earn
// anything.

#include "fleet/start_shares.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace lentilscale::fleet {
namespace {

// Share of a service's starts that its less urgent classes have together.
constexpr double kLessUrgentShare = 0.25;
// Largest credit of a class, in starts.
constexpr double kMaxCredit = 32;
constexpr Millis kMsPerS = 1000;
// Time after the last step that was held back for which a class bounds its
// calls for advice: passes between the answers hold nothing back.
constexpr Millis kHeldBackMemoryMs = 1000;

// A class in debt earns although nothing of it waits, to pay back.
auto EarnsCredit(const StartClass& start_class) -> bool {
  return start_class.is_backlogged_ || start_class.credit_ < 0;
}

}  // namespace

auto StartRate::Update(Millis now_ms) -> void {
  const auto elapsed = now_ms - began_ms_;
  if (elapsed < kMsPerS) {
    return;
  }
  last_per_s_ =
      static_cast<double>(current_) * kMsPerS / static_cast<double>(elapsed);
  current_ = 0;
  began_ms_ = now_ms;
}

auto StartRate::PerSecond() const -> double {
  return std::max(last_per_s_, static_cast<double>(current_));
}

auto StartShares::BeginPass(int budget, int looks, Millis now_ms) -> void {
  budget_ = budget;
  sent_ = 0;
  is_rest_released_ = false;
  now_ms_ = now_ms;
  rate_.Update(now_ms);
  for (auto& [key, start_class] : classes_) {
    start_class.rate_.Update(now_ms);
    start_class.look_round_ += start_class.is_look_due_ ? 0 : 1;
    start_class.is_look_due_ = false;
    start_class.looks_left_ = looks;
  }
  UpdateShares();
}

auto StartShares::UpdateShares() -> void {
  // By service: the priorities that have a share, the most urgent first, and
  // whether late steps are among their classes.
  std::map<std::string, std::map<int, bool>> earners;
  for (const auto& [key, start_class] : classes_) {
    if (EarnsCredit(start_class)) {
      earners[key.service_][key.priority_] |= key.lateness_ == Lateness::kLate;
    }
  }
  for (auto& [key, start_class] : classes_) {
    if (!EarnsCredit(start_class)) {
      continue;
    }
    const auto& priorities = earners[key.service_];
    const auto of_service = 1.0 / static_cast<double>(earners.size());
    const auto others = static_cast<double>(priorities.size() - 1);
    const auto less_urgent = others == 0 ? 0 : kLessUrgentShare;
    const auto of_priority =
        of_service * (key.priority_ == priorities.begin()->first
                          ? 1 - less_urgent
                          : less_urgent / others);
    const auto late = priorities.at(key.priority_) ? kLateShare : 0;
    start_class.share_ =
        of_priority * (key.lateness_ == Lateness::kLate ? late : 1 - late);
  }
}

auto StartShares::MayStart(const StartClass& start_class) const -> bool {
  return HasRoom() && !start_class.is_held_back_ &&
         (is_rest_released_ || HasCredit(start_class));
}

auto StartShares::OnStarted(StartClass& start_class, int count) -> void {
  sent_ += count;
  rate_.Add(count);
  start_class.rate_.Add(count);
  start_class.started_ += count;
  // What others have left is free, but for what a gang takes beyond it.
  start_class.credit_ -=
      is_rest_released_ ? std::clamp(sent_ - budget_, 0, count) : count;
  for (auto& [key, other] : classes_) {
    if (EarnsCredit(other)) {
      other.credit_ =
          std::min(kMaxCredit, other.credit_ + other.share_ * count);
    }
  }
}

auto StartShares::OnHeldBack(StartClass& start_class, bool has_waited_for_long)
    -> void {
  start_class.is_held_back_ = true;
  start_class.is_long_held_back_ = has_waited_for_long;
  start_class.held_back_ms_ = now_ms_;
}

auto StartShares::ReleaseRest() -> void {
  is_rest_released_ = true;
  for (auto& [key, start_class] : classes_) {
    start_class.is_held_back_ = false;
    start_class.is_long_held_back_ = false;
  }
}

auto StartShares::EndPass() -> bool {
  auto is_any_held_back = false;
  for (auto& [key, start_class] : classes_) {
    is_any_held_back |= start_class.is_held_back_;
    if (start_class.is_held_back_) {
      start_class.left_held_back_ms_ = now_ms_;
    }
    start_class.is_backlogged_ = start_class.is_long_held_back_;
    start_class.is_held_back_ = false;
    start_class.is_long_held_back_ = false;
    if (!EarnsCredit(start_class)) {
      start_class.credit_ = 0;
    }
  }
  return is_any_held_back;
}

auto StartShares::LeastPerS() const -> double {
  std::map<std::string_view, std::set<int>> priorities;
  for (const auto& [key, start_class] : classes_) {
    priorities[key.service_].insert(key.priority_);
  }
  std::size_t most = 1;
  for (const auto& [service, of_service] : priorities) {
    most = std::max(most, of_service.size());
  }
  const auto services = std::max<std::size_t>(1, priorities.size());
  return rate_.PerSecond() * kLessUrgentShare * (1 - kLateShare) /
         static_cast<double>(services * std::max<std::size_t>(1, most - 1));
}

auto StartShares::SharePerS(const StartClass& start_class) const -> double {
  return EarnsCredit(start_class) ? start_class.share_ * rate_.PerSecond() : 0;
}

auto StartShares::StartsPerS(const StartClass& start_class) const -> double {
  return std::max(start_class.rate_.PerSecond(),
                  start_class.share_ * rate_.PerSecond());
}

auto StartShares::MayRequestAdvice(const StartClass& start_class, int window,
                                   Millis valid_ms) const -> bool {
  if (start_class.held_back_ms_ == 0 ||
      now_ms_ - start_class.held_back_ms_ > kHeldBackMemoryMs) {
    return true;
  }
  const auto usable = std::max(
      StartsPerS(start_class) * static_cast<double>(valid_ms) / kMsPerS,
      start_class.share_ * window);
  return start_class.awaiting_advice_ < std::max(1.0, usable);
}

}  // namespace lentilscale::fleet
