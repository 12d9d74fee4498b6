// An HTTP/1.1 client on libuv, by h2o's http1client.
//
//   client.Send({"127.0.0.1:7001", "POST", "/v1/claim", body, "", 500},
//               [](const HttpResult& result) { ... });
//
// Connections are kept and reused per address, up to a bounded number and idle
// age; calls beyond the number wait in order. The result tells apart "never
// sent" from "sent, no answer": only the first proves that the request was not
// executed.

#ifndef LENTILSCALE_HTTP_CLIENT_H_
#define LENTILSCALE_HTTP_CLIENT_H_

#include <uv.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "lentilscale/clock.h"
#include "lentilscale/connection_set.h"

namespace lentilscale {

// Names one connection of a client. A new connection to the same address has
// another number; 0 is none.
using ConnectionNumber = std::int64_t;

// One request to send.
struct HttpCall {
  // IP number and port, "127.0.0.1:7001".
  std::string address_;
  std::string method_;
  std::string path_;
  std::string body_;
  // A key for the Authorization header, or empty.
  std::string bearer_;
  // Time after which the call is given up: from now or, if max_transfer_ms_ is
  // longer, without a byte of the answer.
  Millis timeout_ms_ = 1000;
  // Further headers, by name and value.
  std::vector<std::pair<std::string, std::string>> headers_ = {};
  // The Host header; the address if it is empty.
  std::string host_ = {};
  // Time after the timeout during which the connection is kept open for a late
  // answer; less if other calls need a connection. It is then used again.
  Millis late_answer_ms_ = 0;
  // Time from now until the call is given up although its answer keeps
  // arriving. A large answer over a slow link is worth waiting for: if it is
  // thrown away, the retry loads the link as much again.
  Millis max_transfer_ms_ = 0;
  // What becomes of a late answer.
  LateAnswer late_answer_ = LateAnswer::kReported;
  // Sent in place of body_ over any connection that is not among
  // `connections_`, which are preferred. A connection ends with the process
  // that accepted it, so what only that process may be told is sent over no
  // other one.
  std::optional<std::string> other_body_ = {};
  std::set<ConnectionNumber> connections_ = {};
};

// How a call ended.
enum class HttpOutcome {
  // A whole answer arrived.
  kAnswered,
  // The connection could not be made, or none was free: the request was never
  // sent.
  kNotSent,
  // The request was sent, at least in part, and no whole answer arrived.
  kUnknown,
};

// The result of one call.
struct HttpResult {
  HttpOutcome outcome_ = HttpOutcome::kNotSent;
  int status_ = 0;
  std::string body_;
  // The time by BootMs at which the call was sent; an answer confirms the
  // answering process's state at some time after it.
  Millis sent_ms_ = 0;
  // True if the call has been reported as kUnknown before.
  bool is_late_ = false;
  // The connection that the call was sent over; 0 if it was not sent.
  ConnectionNumber connection_ = 0;
};

// Sends requests and keeps the connections.
class HttpClient {
 public:
  using Callback = std::function<void(const HttpResult&)>;

  struct Options {
    // Idle time after which a kept connection is closed. It must be shorter
    // than the servers' own.
    Millis idle_ms_ = 3000;
    // Most connections to one address, including those that are idle and those
    // that wait for late answers.
    std::size_t max_connections_ = 4096;
  };

  HttpClient(uv_loop_t* loop, const Options& options);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  auto operator=(const HttpClient&) -> HttpClient& = delete;

  // Sends `call`; `callback` always runs later. It runs once with the outcome,
  // and once more if that was a timeout and the whole answer arrives while it
  // is still waited for; if none does, only for LateAnswer::kNeeded.
  auto Send(HttpCall call, Callback callback) -> void;

  // Returns bytes of requests sent and of answers received.
  auto bytes_out() const -> std::uint64_t;
  auto bytes_in() const -> std::uint64_t;

 private:
  struct Core;
  std::unique_ptr<Core> core_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HTTP_CLIENT_H_
