// The head key is written once per ticket, so its version in the store equals
// the ticket's number and serves as the comparison; no counter of ours can get
// out of step with it.

#include "lentilscale/ticket_desk.h"

#include <fmt/format.h>

#include <random>

#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/refusal.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr Millis kGiveUpMs = 8000;
constexpr Millis kRepeatMs = 200;
constexpr auto kHttpOk = 200;

auto MakeNonce() -> std::string {
  std::random_device device;
  return fmt::format("{:08x}{:08x}{:08x}", device(), device(), device());
}

auto DiffToJson(const Configuration& from, const Configuration& to)
    -> Json::Value {
  Json::Value lines(Json::arrayValue);
  for (const auto& line : Diff(from, to)) {
    lines.append(line);
  }
  return lines;
}

}  // namespace

auto TicketDesk::Check(const Ticket& ticket) const -> Json::Value {
  const auto& current = hooks_.configuration_();
  Json::Value body;
  body["number"] = Json::Int64(ticket.number_);
  body["changes"] = DiffToJson(current, current.Apply(ticket));
  return body;
}

auto TicketDesk::Submit(const Ticket& ticket, Done done) -> void {
  const auto& current = hooks_.configuration_();
  if (!ticket.nonce_.empty() && ticket.number_ <= current.number_) {
    AnswerRepeat(ticket, std::move(done));
    return;
  }
  auto submission = std::make_shared<Submission>();
  submission->ticket_ = ticket;
  if (submission->ticket_.nonce_.empty()) {
    submission->ticket_.nonce_ = MakeNonce();
  }
  submission->next_ = current.Apply(ticket);
  submission->done_ = std::move(done);
  submission->give_up_ms_ = MonotonicMs() + kGiveUpMs;
  Json::Value entry;
  entry["ticket"] = submission->ticket_.ToJson();
  entry["changes"] = DiffToJson(current, submission->next_);
  entry["from"] = Json::Int64(current.number_);
  entry["accepted_ms"] = Json::Int64(WallMs());
  submission->entry_ = DumpJson(entry);
  Write(std::move(submission));
}

// The writer did not learn how its first submission ended. Its nonce in the
// log tells.
auto TicketDesk::AnswerRepeat(const Ticket& ticket, Done done) -> void {
  const auto head = hooks_.configuration_().number_;
  Show(ticket.number_, [this, ticket, head, done = std::move(done)](
                           int status, const Json::Value& body) {
    if (status != kHttpOk) {
      done(status, body);
      return;
    }
    Submission submission;
    submission.ticket_ = ticket;
    submission.done_ = done;
    if (body["ticket"]["nonce"] == ticket.nonce_) {
      submission.next_ = hooks_.configuration_();
      Accept(submission);
    } else {
      Refuse(submission, head);
    }
  });
}

auto TicketDesk::Write(std::shared_ptr<Submission> submission) -> void {
  const auto& ticket = submission->ticket_;
  Json::Value head;
  head["configuration"] = submission->next_.ToJson();
  head["nonce"] = ticket.nonce_;
  StoreTxn txn;
  txn.IfVersion(kTicketHeadKey, ticket.number_ - 1)
      .Put(kTicketHeadKey, DumpJson(head))
      .Put(TicketLogKey(ticket.number_), submission->entry_)
      .ElseGet(kTicketHeadKey)
      .ElseGet(TicketLogKey(ticket.number_));
  store_->Commit(txn, [this, submission](const StoreResult& result) {
    OnWritten(submission, result);
  });
}

auto TicketDesk::OnWritten(std::shared_ptr<Submission> submission,
                           const StoreResult& result) -> void {
  if (result.outcome_ != StoreOutcome::kAnswered) {
    if (MonotonicMs() < submission->give_up_ms_) {
      RunAfter(loop_, kRepeatMs, [this, submission] { Write(submission); });
      return;
    }
    // Whether it took effect is not known; submitting the same ticket with the
    // same nonce again tells.
    auto body = MakeRefusal(ErrorCode::kStoreUnavailable,
                            "the store does not answer; submit the same ticket "
                            "again to learn whether it was accepted");
    body["not_run"] = false;
    body["nonce"] = submission->ticket_.nonce_;
    submission->done_(503, body);
    return;
  }
  if (result.succeeded_) {
    Accept(*submission);
    return;
  }
  const auto* entry = result.Find(TicketLogKey(submission->ticket_.number_));
  if (entry != nullptr) {
    const auto written = ParseJson(entry->value_);
    if (written["ticket"]["nonce"] == submission->ticket_.nonce_) {
      Accept(*submission);
      return;
    }
  }
  const auto* head = result.Find(kTicketHeadKey);
  Refuse(*submission, head == nullptr ? 0 : head->version_);
}

auto TicketDesk::Accept(const Submission& submission) -> void {
  const auto& ticket = submission.ticket_;
  LogEvent(Event::kTicketAccepted, {{"number", std::to_string(ticket.number_)},
                                    {"author", ticket.author_}});
  hooks_.on_accepted_(submission.next_);
  Json::Value body;
  body["number"] = Json::Int64(ticket.number_);
  body["nonce"] = ticket.nonce_;
  body["accepted"] = true;
  submission.done_(kHttpOk, body);
}

auto TicketDesk::Refuse(const Submission& submission, std::int64_t head)
    -> void {
  const auto number = submission.ticket_.number_;
  LogEvent(Event::kTicketRefused, {{"number", std::to_string(number)},
                                   {"head", std::to_string(head)}});
  auto body =
      MakeRefusal(ErrorCode::kTicketConflict,
                  fmt::format("ticket {} does not follow the head, which is {}",
                              number, head));
  body["head"] = Json::Int64(head);
  submission.done_(GetErrorInfo(ErrorCode::kTicketConflict).http_status_, body);
}

auto TicketDesk::Show(std::int64_t number, Done done) -> void {
  const auto key = TicketLogKey(number);
  StoreTxn txn;
  txn.Get(key);
  store_->Commit(txn, [key, done](const StoreResult& result) {
    if (result.outcome_ != StoreOutcome::kAnswered) {
      done(503, MakeRefusal(ErrorCode::kStoreUnavailable, "no answer"));
      return;
    }
    const auto* entry = result.Find(key);
    if (entry == nullptr) {
      done(404, MakeRefusal(ErrorCode::kUnknownTicket, "no such ticket"));
      return;
    }
    done(kHttpOk, ParseJson(entry->value_));
  });
}

auto TicketDesk::Audit(Done done) -> void {
  StoreTxn txn;
  txn.GetPrefix(kTicketLogPrefix, 0);
  store_->Commit(txn, [done](const StoreResult& result) {
    if (result.outcome_ != StoreOutcome::kAnswered) {
      done(503, MakeRefusal(ErrorCode::kStoreUnavailable, "no answer"));
      return;
    }
    Json::Value body;
    body["entries"] = Json::Value(Json::arrayValue);
    for (const auto& entry : result.entries_) {
      body["entries"].append(ParseJson(entry.value_));
    }
    done(kHttpOk, body);
  });
}

}  // namespace lentilscale
