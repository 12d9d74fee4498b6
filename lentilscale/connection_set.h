// Decides which of a client's connections to one address a call uses, without
// network:
//
//   ConnectionSet set(4);
//   const auto choice = set.Take();
//   // kUse: an idle connection; kOpen: a new one; kWait: none is free.
//   set.OnAnswered(choice.id_, MonotonicMs());
//
// A connection that went silent cannot be told from a slow answer. So after a
// timeout, the connections that have carried no answer since the call was sent
// are suspect and not used, until its answer arrives late. Room for new ones
// is made by closing suspect ones, then by giving up late answers: those that
// matter least, and of these the newest. To give up the oldest would be to lose
// each answer just before it arrives, once answers take longer than as many
// calls as there are connections.

#ifndef LENTILSCALE_CONNECTION_SET_H_
#define LENTILSCALE_CONNECTION_SET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale {

// What the answer to a call is worth that arrives after the call was given up.
enum class LateAnswer {
  // It is read and dropped, so that the connection can be used again.
  kDropped,
  // It is reported.
  kReported,
  // It is reported, and given up only where no other can be. The end of the
  // wait is reported, too.
  kNeeded,
};

class ConnectionSet {
 public:
  using Id = std::int64_t;

  enum class Action {
    // Use the idle connection `id_`.
    kUse,
    // Open a connection; its id is `id_`.
    kOpen,
    // Wait until a connection is free.
    kWait,
  };

  struct Choice {
    Action action_ = Action::kWait;
    Id id_ = 0;
    // The connection to close before the new one is opened.
    std::optional<Id> closed_;
  };

  // Keeps to at most `max` connections, including those that wait for late
  // answers.
  explicit ConnectionSet(std::size_t max) : max_(max) {}

  // Chooses a connection for a call: if possible an idle one that
  // `is_preferred` names.
  auto Take(const std::function<bool(Id)>& is_preferred = nullptr) -> Choice;

  // A whole answer arrived, late or not: the connection is idle.
  auto OnAnswered(Id id, Millis now_ms) -> void;

  // The call timed out; the connection is kept for its late answer.
  auto OnTimeout(Id id, LateAnswer answer) -> void;

  // The connection is closed. Has no effect on one that is not in the set.
  auto OnClosed(Id id) -> void;

  // Removes the connections that have been idle since `since_ms` or before,
  // which are to be closed, and returns them.
  auto RemoveIdleSince(Millis since_ms) -> std::vector<Id>;

  // Returns the number of connections.
  auto size() const -> std::size_t { return connections_.size(); }

 private:
  // A place in the order of events. Times would leave open which of two events
  // in one millisecond was first.
  using Sequence = std::int64_t;

  enum class State { kBusy, kIdle, kLate };

  struct Connection {
    State state_ = State::kBusy;
    // The answer that is waited for, if it is late.
    LateAnswer answer_ = LateAnswer::kDropped;
    // When the latest call took it.
    Sequence taken_ = 0;
    // When the latest answer arrived, also in milliseconds.
    Sequence heard_ = 0;
    Millis heard_ms_ = 0;
  };

  // The connections in one state, by heard_ if they are idle, else by taken_.
  using Order = std::map<Sequence, Id>;

  // Removes a connection from the order that it is in.
  auto Detach(const Connection& connection) -> void;
  // Returns the latest call that has got no answer; 0 if there is none.
  auto SilentSince() const -> Sequence;
  // Removes and returns the connection that is needed least, if any.
  auto MakeRoom() -> std::optional<Id>;

  std::size_t max_;
  Id last_id_ = 0;
  Sequence last_event_ = 0;
  // The latest call whose connection was closed without an answer.
  Sequence closed_silent_ = 0;
  std::map<Id, Connection> connections_;
  Order idle_;
  // Those that wait for late answers, by LateAnswer.
  std::array<Order, 3> late_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_CONNECTION_SET_H_
