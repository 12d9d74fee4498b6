// Only an answer counts as evidence, not an entry in the store: an entry may
// have been overwritten by another writer while the worker runs on.

#include "fleet/crash_detector.h"

#include <algorithm>
#include <utility>

namespace lentilscale::fleet {
namespace {

// A worker that is not back after this time is taken for lost for good.
constexpr Millis kLifeMemoryMs = 60000;
// Bounds the memory after an outage of many workers.
constexpr std::size_t kMaxLives = 1000;

}  // namespace

auto CrashDetector::FindOrAdd(const WorkerLife& life, Millis now_ms)
    -> LifeState& {
  const LifeKey key{life.worker_, life.incarnation_};
  if (!lives_.contains(key) && lives_.size() >= kMaxLives) {
    lives_.erase(std::min_element(
        lives_.begin(), lives_.end(), [](const auto& a, const auto& b) {
          return a.second.expires_ms_ < b.second.expires_ms_;
        }));
  }
  auto& state = lives_[key];
  state.address_ = life.address_;
  state.expires_ms_ = now_ms + kLifeMemoryMs;
  return state;
}

auto CrashDetector::AddLostRun(const WorkerLife& life, const LostRun& run,
                               Millis now_ms) -> void {
  // Without an incarnation, lives cannot be told apart.
  if (life.incarnation_ == 0) {
    return;
  }
  auto& state = FindOrAdd(life, now_ms);
  const auto task = run.task_.ToString();
  const auto is_known = std::any_of(
      state.runs_.begin(), state.runs_.end(), [&](const LostRun& other) {
        return other.run_ == run.run_ && other.task_.ToString() == task;
      });
  if (!state.is_decided_ && !is_known) {
    state.runs_.push_back(run);
  }
}

auto CrashDetector::OnDraining(const WorkerLife& life, Millis now_ms) -> void {
  if (life.incarnation_ != 0) {
    auto& state = FindOrAdd(life, now_ms);
    state.is_decided_ = true;
    state.runs_.clear();
  }
}

auto CrashDetector::OnAnswer(const WorkerLife& life) -> std::vector<Crash> {
  std::vector<Crash> crashes;
  if (life.incarnation_ == 0) {
    return crashes;
  }
  for (auto& [key, state] : lives_) {
    const auto& [worker, incarnation] = key;
    if (state.is_decided_) {
      continue;
    }
    if (worker == life.worker_ && incarnation == life.incarnation_) {
      state.runs_.clear();
    } else if (!state.runs_.empty() &&
               (worker == life.worker_ ||
                (!life.address_.empty() && state.address_ == life.address_))) {
      state.is_decided_ = true;
      crashes.push_back({{worker, incarnation, state.address_},
                         std::exchange(state.runs_, {})});
    }
  }
  return crashes;
}

auto CrashDetector::Expire(Millis now_ms) -> void {
  std::erase_if(lives_, [&](const auto& entry) {
    return now_ms > entry.second.expires_ms_;
  });
}

}  // namespace lentilscale::fleet
