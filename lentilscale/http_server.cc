// h2o parses requests and writes answers. Every request is answered through a
// reply object that learns of the request's end by a destructor in the
// request's memory pool; that one hook covers disconnects, timeouts and the
// normal end, at the cost of one small allocation per request.
//
// libuv polls once more after uv_stop(). A process that ends while a connection
// is still being read can therefore read a request that it never answers;
// StopAccepting() ends the reading first.

#include "lentilscale/http_server.h"

#include <fmt/format.h>
#include <h2o.h>
#include <sys/socket.h>

#include <cstring>
#include <set>

namespace lentilscale {
namespace {

constexpr auto kListenBacklog = 1024;
constexpr std::string_view kBearerPrefix = "Bearer ";

struct ServerCounters {
  std::int64_t open_requests_ = 0;
  std::uint64_t bytes_in_ = 0;
  std::uint64_t bytes_out_ = 0;
};

// One process has few servers, all on one thread, and h2o gives no room for a
// per-server pointer in a reply; the counters are therefore reached through
// the handler object of the request.
struct LentilHandler {
  h2o_handler_t super_;
  HttpServer::Handler* handler_;
  ServerCounters* counters_;
  std::size_t max_header_bytes_;
};

// A connection, reached through the on_close hook of its socket.
struct Connection {
  // The connections of the server that are read or have a request.
  std::set<Connection*>* open_connections_;
  h2o_socket_t* socket_;
  // True from the reading of a request to the end of its answer.
  bool has_request_;
  // Belongs to the handler, so that a forgotten reply answers.
  std::weak_ptr<HttpReply> reply_;
};

struct ReplyHook {
  Connection* connection_;
  ServerCounters* counters_;
};

auto ConnectionOf(const h2o_req_t& req) -> Connection* {
  auto* socket = req.conn->callbacks->get_socket(req.conn);
  return static_cast<Connection*>(socket->on_close.data);
}

auto OnClose(void* data) -> void {
  auto* connection = static_cast<Connection*>(data);
  connection->open_connections_->erase(connection);
  delete connection;
}

// Tells the client that no answer follows. The socket is closed by h2o's
// timeout or at the end of the process.
auto StopReading(Connection* connection) -> void {
  h2o_socket_read_stop(connection->socket_);
  shutdown(h2o_socket_get_fd(connection->socket_), SHUT_WR);
  connection->open_connections_->erase(connection);
}

// h2o disposes of a request before it closes the request's socket.
auto DisposeHook(void* data) -> void {
  auto* hook = *static_cast<ReplyHook**>(data);
  hook->connection_->has_request_ = false;
  if (const auto reply = hook->connection_->reply_.lock()) {
    reply->Detach();
  }
  --hook->counters_->open_requests_;
  delete hook;
}

auto ToString(const h2o_iovec_t& vec) -> std::string {
  return {vec.base == nullptr ? "" : vec.base, vec.len};
}

auto ReadHeaders(const h2o_req_t& req, HttpRequest& out) -> void {
  auto is_authorization_seen = false;
  for (std::size_t i = 0; i < req.headers.size; ++i) {
    const auto& header = req.headers.entries[i];
    if (header.name != &H2O_TOKEN_AUTHORIZATION->buf) {
      continue;
    }
    out.has_duplicate_header_ |= is_authorization_seen;
    is_authorization_seen = true;
    const auto value = ToString(header.value);
    if (value.starts_with(kBearerPrefix)) {
      out.bearer_ = value.substr(kBearerPrefix.size());
    }
  }
}

auto HeaderBytes(const h2o_req_t& req) -> std::size_t {
  auto bytes = req.path.len;
  for (std::size_t i = 0; i < req.headers.size; ++i) {
    const auto& header = req.headers.entries[i];
    bytes += header.name->len + header.value.len;
  }
  return bytes;
}

auto MakeRequest(const h2o_req_t& req) -> HttpRequest {
  HttpRequest out;
  out.method_ = ToString(req.method);
  const auto target = ToString(req.path);
  const auto mark = target.find('?');
  out.path_ = target.substr(0, mark);
  out.query_ = mark == std::string::npos ? "" : target.substr(mark + 1);
  out.body_ = ToString(req.entity);
  out.host_ = ToString(req.authority);
  out.host_ = out.host_.substr(0, out.host_.find(':'));
  ReadHeaders(req, out);
  return out;
}

// Returns the standard phrase of `status`, RFC 9110 section 15.
auto ReasonPhrase(int status) -> const char* {
  switch (status) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 400:
      return "Bad Request";
    case 401:
      return "Unauthorized";
    case 403:
      return "Forbidden";
    case 404:
      return "Not Found";
    case 408:
      return "Request Timeout";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 410:
      return "Gone";
    case 413:
      return "Content Too Large";
    case 422:
      return "Unprocessable Content";
    case 429:
      return "Too Many Requests";
    case 431:
      return "Request Header Fields Too Large";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
  }
}

auto OnRequest(h2o_handler_t* self, h2o_req_t* req) -> int {
  auto* handler = reinterpret_cast<LentilHandler*>(self);
  const auto request = MakeRequest(*req);
  auto reply = std::make_shared<HttpReply>(req);
  auto** slot = static_cast<ReplyHook**>(
      h2o_mem_alloc_shared(&req->pool, sizeof(void*), DisposeHook));
  *slot = new ReplyHook{ConnectionOf(*req), handler->counters_};
  (*slot)->connection_->has_request_ = true;
  (*slot)->connection_->reply_ = reply;
  ++handler->counters_->open_requests_;
  handler->counters_->bytes_in_ += request.path_.size() + request.body_.size();
  if (HeaderBytes(*req) > handler->max_header_bytes_) {
    reply->Send(431, R"({"code":"too_large","not_run":true})");
    return 0;
  }
  (*handler->handler_)(request, std::move(reply));
  return 0;
}

auto DecodePercent(std::string_view text) -> std::string {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      const auto hex = std::string(text.substr(i + 1, 2));
      out += static_cast<char>(std::strtol(hex.c_str(), nullptr, 16));
      i += 2;
    } else {
      out += text[i] == '+' ? ' ' : text[i];
    }
  }
  return out;
}

}  // namespace

auto HttpRequest::QueryParam(std::string_view name,
                             const std::string& fallback) const -> std::string {
  std::string_view rest = query_;
  while (!rest.empty()) {
    const auto end = std::min(rest.find('&'), rest.size());
    const auto pair = rest.substr(0, end);
    const auto equals = std::min(pair.find('='), pair.size());
    if (pair.substr(0, equals) == name && equals < pair.size()) {
      return DecodePercent(pair.substr(equals + 1));
    }
    rest.remove_prefix(std::min(end + 1, rest.size()));
  }
  return fallback;
}

HttpReply::~HttpReply() {
  // h2o disposes of a request only after its answer, so an unanswered reply
  // that is destroyed here was forgotten by a handler.
  Send(500, R"({"code":"internal","not_run":false})");
}

auto HttpReply::SendRetryLater(int status, const std::string& body,
                               int retry_after_s) -> void {
  if (req_ == nullptr) {
    return;
  }
  const auto value = std::to_string(retry_after_s);
  const auto copy = h2o_strdup(&req_->pool, value.data(), value.size());
  h2o_add_header_by_str(&req_->pool, &req_->res.headers,
                        H2O_STRLIT("retry-after"), 0, nullptr, copy.base,
                        copy.len);
  Send(status, body);
}

auto HttpReply::Send(int status, const std::string& body,
                     const char* content_type) -> void {
  if (req_ == nullptr) {
    return;
  }
  auto* req = req_;
  req_ = nullptr;
  auto* handler =
      reinterpret_cast<LentilHandler*>(req->pathconf->handlers.entries[0]);
  handler->counters_->bytes_out_ += body.size();
  req->res.status = status;
  req->res.reason = ReasonPhrase(status);
  // Without a length, h2o ends the connection after each refusal.
  req->res.content_length = body.size();
  h2o_add_header(&req->pool, &req->res.headers, H2O_TOKEN_CONTENT_TYPE, nullptr,
                 content_type, std::strlen(content_type));
  h2o_send_inline(req, body.data(), body.size());
}

struct HttpServer::Core {
  h2o_globalconf_t config_{};
  h2o_context_t context_{};
  h2o_accept_ctx_t accept_{};
  uv_tcp_t* listener_ = nullptr;
  Handler handler_;
  ServerCounters counters_;
  std::set<Connection*> open_connections_;
  // Active once the server has stopped accepting.
  uv_check_t idle_closer_{};

  static auto OnConnection(uv_stream_t* listener, int status) -> void {
    if (status != 0) {
      return;
    }
    auto* core = static_cast<Core*>(listener->data);
    auto* connection = static_cast<uv_tcp_t*>(h2o_mem_alloc(sizeof(uv_tcp_t)));
    uv_tcp_init(listener->loop, connection);
    auto* stream = reinterpret_cast<uv_stream_t*>(connection);
    if (uv_accept(listener, stream) != 0) {
      uv_close(reinterpret_cast<uv_handle_t*>(connection),
               reinterpret_cast<uv_close_cb>(free));
      return;
    }
    uv_tcp_nodelay(connection, 1);
    auto* sock =
        h2o_uv_socket_create(stream, reinterpret_cast<uv_close_cb>(free));
    auto* tracked = new Connection{&core->open_connections_, sock, false, {}};
    core->open_connections_.insert(tracked);
    sock->on_close.cb = OnClose;
    sock->on_close.data = tracked;
    h2o_accept(&core->accept_, sock);
  }

  auto CloseIdleConnections() -> void {
    for (auto it = open_connections_.begin(); it != open_connections_.end();) {
      auto* connection = *it++;
      if (!connection->has_request_ && connection->socket_->input->size == 0) {
        StopReading(connection);
      }
    }
  }

  auto CloseListener() -> void {
    if (listener_ == nullptr) {
      return;
    }
    uv_close(reinterpret_cast<uv_handle_t*>(listener_),
             [](uv_handle_t* handle) {
               delete reinterpret_cast<uv_tcp_t*>(handle);
             });
    listener_ = nullptr;
  }
};

HttpServer::HttpServer(std::unique_ptr<Core> core) : core_(std::move(core)) {}

HttpServer::~HttpServer() {
  // Connections of h2o refer to the context until the loop ends; a server is
  // destroyed only at the end of the process, so the core is left to it.
  core_->CloseListener();
  core_->handler_ = [](const HttpRequest&, std::shared_ptr<HttpReply> reply) {
    reply->Send(503, R"({"code":"shutting_down","not_run":true})");
  };
  core_.release();  // NOLINT(bugprone-unused-return-value)
}

auto HttpServer::Listen(uv_loop_t* loop, const std::string& address, int port,
                        const HttpLimits& limits, Handler handler)
    -> absl::StatusOr<std::unique_ptr<HttpServer>> {
  sockaddr_in addr{};
  if (uv_ip4_addr(address.c_str(), port, &addr) != 0) {
    return absl::InvalidArgumentError(address + " is not an IP number");
  }
  auto core = std::make_unique<Core>();
  core->handler_ = std::move(handler);
  h2o_config_init(&core->config_);
  core->config_.max_request_entity_size = limits.max_body_bytes_;
  core->config_.http1.req_timeout = limits.request_timeout_ms_;
  core->config_.http1.upgrade_to_http2 = 0;
  core->config_.server_name = h2o_iovec_init(H2O_STRLIT("lentilscale"));
  auto* host = h2o_config_register_host(
      &core->config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
  auto* path = h2o_config_register_path(host, "/", 0);
  auto* h2o_handler = reinterpret_cast<LentilHandler*>(
      h2o_create_handler(path, sizeof(LentilHandler)));
  h2o_handler->super_.on_req = OnRequest;
  h2o_handler->handler_ = &core->handler_;
  h2o_handler->counters_ = &core->counters_;
  h2o_handler->max_header_bytes_ = limits.max_header_bytes_;
  h2o_context_init(&core->context_, loop, &core->config_);
  core->accept_.ctx = &core->context_;
  core->accept_.hosts = core->config_.hosts;

  uv_check_init(loop, &core->idle_closer_);
  core->idle_closer_.data = core.get();
  core->listener_ = new uv_tcp_t;
  uv_tcp_init(loop, core->listener_);
  core->listener_->data = core.get();
  auto status =
      uv_tcp_bind(core->listener_, reinterpret_cast<const sockaddr*>(&addr), 0);
  if (status == 0) {
    status = uv_listen(reinterpret_cast<uv_stream_t*>(core->listener_),
                       kListenBacklog, Core::OnConnection);
  }
  if (status != 0) {
    core->CloseListener();
    core.release();  // NOLINT(bugprone-unused-return-value)
    return absl::UnavailableError(
        fmt::format("{}:{}: {}", address, port, uv_strerror(status)));
  }
  sockaddr_in bound{};
  auto length = static_cast<int>(sizeof(bound));
  uv_tcp_getsockname(core->listener_, reinterpret_cast<sockaddr*>(&bound),
                     &length);
  auto server = std::unique_ptr<HttpServer>(new HttpServer(std::move(core)));
  server->port_ = ntohs(bound.sin_port);
  return server;
}

auto HttpServer::open_requests() const -> std::int64_t {
  return core_->counters_.open_requests_;
}

auto HttpServer::bytes_in() const -> std::uint64_t {
  return core_->counters_.bytes_in_;
}

auto HttpServer::bytes_out() const -> std::uint64_t {
  return core_->counters_.bytes_out_;
}

auto HttpServer::open_connections() const -> std::size_t {
  return core_->open_connections_.size();
}

auto HttpServer::CloseAfterAnswers() -> void {
  h2o_context_request_shutdown(&core_->context_);
}

auto HttpServer::StopAccepting() -> void {
  core_->CloseListener();
  CloseAfterAnswers();
  core_->CloseIdleConnections();
  // A connection also becomes idle by the end of its answer; it is closed
  // before the loop polls again.
  uv_check_start(&core_->idle_closer_, [](uv_check_t* check) {
    static_cast<Core*>(check->data)->CloseIdleConnections();
  });
  uv_unref(reinterpret_cast<uv_handle_t*>(&core_->idle_closer_));
}

auto HttpServer::AnswerOpenRequests(int status, const std::string& body)
    -> void {
  const auto connections = core_->open_connections_;
  for (auto* connection : connections) {
    if (!connection->has_request_) {
      StopReading(connection);
    } else if (const auto reply = connection->reply_.lock()) {
      reply->Send(status, body);
    }
  }
}

}  // namespace lentilscale
