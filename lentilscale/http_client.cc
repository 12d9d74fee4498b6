// One timer per call bounds the whole call, or the pauses in its answer, so
// that a connection that went silent costs one timeout and is then closed,
// never reused. Kept connections have a bounded idle age for the same reason.
//
// h2o's pool bounds no number of connections and cannot leave out a suspect
// one, so each connection has a pool of its own and ConnectionSet chooses.
// Calls give their connections back in turns of their own, after h2o has done
// with them.

#include "lentilscale/http_client.h"

#include <fmt/format.h>
#include <h2o.h>
#include <h2o/http1client.h>

#include <algorithm>
#include <cstring>
#include <list>
#include <map>
#include <optional>

#include "lentilscale/connection_set.h"
#include "lentilscale/endpoint.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr std::uint64_t kIoTimeoutMs = 3600000;
// Turns of the loop after a timeout until a call is given up. The write of a
// request completes in one turn, and its answer is read in the next.
constexpr int kTimeoutTurns = 3;

// Period at which connections are looked through for those idle too long.
constexpr Millis kIdleCheckMs = 1000;

// A connection, in a pool of h2o that has no other.
struct Connection {
  Connection(ConnectionSet::Id id, sockaddr_storage address, socklen_t size,
             uv_loop_t* loop, Millis idle_ms)
      : id_(id) {
    h2o_socketpool_init_by_address(
        &pool_, reinterpret_cast<sockaddr*>(&address), size, 0, SIZE_MAX);
    // The pool's own timer is not started: it would need turns of the loop to
    // close.
    pool_.timeout = static_cast<std::uint64_t>(idle_ms);
    pool_._interval_cb.loop = loop;
  }
  // Closes the connection if it is idle.
  ~Connection() {
    pool_._interval_cb.loop = nullptr;
    h2o_socketpool_dispose(&pool_);
  }
  Connection(const Connection&) = delete;
  auto operator=(const Connection&) -> Connection& = delete;

  // Returns true if it is open and has no call.
  auto IsIdle() -> bool {
    return h2o_linklist_is_empty(&pool_._shared.sockets) == 0;
  }

  ConnectionSet::Id id_;
  // h2o opens a connection anew if the one that it has kept was closed.
  ConnectionNumber number_ = 0;
  h2o_socketpool_t pool_{};
};

struct CallState;

// An address, its connections and the calls that wait for one.
struct Host {
  explicit Host(std::size_t max_connections) : set_(max_connections) {}

  h2o_http1client_ctx_t* context_ = nullptr;
  sockaddr_storage address_{};
  socklen_t address_size_ = 0;
  Millis idle_ms_ = 0;
  ConnectionSet set_;
  std::map<ConnectionSet::Id, std::unique_ptr<Connection>> idle_;
  // The calls that have a connection, by it.
  std::map<ConnectionSet::Id, CallState*> calls_;
  std::list<CallState*> waiting_;
};

struct Counters {
  ConnectionNumber last_connection_ = 0;
  std::uint64_t bytes_out_ = 0;
  std::uint64_t bytes_in_ = 0;
};

struct CallState {
  uv_timer_t timer_{};
  h2o_http1client_t* client_ = nullptr;
  // nullptr if the address is not one.
  Host* host_ = nullptr;
  std::unique_ptr<Connection> connection_;
  // Its place in host_->waiting_, while it has no connection.
  std::optional<std::list<CallState*>::iterator> waiting_;
  Counters* counters_ = nullptr;
  HttpCall call_;
  std::string head_;
  h2o_iovec_t bufs_[2]{};
  // True while h2o is asked for the connection: it returns at once one that it
  // has kept.
  bool is_connecting_ = false;
  HttpResult result_;
  HttpClient::Callback callback_;
  // False once the client is gone; its callers are gone then, too.
  std::shared_ptr<bool> is_client_alive_;
  bool is_sent_ = false;
  bool is_done_ = false;
  // Turns of the loop since the timeout; see OnTimeout.
  int overdue_turns_ = 0;
  Millis timeout_ms_ = 0;
  Millis late_answer_ms_ = 0;
  LateAnswer late_answer_ = LateAnswer::kReported;
  Millis max_transfer_ms_ = 0;
  // True if a part of the answer has arrived since the timer was started.
  bool has_progressed_ = false;
};

auto StartWaitingCalls(Host* host) -> void;

// Gives the call's connection back. h2o has kept it in its pool if it can be
// used again.
auto ReleaseConnection(CallState* state) -> void {
  auto* host = state->host_;
  if (state->connection_ == nullptr) {
    return;
  }
  const auto id = state->connection_->id_;
  host->calls_.erase(id);
  if (state->result_.outcome_ == HttpOutcome::kAnswered) {
    host->set_.OnAnswered(id, MonotonicMs());
  }
  if (state->connection_->IsIdle()) {
    host->idle_.emplace(id, std::move(state->connection_));
  } else {
    host->set_.OnClosed(id);
  }
  StartWaitingCalls(host);
}

auto Finish(CallState* state, HttpOutcome outcome) -> void {
  if (state->is_done_) {
    return;
  }
  state->is_done_ = true;
  state->client_ = nullptr;
  state->result_.outcome_ = outcome;
  uv_timer_stop(&state->timer_);
  uv_close(reinterpret_cast<uv_handle_t*>(&state->timer_),
           [](uv_handle_t* handle) {
             auto* closed = static_cast<CallState*>(handle->data);
             ReleaseConnection(closed);
             const auto& result = closed->result_;
             const auto is_reported =
                 !result.is_late_ ||
                 (result.outcome_ == HttpOutcome::kAnswered
                      ? closed->late_answer_ != LateAnswer::kDropped
                      : closed->late_answer_ == LateAnswer::kNeeded);
             if (is_reported && *closed->is_client_alive_) {
               closed->callback_(closed->result_);
             }
             delete closed;
           });
}

// Ends the call without an answer and closes its connection at once.
auto Abandon(CallState* state, HttpOutcome outcome) -> void {
  if (state->client_ != nullptr) {
    h2o_http1client_cancel(state->client_);
  }
  Finish(state, outcome);
}

auto FailedOutcome(const CallState& state) -> HttpOutcome {
  return state.is_sent_ ? HttpOutcome::kUnknown : HttpOutcome::kNotSent;
}

// Returns the time for which the rest of an answer that keeps arriving is
// waited for; 0 if it is not.
auto RemainingTransferMs(const CallState& state) -> Millis {
  if (!state.has_progressed_) {
    return 0;
  }
  const auto end_ms = state.result_.sent_ms_ + state.max_transfer_ms_;
  return std::clamp<Millis>(end_ms - BootMs(), 0, state.timeout_ms_);
}

// The loop runs timers before it reads sockets. If it stood still, an answer
// may have arrived in time that has not been read, so the sockets get further
// turns before the call is given up.
auto OnTimeout(uv_timer_t* timer) -> void {
  auto* state = static_cast<CallState*>(timer->data);
  auto* host = state->host_;
  if (state->waiting_.has_value()) {
    host->waiting_.erase(*state->waiting_);
    state->waiting_.reset();
    Finish(state, HttpOutcome::kNotSent);
    return;
  }
  if (++state->overdue_turns_ < kTimeoutTurns) {
    uv_timer_start(timer, OnTimeout, 1, 0);
    return;
  }
  if (const auto remaining = RemainingTransferMs(*state); remaining > 0) {
    state->overdue_turns_ = 0;
    state->has_progressed_ = false;
    uv_timer_start(timer, OnTimeout, TimerDelay(timer->loop, remaining), 0);
    return;
  }
  host->set_.OnTimeout(state->connection_->id_, state->late_answer_ms_ > 0
                                                    ? state->late_answer_
                                                    : LateAnswer::kDropped);
  if (state->is_sent_ && state->late_answer_ms_ > 0 &&
      !state->result_.is_late_) {
    auto unanswered = HttpResult{};
    unanswered.outcome_ = HttpOutcome::kUnknown;
    unanswered.sent_ms_ = state->result_.sent_ms_;
    state->result_.is_late_ = true;
    uv_timer_start(timer, OnTimeout,
                   TimerDelay(timer->loop, state->late_answer_ms_), 0);
    if (*state->is_client_alive_) {
      state->callback_(unanswered);
    }
    StartWaitingCalls(host);
    return;
  }
  Abandon(state, FailedOutcome(*state));
}

auto OnBody(h2o_http1client_t* client, const char* error) -> int {
  auto* state = static_cast<CallState*>(client->data);
  if (error != nullptr && error != h2o_http1client_error_is_eos) {
    Finish(state, HttpOutcome::kUnknown);
    return -1;
  }
  state->has_progressed_ = true;
  auto* input = client->sock->input;
  state->result_.body_.append(input->bytes, input->size);
  state->counters_->bytes_in_ += input->size;
  h2o_buffer_consume(&client->sock->input, input->size);
  if (error == h2o_http1client_error_is_eos) {
    Finish(state, HttpOutcome::kAnswered);
  }
  return 0;
}

auto OnHead(h2o_http1client_t* client, const char* error, int /*minor*/,
            int status, h2o_iovec_t /*msg*/, h2o_header_t* /*headers*/,
            std::size_t /*num_headers*/, int /*rlen*/)
    -> h2o_http1client_body_cb {
  auto* state = static_cast<CallState*>(client->data);
  if (error != nullptr && error != h2o_http1client_error_is_eos) {
    Finish(state, HttpOutcome::kUnknown);
    return nullptr;
  }
  state->has_progressed_ = true;
  state->result_.status_ = status;
  if (error == h2o_http1client_error_is_eos) {
    Finish(state, HttpOutcome::kAnswered);
    return nullptr;
  }
  return OnBody;
}

auto MakeHead(const HttpCall& call) -> std::string {
  auto head = fmt::format(
      "{} {} HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n", call.method_,
      call.path_, call.host_.empty() ? call.address_ : call.host_,
      call.body_.size());
  if (!call.bearer_.empty()) {
    head += fmt::format("Authorization: Bearer {}\r\n", call.bearer_);
  }
  for (const auto& [name, value] : call.headers_) {
    head += fmt::format("{}: {}\r\n", name, value);
  }
  return head + "\r\n";
}

auto OnConnect(h2o_http1client_t* client, const char* error,
               h2o_iovec_t** reqbufs, std::size_t* reqbufcnt,
               int* method_is_head) -> h2o_http1client_head_cb {
  auto* state = static_cast<CallState*>(client->data);
  if (error != nullptr || state->overdue_turns_ > 0) {
    Finish(state, HttpOutcome::kNotSent);
    return nullptr;
  }
  auto& number = state->connection_->number_;
  if (!state->is_connecting_) {
    number = ++state->counters_->last_connection_;
  }
  state->result_.connection_ = number;
  auto& call = state->call_;
  if (call.other_body_.has_value() && !call.connections_.contains(number)) {
    call.body_ = *std::move(call.other_body_);
  }
  state->head_ = MakeHead(call);
  state->counters_->bytes_out_ += state->head_.size() + call.body_.size();
  state->is_sent_ = true;
  state->bufs_[0] = h2o_iovec_init(state->head_.data(), state->head_.size());
  state->bufs_[1] = h2o_iovec_init(call.body_.data(), call.body_.size());
  *reqbufs = state->bufs_;
  *reqbufcnt = 2;
  *method_is_head = 0;
  return OnHead;
}

auto Connect(CallState* state, std::unique_ptr<Connection> connection) -> void {
  auto* host = state->host_;
  host->calls_.emplace(connection->id_, state);
  state->connection_ = std::move(connection);
  state->is_connecting_ = true;
  h2o_http1client_connect_with_pool(&state->client_, state, host->context_,
                                    &state->connection_->pool_, OnConnect);
  state->is_connecting_ = false;
}

// Closes an idle connection, or one that waits for a late answer. The answer
// may have just arrived; h2o then has the connection in its pool.
auto CloseConnection(Host* host, ConnectionSet::Id id) -> void {
  host->idle_.erase(id);
  const auto call = host->calls_.find(id);
  if (call == host->calls_.end()) {
    return;
  }
  auto* state = call->second;
  host->calls_.erase(call);
  Abandon(state, HttpOutcome::kUnknown);
  state->connection_.reset();
}

auto StartWaitingCalls(Host* host) -> void {
  while (!host->waiting_.empty()) {
    auto* state = host->waiting_.front();
    const auto& preferred = state->call_.connections_;
    const auto choice = host->set_.Take([&](ConnectionSet::Id id) {
      return preferred.contains(host->idle_.at(id)->number_);
    });
    if (choice.action_ == ConnectionSet::Action::kWait) {
      return;
    }
    if (choice.closed_.has_value()) {
      CloseConnection(host, *choice.closed_);
    }
    host->waiting_.pop_front();
    state->waiting_.reset();
    if (choice.action_ == ConnectionSet::Action::kOpen) {
      Connect(state, std::make_unique<Connection>(
                         choice.id_, host->address_, host->address_size_,
                         host->context_->loop, host->idle_ms_));
      continue;
    }
    const auto idle = host->idle_.find(choice.id_);
    auto connection = std::move(idle->second);
    host->idle_.erase(idle);
    Connect(state, std::move(connection));
  }
}

}  // namespace

struct HttpClient::Core {
  uv_loop_t* loop_ = nullptr;
  Options options_;
  h2o_timeout_t io_timeout_{};
  h2o_http1client_ctx_t context_{};
  std::map<std::string, std::unique_ptr<Host>, std::less<>> hosts_;
  std::unique_ptr<RepeatingTimer> idle_check_;
  Counters counters_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);

  // Returns the host at `address`, or nullptr if it is not IP:port.
  auto FindHost(const std::string& address) -> Host* {
    if (const auto it = hosts_.find(address); it != hosts_.end()) {
      return it->second.get();
    }
    const auto endpoint = Endpoint::FromString(address);
    if (!endpoint.ok()) {
      return nullptr;
    }
    auto host = std::make_unique<Host>(options_.max_connections_);
    const auto addr = endpoint->socket_address();
    std::memcpy(&host->address_, &addr, sizeof(addr));
    host->address_size_ = sizeof(addr);
    host->context_ = &context_;
    host->idle_ms_ = options_.idle_ms_;
    if (idle_check_ == nullptr) {
      idle_check_ = std::make_unique<RepeatingTimer>(
          loop_, kIdleCheckMs, [this] { CloseIdleConnections(); });
    }
    return hosts_.emplace(address, std::move(host)).first->second.get();
  }

  auto CloseIdleConnections() -> void {
    const auto since = MonotonicMs() - options_.idle_ms_;
    for (const auto& [address, host] : hosts_) {
      for (const auto id : host->set_.RemoveIdleSince(since)) {
        host->idle_.erase(id);
      }
    }
  }
};

HttpClient::HttpClient(uv_loop_t* loop, const Options& options)
    : core_(std::make_unique<Core>()) {
  core_->loop_ = loop;
  core_->options_ = options;
  h2o_timeout_init(loop, &core_->io_timeout_, kIoTimeoutMs);
  core_->context_.loop = loop;
  core_->context_.io_timeout = &core_->io_timeout_;
}

// Pools and timers of h2o refer to the loop; a client lives as long as the
// process, so its core is left to the end of the process.
HttpClient::~HttpClient() {
  *core_->is_alive_ = false;
  core_.release();  // NOLINT(bugprone-unused-return-value)
}

auto HttpClient::Send(HttpCall call, Callback callback) -> void {
  auto* state = new CallState;
  state->host_ = core_->FindHost(call.address_);
  state->counters_ = &core_->counters_;
  state->callback_ = std::move(callback);
  state->is_client_alive_ = core_->is_alive_;
  state->result_.sent_ms_ = BootMs();
  state->timeout_ms_ = std::max<Millis>(call.timeout_ms_, 1);
  state->late_answer_ms_ = call.late_answer_ms_;
  state->late_answer_ = call.late_answer_;
  state->max_transfer_ms_ = call.max_transfer_ms_;
  state->call_ = std::move(call);
  uv_timer_init(core_->loop_, &state->timer_);
  state->timer_.data = state;
  if (state->host_ == nullptr) {
    Finish(state, HttpOutcome::kNotSent);
    return;
  }
  uv_timer_start(&state->timer_, OnTimeout,
                 TimerDelay(core_->loop_, state->timeout_ms_), 0);
  auto& waiting = state->host_->waiting_;
  state->waiting_ = waiting.insert(waiting.end(), state);
  StartWaitingCalls(state->host_);
}

auto HttpClient::bytes_out() const -> std::uint64_t {
  return core_->counters_.bytes_out_;
}

auto HttpClient::bytes_in() const -> std::uint64_t {
  return core_->counters_.bytes_in_;
}

}  // namespace lentilscale
