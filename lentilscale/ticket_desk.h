// Accepts operators' tickets and answers questions about them.
//
//   desk.Submit(ticket, [](int status, const Json::Value& body) { ... });
//
// Ticket n is written in one transaction that requires exactly n - 1 tickets
// before it: the configuration after it under tickets/head, and the ticket
// with its differences under tickets/log/. An answer of the store that was
// lost is resolved by repeating the same transaction and comparing nonces.

#ifndef LENTILSCALE_TICKET_DESK_H_
#define LENTILSCALE_TICKET_DESK_H_

#include <functional>
#include <memory>
#include <string>

#include "lentilscale/configuration.h"
#include "lentilscale/error.h"
#include "lentilscale/store_view.h"

namespace lentilscale {

// The desk of one instance.
class TicketDesk {
 public:
  using Done = std::function<void(int status, const Json::Value& body)>;

  struct Hooks {
    std::function<const Configuration&()> configuration_;
    // A ticket was accepted; `configuration` is the state after it.
    std::function<void(const Configuration& configuration)> on_accepted_;
  };

  TicketDesk(uv_loop_t* loop, Store* store, Hooks hooks)
      : loop_(loop), store_(store), hooks_(std::move(hooks)) {}

  // Returns what `ticket` would change, or throws its problem.
  auto Check(const Ticket& ticket) const -> Json::Value;

  // Writes a ticket; answers 200 when it is accepted.
  auto Submit(const Ticket& ticket, Done done) -> void;

  // Reads one ticket with its audit entry, or all of them.
  auto Show(std::int64_t number, Done done) -> void;
  auto Audit(Done done) -> void;

 private:
  struct Submission {
    Ticket ticket_;
    Configuration next_;
    std::string entry_;
    Done done_;
    Millis give_up_ms_ = 0;
  };

  auto AnswerRepeat(const Ticket& ticket, Done done) -> void;
  auto Write(std::shared_ptr<Submission> submission) -> void;
  auto OnWritten(std::shared_ptr<Submission> submission,
                 const StoreResult& result) -> void;
  auto Accept(const Submission& submission) -> void;
  auto Refuse(const Submission& submission, std::int64_t head) -> void;

  uv_loop_t* loop_;
  Store* store_;
  Hooks hooks_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_TICKET_DESK_H_
