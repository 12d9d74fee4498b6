// Uses plain HTTP and not JSON-RPC: some requests are answered after their
// handler has returned, which libjsonrpccpp's server does not support.

#include "fleet/peer_client.h"

#include <algorithm>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale::fleet {
namespace {

// A round trip between regions takes 16 ms; a peer with a quarter of a core may
// be busy for about 100 ms.
constexpr Millis kPeerTimeoutMs = 400;
// A refusal arrives within one round trip. A peer without power or behind a
// partition does not answer at all, so a connection that fails later than this
// was not refused.
constexpr Millis kMaxRefusalDelayMs = 100;
// Timeout of an advice call through a peer, beyond its expected time: the most
// that the extra hop adds.
constexpr Millis kAdviceTimeoutMarginMs = 1800;
// Upper bound on the validity of tickets, and on expected waits.
constexpr Millis kMaxValidMs = 1000000000000;
constexpr auto kMilliPerCore = 1000.0;

auto ParseAnswer(const HttpResult& http) -> Json::Value {
  if (http.outcome_ != HttpOutcome::kAnswered || http.status_ != 200) {
    return Json::Value(Json::objectValue);
  }
  try {
    return ParseJson(http.body_);
  } catch (const Error&) {
    // Equivalent to an answer without data.
    return Json::Value(Json::objectValue);
  }
}

// Returns the instances named as sources of the configuration. They decide over
// traffic alone, so that an answer with odd ones is as good as without.
auto ParseConfigSources(const Json::Value& answer) -> std::vector<std::string> {
  std::vector<std::string> sources;
  const auto& named = answer["config_sources"];
  for (auto i = 0U; named.isArray() && i < named.size(); ++i) {
    if (const auto& source = named[i]; source.isString()) {
      sources.push_back(source.asString());
    }
  }
  return sources;
}

// Returns the expected waits by queue. An answer with odd ones is as good as
// without: nothing is refused by them.
auto ParseExpectedWaits(const Json::Value& answer)
    -> std::map<std::string, Millis> {
  std::map<std::string, Millis> waits;
  const auto& named = answer["expected_waits"];
  if (!named.isObject()) {
    return waits;
  }
  for (const auto& queue : named.getMemberNames()) {
    if (const auto& wait = named[queue]; wait.isInt64() && wait.asInt64() > 0) {
      waits[queue] = std::min<Millis>(wait.asInt64(), kMaxValidMs);
    }
  }
  return waits;
}

// Returns the admitted shares by queue; odd ones refuse nothing, either.
auto ParseAdmittedShares(const Json::Value& answer)
    -> std::map<std::string, double> {
  std::map<std::string, double> shares;
  const auto& named = answer["admitted_shares"];
  if (!named.isObject()) {
    return shares;
  }
  for (const auto& queue : named.getMemberNames()) {
    if (const auto& share = named[queue];
        share.isDouble() && share.asDouble() > 0 && share.asDouble() < 1) {
      shares[queue] = share.asDouble();
    }
  }
  return shares;
}

// Returns nullopt if the answer is none or cannot be read.
auto ParseReportAnswer(const HttpResult& http) -> std::optional<ReportAnswer> {
  const auto answer = ParseAnswer(http);
  try {
    return ReportAnswer{RequireInt(answer, "epoch", 0, INT64_MAX),
                        RequireInt(answer, "stamp_ms", 0, INT64_MAX),
                        RequireInt(answer, "store_age_ms", 0, INT64_MAX),
                        GetInt(answer, "former_epoch", 0, 0, INT64_MAX),
                        http.sent_ms_,
                        ParseConfigSources(answer),
                        ParseExpectedWaits(answer),
                        ParseAdmittedShares(answer)};
  } catch (const Error&) {
    return std::nullopt;
  }
}

auto ParseAdvice(const Json::Value& answer) -> AdviceResult {
  AdviceResult result;
  if (!answer["tickets"].isArray()) {
    return result;
  }
  try {
    for (const auto& row : answer["tickets"]) {
      if (!row.isArray() || !row[0].isString() || !row[1].isString()) {
        throw Error(ErrorCode::kBadRequest, "a ticket is not listed as one");
      }
      result.tickets_.push_back({row[0].asString(), row[1].asString()});
    }
    result.valid_ms_ = GetInt(answer, "valid_ms", 0, 0, kMaxValidMs);
    result.is_answered_ = true;
    return result;
  } catch (const Error&) {
    return {};
  }
}

// Returns true if the connection was refused, as it is if no process listens.
auto IsRefused(const HttpResult& http) -> bool {
  return http.outcome_ == HttpOutcome::kNotSent &&
         BootMs() - http.sent_ms_ < kMaxRefusalDelayMs;
}

}  // namespace

auto JobStateFromName(const std::string& name) -> std::optional<JobState> {
  for (const auto state :
       {JobState::kQueued, JobState::kRunning, JobState::kCompleted,
        JobState::kFailed, JobState::kCancelled}) {
    if (name == JobStateName(state)) {
      return state;
    }
  }
  return std::nullopt;
}

auto PeerClient::Send(const std::string& address, const char* path,
                      const Json::Value& body, Millis timeout_ms,
                      HttpClient::Callback callback) -> void {
  http_client_->Send({address, "POST", path, DumpJson(body), "", timeout_ms},
                     std::move(callback));
}

auto PeerClient::RequestClaim(const std::string& address,
                              std::int64_t owner_revision) -> void {
  Json::Value body(Json::objectValue);
  body["owner_revision"] = Json::Int64{owner_revision};
  // If the request is lost, the owner revokes its lease shortly afterwards.
  Send(address, "/peer/claim", body, kPeerTimeoutMs,
       [](const HttpResult& /*http*/) {});
}

auto PeerClient::SendReport(const std::string& address,
                            const InstanceReport& report,
                            std::function<void(const ReportAnswer&)> on_answer,
                            std::function<void()> on_refused) -> void {
  const auto& store = report.store_;
  Json::Value body(Json::objectValue);
  body["instance"] = report.instance_;
  body["address"] = report.candidate_.address_;
  body["region"] = report.candidate_.region_;
  body["processor_milli"] = Json::Int64{static_cast<std::int64_t>(
      report.candidate_.processor_cores_ * kMilliPerCore)};
  body["store_round_trip_ms"] =
      Json::Int64{report.candidate_.store_round_trip_ms_};
  body["claim_delay_ms"] = Json::Int64{report.claim_delay_ms_};
  body["epoch"] = Json::Int64{store.epoch_};
  body["echo_ms"] = Json::Int64{store.echo_ms_};
  body["store_age_ms"] = Json::Int64{store.store_age_ms_};
  body["is_store_failing"] = store.is_store_failing_;
  if (store.former_epoch_ != 0) {
    body["former_epoch"] = Json::Int64{store.former_epoch_};
    body["former_failing_age_ms"] = Json::Int64{store.former_failing_age_ms_};
    body["former_answered_age_ms"] = Json::Int64{store.former_answered_age_ms_};
  }
  Send(address, "/peer/report", body, kPeerTimeoutMs,
       [on_answer = std::move(on_answer),
        on_refused = std::move(on_refused)](const HttpResult& http) {
         if (const auto answer = ParseReportAnswer(http); answer.has_value()) {
           on_answer(*answer);
         } else if (IsRefused(http)) {
           on_refused();
         }
       });
}

auto ParseStoreReport(const Json::Value& body) -> StoreReport {
  StoreReport report;
  report.epoch_ = GetInt(body, "epoch", 0, 0, INT64_MAX);
  report.echo_ms_ = GetInt(body, "echo_ms", 0, 0, INT64_MAX);
  report.store_age_ms_ = GetInt(body, "store_age_ms", 0, 0, INT64_MAX);
  report.former_epoch_ = GetInt(body, "former_epoch", 0, 0, INT64_MAX);
  report.is_store_failing_ = GetBool(body, "is_store_failing", false);
  report.former_failing_age_ms_ =
      GetInt(body, "former_failing_age_ms", 0, 0, INT32_MAX);
  report.former_answered_age_ms_ =
      GetInt(body, "former_answered_age_ms", 0, 0, INT32_MAX);
  return report;
}

auto ParseRelayCandidate(const Json::Value& body) -> RelayCandidate {
  return {
      RequireString(body, "address"), GetString(body, "region", ""),
      static_cast<double>(GetInt(body, "processor_milli", 0, 0, INT32_MAX)) /
          kMilliPerCore,
      GetInt(body, "store_round_trip_ms", 0, 0, INT32_MAX),
      GetInt(body, "store_age_ms", 0, 0, INT64_MAX)};
}

auto PeerClient::RequestResignation(const std::string& address,
                                    const std::string& instance,
                                    std::int64_t epoch,
                                    std::function<void(bool)> callback)
    -> void {
  Json::Value body(Json::objectValue);
  body["epoch"] = Json::Int64{epoch};
  Send(address, "/peer/resign", body, kPeerTimeoutMs,
       [instance, callback = std::move(callback)](const HttpResult& http) {
         // Another process may have been given the address.
         callback(ParseAnswer(http)["instance"] == instance);
       });
}

auto PeerClient::SendLeaseExpiries(const std::string& address,
                                   const LeaseExpiryReport& report,
                                   std::function<void(bool)> callback) -> void {
  Json::Value body(Json::objectValue);
  body["epoch"] = Json::Int64{report.epoch_};
  body["left_ms"] = Json::Value(Json::objectValue);
  for (const auto& [worker, left_ms] : report.left_ms_) {
    body["left_ms"][worker] = Json::Int64{left_ms};
  }
  Send(address, "/peer/leases", body, kPeerTimeoutMs,
       [callback = std::move(callback)](const HttpResult& http) {
         callback(http.outcome_ == HttpOutcome::kAnswered &&
                  http.status_ == 200);
       });
}

auto PeerClient::NotifyJob(const std::string& address, const JobRecord& job,
                           std::int64_t revision) -> void {
  Json::Value body(Json::objectValue);
  body["job"] = EncodeJob(job);
  body["revision"] = Json::Int64{revision};
  // If the message is lost, the owner finds the job in the store.
  Send(address, "/peer/job", body, kPeerTimeoutMs,
       [](const HttpResult& /*http*/) {});
}

auto PeerClient::NotifyCancel(const std::string& address, const std::string& id)
    -> void {
  Json::Value body(Json::objectValue);
  body["id"] = id;
  Send(address, "/peer/cancel", body, kPeerTimeoutMs,
       [](const HttpResult& /*http*/) {});
}

auto PeerClient::QueryState(
    const std::string& address, const std::string& id,
    std::function<void(std::optional<JobState>)> callback) -> void {
  Json::Value body(Json::objectValue);
  body["id"] = id;
  Send(address, "/peer/state", body, kPeerTimeoutMs,
       [callback = std::move(callback)](const HttpResult& http) {
         const auto answer = ParseAnswer(http);
         callback(answer["state"].isString()
                      ? JobStateFromName(answer["state"].asString())
                      : std::nullopt);
       });
}

auto PeerClient::QueryPending(
    const std::string& address, const std::string& queue,
    std::function<void(std::optional<std::int64_t>)> callback) -> void {
  Json::Value body(Json::objectValue);
  body["queue"] = queue;
  Send(address, "/peer/pending", body, kPeerTimeoutMs,
       [callback = std::move(callback)](const HttpResult& http) {
         const auto answer = ParseAnswer(http);
         callback(answer["jobs"].isInt64()
                      ? std::optional<std::int64_t>(answer["jobs"].asInt64())
                      : std::nullopt);
       });
}

auto PeerClient::RequestAdvice(const std::string& address,
                               const AdviceRequest& request,
                               AdviceGateway::Callback callback) -> void {
  Json::Value body(Json::objectValue);
  body["step"] = request.step_name_;
  body["expected_ms"] = Json::Int64{request.expected_ms_};
  for (const auto& worker : request.worker_ids_) {
    body["workers"].append(worker);
  }
  Send(address, "/peer/advise", body,
       request.expected_ms_ + kAdviceTimeoutMarginMs,
       [callback = std::move(callback)](const HttpResult& http) {
         callback(ParseAdvice(ParseAnswer(http)));
       });
}

}  // namespace lentilscale::fleet
