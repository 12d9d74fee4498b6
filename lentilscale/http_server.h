// An HTTP/1.1 server on libuv, by h2o.
//
// A handler gets each request with an object to answer it later, from the same
// thread:
//
//   auto server = HttpServer::Listen(loop, "127.0.0.1", 0, limits,
//       [](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
//         reply->Send(200, "{}");
//       });
//
// If the caller disconnects first, the answer is dropped and IsGone() is true.
// A reply that is destroyed unanswered answers 500.

#ifndef LENTILSCALE_HTTP_SERVER_H_
#define LENTILSCALE_HTTP_SERVER_H_

#include <absl/status/statusor.h>
#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

struct st_h2o_req_t;

namespace lentilscale {

// A request as a handler sees it.
struct HttpRequest {
  std::string method_;
  // The path without the query.
  std::string path_;
  // The text after '?', not decoded.
  std::string query_;
  // The value of the Authorization header after "Bearer ", or empty.
  std::string bearer_;
  // The host of the Host header, without its port.
  std::string host_;
  // True if a header that must be unique came twice.
  bool has_duplicate_header_ = false;
  std::string body_;

  // Returns the query parameter `name`, percent-decoded, or `fallback`.
  auto QueryParam(std::string_view name, const std::string& fallback) const
      -> std::string;
};

// The means to answer one request, once.
class HttpReply {
 public:
  explicit HttpReply(st_h2o_req_t* req) : req_(req) {}
  ~HttpReply();
  HttpReply(const HttpReply&) = delete;
  auto operator=(const HttpReply&) -> HttpReply& = delete;

  // Answers with a JSON body, or with text if `content_type` says so. Later
  // calls are ignored.
  auto Send(int status, const std::string& body,
            const char* content_type = "application/json") -> void;

  // Answers with a JSON body and a Retry-After header of `retry_after_s`.
  auto SendRetryLater(int status, const std::string& body, int retry_after_s)
      -> void;

  // Returns true if the caller has disconnected or has been answered.
  auto IsGone() const -> bool { return req_ == nullptr; }

  // Called by the server when h2o disposes of the request.
  auto Detach() -> void { req_ = nullptr; }

 private:
  st_h2o_req_t* req_;
};

// Bounds on what the server accepts.
struct HttpLimits {
  std::size_t max_body_bytes_ = 262144;
  // Names and values of a request's headers together; more is refused with 431.
  std::size_t max_header_bytes_ = 16384;
  // Time for a request's header and body to arrive; also the longest idle
  // time of a connection.
  std::uint64_t request_timeout_ms_ = 15000;
};

// A listening HTTP server.
class HttpServer {
 public:
  using Handler =
      std::function<void(const HttpRequest&, std::shared_ptr<HttpReply>)>;

  // Listens on `address`:`port`; port 0 takes a free one. Returns an error
  // if the address is not an IP number or is taken.
  static auto Listen(uv_loop_t* loop, const std::string& address, int port,
                     const HttpLimits& limits, Handler handler)
      -> absl::StatusOr<std::unique_ptr<HttpServer>>;

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  auto operator=(const HttpServer&) -> HttpServer& = delete;

  // Returns the port that the server listens on.
  auto port() const -> int { return port_; }

  // Returns the number of requests that have not been answered yet.
  auto open_requests() const -> std::int64_t;

  // Returns the number of connections on which a request may still be read or
  // answered.
  auto open_connections() const -> std::size_t;

  // Closes each connection after its next answer, which says so.
  auto CloseAfterAnswers() -> void;

  // Stops accepting connections and closes idle ones; open requests go on, and
  // their connections are closed after the answer.
  auto StopAccepting() -> void;

  // Reads nothing any more and answers all open requests. Call StopAccepting()
  // first.
  auto AnswerOpenRequests(int status, const std::string& body) -> void;

  // Returns bytes received and sent with requests and answers.
  auto bytes_in() const -> std::uint64_t;
  auto bytes_out() const -> std::uint64_t;

 private:
  struct Core;
  explicit HttpServer(std::unique_ptr<Core> core);

  std::unique_ptr<Core> core_;
  int port_ = 0;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HTTP_SERVER_H_
