// One timer per call bounds the whole call, or the pauses in its answer, so
// that a connection that went silent costs one timeout and is then closed,
// never reused. Kept connections have a bounded idle age for the same reason.
//
// h2o's pool does not bound the number of connections; the executor keeps
// within a worker's bound by giving it fewer tasks than it takes connections.

#include "lentilscale/http_client.h"

#include <fmt/format.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <map>

#include "lentilscale/endpoint.h"
#include "lentilscale/timer.h"

namespace lentilscale {
namespace {

constexpr std::uint64_t kIoTimeoutMs = 3600000;
// Turns of the loop after a timeout until a call is given up. The write of a
// request completes in one turn, and its answer is read in the next.
constexpr int kTimeoutTurns = 3;

struct Pool {
  h2o_socketpool_t pool_{};
  // True after a call timed out: a connection that went silent is not told
  // from a slow answer, so the pool's other connections are left as well.
  bool is_silent_ = false;
};

struct Counters {
  std::uint64_t bytes_out_ = 0;
  std::uint64_t bytes_in_ = 0;
};

struct CallState {
  uv_timer_t timer_{};
  h2o_http1client_t* client_ = nullptr;
  Pool* pool_ = nullptr;
  Counters* counters_ = nullptr;
  std::string head_;
  std::string body_;
  h2o_iovec_t bufs_[2]{};
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
  Millis max_transfer_ms_ = 0;
  // True if a part of the answer has arrived since the timer was started.
  bool has_progressed_ = false;
};

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
             const auto is_reported =
                 closed->result_.is_late_ &&
                 closed->result_.outcome_ != HttpOutcome::kAnswered;
             if (!is_reported && *closed->is_client_alive_) {
               closed->callback_(closed->result_);
             }
             delete closed;
           });
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
  state->pool_->is_silent_ = true;
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
    return;
  }
  if (state->client_ != nullptr) {
    h2o_http1client_cancel(state->client_);
  }
  Finish(state, FailedOutcome(*state));
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

auto OnConnect(h2o_http1client_t* client, const char* error,
               h2o_iovec_t** reqbufs, std::size_t* reqbufcnt,
               int* method_is_head) -> h2o_http1client_head_cb {
  auto* state = static_cast<CallState*>(client->data);
  if (error != nullptr || state->overdue_turns_ > 0) {
    Finish(state, HttpOutcome::kNotSent);
    return nullptr;
  }
  state->is_sent_ = true;
  state->bufs_[0] = h2o_iovec_init(state->head_.data(), state->head_.size());
  state->bufs_[1] = h2o_iovec_init(state->body_.data(), state->body_.size());
  *reqbufs = state->bufs_;
  *reqbufcnt = 2;
  *method_is_head = 0;
  return OnHead;
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

}  // namespace

struct HttpClient::Core {
  uv_loop_t* loop_ = nullptr;
  Options options_;
  h2o_timeout_t io_timeout_{};
  h2o_http1client_ctx_t context_{};
  std::map<std::string, std::unique_ptr<Pool>, std::less<>> pools_;
  std::vector<std::unique_ptr<Pool>> retired_pools_;
  Counters counters_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);

  // Returns the pool for `address`, or nullptr if it is not IP:port.
  auto FindPool(const std::string& address) -> Pool* {
    const auto it = pools_.find(address);
    if (it != pools_.end() && !it->second->is_silent_) {
      return it->second.get();
    }
    if (it != pools_.end()) {
      // Calls that are under way still refer to the pool.
      retired_pools_.push_back(std::move(it->second));
      pools_.erase(it);
    }
    const auto endpoint = Endpoint::FromString(address);
    if (!endpoint.ok()) {
      return nullptr;
    }
    auto addr = endpoint->socket_address();
    auto pool = std::make_unique<Pool>();
    h2o_socketpool_init_by_address(&pool->pool_,
                                   reinterpret_cast<sockaddr*>(&addr),
                                   sizeof(addr), 0, SIZE_MAX);
    h2o_socketpool_set_timeout(&pool->pool_, loop_, options_.idle_ms_);
    return pools_.emplace(address, std::move(pool)).first->second.get();
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
  auto* pool = core_->FindPool(call.address_);
  auto* state = new CallState;
  static Pool no_pool;
  state->pool_ = pool == nullptr ? &no_pool : pool;
  state->counters_ = &core_->counters_;
  state->callback_ = std::move(callback);
  state->is_client_alive_ = core_->is_alive_;
  state->result_.sent_ms_ = BootMs();
  state->timeout_ms_ = std::max<Millis>(call.timeout_ms_, 1);
  state->late_answer_ms_ = call.late_answer_ms_;
  state->max_transfer_ms_ = call.max_transfer_ms_;
  state->head_ = MakeHead(call);
  state->body_ = std::move(call.body_);
  uv_timer_init(core_->loop_, &state->timer_);
  state->timer_.data = state;
  if (pool == nullptr) {
    Finish(state, HttpOutcome::kNotSent);
    return;
  }
  core_->counters_.bytes_out_ += state->head_.size() + state->body_.size();
  uv_timer_start(&state->timer_, OnTimeout,
                 TimerDelay(core_->loop_, state->timeout_ms_), 0);
  h2o_http1client_connect_with_pool(&state->client_, state, &core_->context_,
                                    &pool->pool_, OnConnect);
}

auto HttpClient::bytes_out() const -> std::uint64_t {
  return core_->counters_.bytes_out_;
}

auto HttpClient::bytes_in() const -> std::uint64_t {
  return core_->counters_.bytes_in_;
}

}  // namespace lentilscale
