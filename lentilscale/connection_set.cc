// Idle connections are ordered by their latest answer, so that the suspect ones
// come first and the least recently used one of the others follows them.

#include "lentilscale/connection_set.h"

#include <algorithm>

namespace lentilscale {

auto ConnectionSet::Take(const std::function<bool(Id)>& is_preferred)
    -> Choice {
  auto sound = idle_.upper_bound(SilentSince());
  if (sound != idle_.end()) {
    if (is_preferred != nullptr) {
      const auto preferred = std::find_if(
          sound, idle_.end(),
          [&](const auto& entry) { return is_preferred(entry.second); });
      sound = preferred == idle_.end() ? sound : preferred;
    }
    const auto id = sound->second;
    idle_.erase(sound);
    auto& connection = connections_.at(id);
    connection.state_ = State::kBusy;
    connection.taken_ = ++last_event_;
    return {Action::kUse, id, std::nullopt};
  }
  auto closed = std::optional<Id>();
  if (connections_.size() >= max_) {
    closed = MakeRoom();
    if (!closed.has_value()) {
      return {};
    }
  }
  const auto id = ++last_id_;
  auto connection = Connection();
  connection.taken_ = ++last_event_;
  connections_.emplace(id, connection);
  return {Action::kOpen, id, closed};
}

auto ConnectionSet::OnAnswered(Id id, Millis now_ms) -> void {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return;
  }
  auto& connection = it->second;
  Detach(connection);
  connection.state_ = State::kIdle;
  connection.heard_ = ++last_event_;
  connection.heard_ms_ = now_ms;
  idle_.emplace(connection.heard_, id);
}

auto ConnectionSet::OnTimeout(Id id, LateAnswer answer) -> void {
  const auto it = connections_.find(id);
  if (it == connections_.end() || it->second.state_ != State::kBusy) {
    return;
  }
  it->second.state_ = State::kLate;
  it->second.answer_ = answer;
  late_.at(static_cast<std::size_t>(answer)).emplace(it->second.taken_, id);
}

auto ConnectionSet::OnClosed(Id id) -> void {
  const auto it = connections_.find(id);
  if (it == connections_.end()) {
    return;
  }
  const auto& connection = it->second;
  Detach(connection);
  if (connection.state_ == State::kLate) {
    closed_silent_ = std::max(closed_silent_, connection.taken_);
  }
  connections_.erase(it);
}

auto ConnectionSet::RemoveIdleSince(Millis since_ms) -> std::vector<Id> {
  std::vector<Id> removed;
  while (!idle_.empty()) {
    const auto id = idle_.begin()->second;
    if (connections_.at(id).heard_ms_ > since_ms) {
      break;
    }
    removed.push_back(id);
    OnClosed(id);
  }
  return removed;
}

auto ConnectionSet::Detach(const Connection& connection) -> void {
  switch (connection.state_) {
    case State::kBusy:
      break;
    case State::kIdle:
      idle_.erase(connection.heard_);
      break;
    case State::kLate:
      late_.at(static_cast<std::size_t>(connection.answer_))
          .erase(connection.taken_);
      break;
  }
}

auto ConnectionSet::SilentSince() const -> Sequence {
  auto since = closed_silent_;
  for (const auto& late : late_) {
    if (!late.empty()) {
      since = std::max(since, late.rbegin()->first);
    }
  }
  return since;
}

// Called only when all idle connections are suspect.
auto ConnectionSet::MakeRoom() -> std::optional<Id> {
  auto closed = std::optional<Id>();
  if (!idle_.empty()) {
    closed = idle_.begin()->second;
  }
  for (const auto& late : late_) {
    if (!closed.has_value() && !late.empty()) {
      closed = late.rbegin()->second;
    }
  }
  if (closed.has_value()) {
    OnClosed(*closed);
  }
  return closed;
}

}  // namespace lentilscale
