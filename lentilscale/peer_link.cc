// Prompt messages use JSON-RPC because libjsonrpccpp checks their envelopes.
// Its server answers synchronously, which does not fit requests that end
// later; those are plain HTTP requests on the same connections.

#include "lentilscale/peer_link.h"

#include <openssl/crypto.h>

#include "lentilscale/configuration.h"
#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"
#include "lentilscale/refusal.h"
#include "lentilscale/rpc_client_codec.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr auto kRpcPath = "/peer/v1/rpc";
constexpr auto kHttpOk = 200;

// Digests have equal lengths, so the comparison takes the same time for every
// wrong key.
auto IsSameSecret(const std::string& a, const std::string& b) -> bool {
  const auto digest_a = Sha256Hex(a);
  const auto digest_b = Sha256Hex(b);
  return CRYPTO_memcmp(digest_a.data(), digest_b.data(), digest_a.size()) == 0;
}

auto ToAnswer(const HttpResult& result) -> PeerAnswer {
  PeerAnswer answer;
  answer.is_not_sent_ = result.outcome_ == HttpOutcome::kNotSent;
  answer.http_status_ = result.status_;
  if (result.outcome_ != HttpOutcome::kAnswered) {
    return answer;
  }
  try {
    answer.body_ = ParseJson(result.body_);
    answer.is_ok_ = result.status_ == kHttpOk;
  } catch (const Error& e) {
    LogEvent(Event::kBadPeerMessage, {{"problem", e.what()}});
  }
  return answer;
}

}  // namespace

auto PeerLink::CallSelf(const std::string& method, const Json::Value& params,
                        Callback callback) -> void {
  RunAfter(loop_, 0, [this, method, params, callback = std::move(callback)] {
    PeerAnswer answer;
    answer.body_ = rpc_.CallLocal(method, params);
    answer.is_ok_ = !answer.body_.isMember("error");
    answer.http_status_ = kHttpOk;
    callback(answer);
  });
}

auto PeerLink::Call(const std::string& address, const std::string& method,
                    const Json::Value& params, Callback callback) -> void {
  if (address == options_.self_address_) {
    CallSelf(method, params, std::move(callback));
    return;
  }
  const auto text = EncodeRpcRequest(method, params);
  metrics_->Add(Counter::kPeerBytesOut, static_cast<std::int64_t>(text.size()));
  client_->Send(
      {address, "POST", kRpcPath, text, options_.peer_key_,
       options_.call_timeout_ms_},
      [this, method, callback = std::move(callback)](const HttpResult& result) {
        metrics_->Add(Counter::kPeerBytesIn,
                      static_cast<std::int64_t>(result.body_.size()));
        PeerAnswer answer;
        answer.is_not_sent_ = result.outcome_ == HttpOutcome::kNotSent;
        answer.http_status_ = result.status_;
        if (result.outcome_ == HttpOutcome::kAnswered &&
            result.status_ == kHttpOk) {
          const auto problem =
              DecodeRpcResult(method, result.body_, answer.body_);
          answer.is_ok_ = problem.empty() && answer.body_.isObject() &&
                          !answer.body_.isMember("error");
          if (!problem.empty()) {
            LogEvent(Event::kBadPeerMessage,
                     {{"method", method}, {"problem", problem}});
          }
        }
        callback(answer);
      });
}

auto PeerLink::AskSelf(const std::string& path, const Json::Value& body,
                       Callback callback) -> void {
  RunAfter(loop_, 0, [this, path, body, callback = std::move(callback)] {
    const auto respond = [callback](int status, const Json::Value& result) {
      callback({status == kHttpOk, false, status, result});
    };
    try {
      requests_.at(path)(body, respond);
    } catch (const Error& e) {
      respond(e.info().http_status_, MakeRefusal(e.code(), e.what()));
    }
  });
}

auto PeerLink::Ask(const std::string& address, const std::string& path,
                   const Json::Value& body, Millis timeout_ms,
                   Callback callback) -> void {
  if (address == options_.self_address_) {
    AskSelf(path, body, std::move(callback));
    return;
  }
  const auto text = DumpJson(body);
  metrics_->Add(Counter::kPeerBytesOut, static_cast<std::int64_t>(text.size()));
  client_->Send(
      {address, "POST", path, text, options_.peer_key_, timeout_ms},
      [this, callback = std::move(callback)](const HttpResult& result) {
        metrics_->Add(Counter::kPeerBytesIn,
                      static_cast<std::int64_t>(result.body_.size()));
        callback(ToAnswer(result));
      });
}

auto PeerLink::Serve(const HttpRequest& request,
                     std::shared_ptr<HttpReply> reply) -> void {
  if (!options_.peer_key_.empty() &&
      !IsSameSecret(request.bearer_, options_.peer_key_)) {
    reply->Send(401, R"({"code":"bad_key","not_run":true})");
    return;
  }
  if (request.path_ == kRpcPath) {
    reply->Send(kHttpOk, rpc_.Handle(request.body_));
    return;
  }
  const auto it = requests_.find(request.path_);
  if (it == requests_.end()) {
    reply->Send(404, R"({"code":"not_found","not_run":true})");
    return;
  }
  try {
    it->second(ParseJson(request.body_),
               [reply](int status, const Json::Value& body) {
                 reply->Send(status, DumpJson(body));
               });
  } catch (const Error& e) {
    reply->Send(e.info().http_status_,
                DumpJson(MakeRefusal(e.code(), e.what())));
  }
}

}  // namespace lentilscale
