// The value follows the line of JSON unencoded: a relay sends it to many
// instances, and escaping it each time would cost more than the transfer.

#include "fleet/config_exchange.h"

#include <algorithm>
#include <utility>

#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kMaxWaitMs = 5000;
// Time for an answer to begin after the wait: a round trip within a region, and
// a peer that is busy.
constexpr Millis kPollTimeoutMarginMs = 300;
// Time for a large answer to arrive within a region, after the wait.
constexpr Millis kMaxTransferMs = 2000;
// Greatest ratio of the rates of two clocks, less one.
constexpr double kMaxClockDrift = 0.02;

}  // namespace

auto EncodeConfigAnswer(const ConfigAnswer& answer) -> std::string {
  Json::Value head(Json::objectValue);
  head["revision"] = Json::Int64{answer.revision_};
  head["at_revision"] = Json::Int64{answer.at_revision_};
  head["age_ms"] = Json::Int64{answer.age_ms_};
  head["held_ms"] = Json::Int64{answer.held_ms_};
  head["has_value"] = answer.value_.has_value();
  return DumpJson(head) + "\n" + answer.value_.value_or("");
}

auto ParseConfigAnswer(std::string_view text, std::int64_t after_revision)
    -> std::optional<ConfigAnswer> {
  const auto end = text.find('\n');
  if (end == std::string_view::npos) {
    return std::nullopt;
  }
  try {
    const auto head = ParseJson(text.substr(0, end));
    ConfigAnswer answer;
    answer.revision_ = RequireInt(head, "revision", 1, INT64_MAX);
    answer.at_revision_ = RequireInt(head, "at_revision", 0, INT64_MAX);
    answer.age_ms_ = RequireInt(head, "age_ms", 0, INT32_MAX);
    answer.held_ms_ = RequireInt(head, "held_ms", 0, INT32_MAX);
    if (GetBool(head, "has_value", false)) {
      answer.value_ = std::string(text.substr(end + 1));
    } else if (answer.revision_ > after_revision) {
      return std::nullopt;
    }
    return answer;
  } catch (const Error&) {
    return std::nullopt;
  }
}

auto KnownCurrentMs(const ConfigAnswer& answer, Millis sent_ms) -> Millis {
  // The poll arrived after it was sent. The holder's clock may be the faster
  // one for the time held, and the slower one for the age.
  const auto held_ms =
      static_cast<double>(answer.held_ms_) * (1 - kMaxClockDrift);
  const auto age_ms =
      static_cast<double>(answer.age_ms_) / (1 - kMaxClockDrift);
  return sent_ms + static_cast<Millis>(held_ms) - static_cast<Millis>(age_ms) -
         1;
}

auto ConfigPoller::Send(const std::string& address, const ConfigPoll& poll,
                        ConfigPollCallback callback) -> void {
  Json::Value body(Json::objectValue);
  body["after"] = Json::Int64{poll.after_revision_};
  body["wait_ms"] = Json::Int64{poll.wait_ms_};
  HttpCall call;
  call.address_ = address;
  call.method_ = "POST";
  call.path_ = "/peer/config";
  call.body_ = DumpJson(body);
  call.timeout_ms_ = poll.wait_ms_ + kPollTimeoutMarginMs;
  call.max_transfer_ms_ = poll.wait_ms_ + kMaxTransferMs;
  http_client_->Send(std::move(call), [after = poll.after_revision_,
                                       callback = std::move(callback)](
                                          const HttpResult& http) {
    callback(http.outcome_ == HttpOutcome::kAnswered && http.status_ == 200
                 ? ParseConfigAnswer(http.body_, after)
                 : std::nullopt,
             http.sent_ms_);
  });
}

auto ConfigFeed::Handle(const std::string& body,
                        std::shared_ptr<HttpReply> reply) -> void {
  const auto poll = ParseJson(body);
  const auto now = BootMs();
  const Waiting waiting{RequireInt(poll, "after", 0, INT64_MAX), now,
                        now + GetInt(poll, "wait_ms", 0, 0, kMaxWaitMs),
                        std::move(reply)};
  if (record_ == nullptr || waiting.until_ms_ == now ||
      record_->revision_ > waiting.after_revision_) {
    Answer(waiting);
    return;
  }
  waiting_.push_back(waiting);
  RunAfter(loop_, waiting.until_ms_ - now, [this, alive = is_alive_] {
    if (*alive) {
      AnswerOverdue();
    }
  });
}

auto ConfigFeed::Answer(const Waiting& waiting) const -> void {
  if (record_ == nullptr) {
    waiting.reply_->Send(503, "{}");
    return;
  }
  const auto now = BootMs();
  ConfigAnswer answer;
  answer.revision_ = record_->revision_;
  answer.at_revision_ = at_revision_;
  answer.age_ms_ = now - known_current_ms_;
  answer.held_ms_ = now - waiting.arrived_ms_;
  if (record_->revision_ > waiting.after_revision_) {
    answer.value_ = record_->value_;
  }
  waiting.reply_->Send(200, EncodeConfigAnswer(answer),
                       "application/octet-stream");
}

auto ConfigFeed::AnswerOverdue() -> void {
  const auto now = BootMs();
  const auto overdue = std::stable_partition(
      waiting_.begin(), waiting_.end(),
      [now](const Waiting& waiting) { return now < waiting.until_ms_; });
  for (auto it = overdue; it != waiting_.end(); ++it) {
    Answer(*it);
  }
  waiting_.erase(overdue, waiting_.end());
}

auto ConfigFeed::Publish(std::shared_ptr<const Record> record,
                         std::int64_t at_revision, Millis known_current_ms)
    -> void {
  record_ = std::move(record);
  at_revision_ = at_revision;
  known_current_ms_ = known_current_ms;
  for (const auto& waiting : std::exchange(waiting_, {})) {
    Answer(waiting);
  }
}

}  // namespace lentilscale::fleet
