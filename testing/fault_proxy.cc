// fault_proxy forwards TCP connections and makes them misbehave on request.
//
//   fault_proxy --port=0 --links=NAME=IP:PORT,...
//
// It prints "port N" for its control address and "link NAME PORT" for every
// link. Control:
//
//   POST /fake/link   {"name": NAME, "target": "IP:PORT"} -> {"port": N};
//                     a name that is there gets the new target
//   POST /fake/fault  {"link": PREFIX, "kind": KIND, "ms": N, "value": V}
//
//   delay      each piece of data is late by V ms, in both directions
//   cut        connections are closed and new ones refused
//   reset      connections are closed with a reset, once
//   blackhole  nothing is forwarded and new connections hang
//   half_open  connections that are open now stay silent for good; new ones
//              work
//   slow       at most V bytes per second in each direction
//   duplicate  V per cent of the pieces from callers are replayed on a
//              connection of their own, whose answers are dropped
//
// A fault ends after ms, or with {"kind": "none"}.

#include <absl/flags/flag.h>
#include <absl/strings/str_split.h>
#include <fmt/format.h>
#include <signal.h>
#include <uv.h>

#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "lentilscale/command_line.h"
#include "lentilscale/error.h"
#include "lentilscale/http_server.h"
#include "lentilscale/json.h"
#include "lentilscale/timer.h"

ABSL_FLAG(int, port, 0, "control port on 127.0.0.1; 0 takes a free one");
ABSL_FLAG(std::string, links, "", "links: NAME=IP:PORT,...");
ABSL_FLAG(int, seed, 1, "seed of duplicates");

namespace lentilscale {
namespace {

constexpr auto kHttpOk = 200;
constexpr Millis kPumpMs = 1;

enum class FaultKind {
  kNone,
  kDelay,
  kCut,
  kReset,
  kBlackhole,
  kHalfOpen,
  kSlow,
  kDuplicate,
};

struct FaultName {
  FaultKind kind_;
  std::string_view name_;
};

constexpr FaultName kFaultNames[] = {
    {FaultKind::kNone, "none"},
    {FaultKind::kDelay, "delay"},
    {FaultKind::kCut, "cut"},
    {FaultKind::kReset, "reset"},
    {FaultKind::kBlackhole, "blackhole"},
    {FaultKind::kHalfOpen, "half_open"},
    {FaultKind::kSlow, "slow"},
    {FaultKind::kDuplicate, "duplicate"},
};

struct Fault {
  FaultKind kind_ = FaultKind::kNone;
  std::int64_t value_ = 0;
  Millis until_ms_ = 0;
};

struct Piece {
  std::string data_;
  Millis due_ms_ = 0;
};

class Link;

// One side of a connection: a socket and what waits to be written to it.
struct Side {
  uv_tcp_t socket_{};
  std::deque<Piece> queue_;
  bool is_open_ = false;
  bool is_eof_due_ = false;
  double budget_ = 0;
};

struct Connection {
  Link* link_ = nullptr;
  Side caller_;
  Side target_;
  bool is_silent_ = false;
  bool is_closing_ = false;
  // Answers of a replayed piece are dropped.
  bool is_replay_ = false;
  int open_handles_ = 0;
};

auto AsStream(uv_tcp_t* socket) -> uv_stream_t* {
  return reinterpret_cast<uv_stream_t*>(socket);
}

auto OnAlloc(uv_handle_t* /*handle*/, std::size_t size, uv_buf_t* buf) -> void {
  *buf = uv_buf_init(new char[size], static_cast<unsigned>(size));
}

class Link {
 public:
  Link(uv_loop_t* loop, std::string name, const std::string& target,
       std::mt19937_64* random)
      : loop_(loop), name_(std::move(name)), random_(random) {
    SetTarget(target);
    sockaddr_in any{};
    uv_ip4_addr("127.0.0.1", 0, &any);
    uv_tcp_init(loop, &listener_);
    listener_.data = this;
    uv_tcp_bind(&listener_, reinterpret_cast<sockaddr*>(&any), 0);
    uv_listen(AsStream(&listener_), 512, [](uv_stream_t* stream, int status) {
      if (status == 0) {
        static_cast<Link*>(stream->data)->Accept();
      }
    });
    sockaddr_in bound{};
    auto length = static_cast<int>(sizeof(bound));
    uv_tcp_getsockname(&listener_, reinterpret_cast<sockaddr*>(&bound),
                       &length);
    port_ = ntohs(bound.sin_port);
  }

  auto SetTarget(const std::string& target) -> void {
    const auto colon = target.rfind(':');
    uv_ip4_addr(target.substr(0, colon).c_str(),
                std::atoi(target.c_str() + colon + 1), &target_);
  }

  auto port() const -> int { return port_; }
  auto name() const -> const std::string& { return name_; }

  auto SetFault(const Fault& fault) -> void {
    fault_ = fault;
    for (auto* connection : connections_) {
      if (fault.kind_ == FaultKind::kHalfOpen) {
        connection->is_silent_ = true;
      }
      if (fault.kind_ == FaultKind::kCut || fault.kind_ == FaultKind::kReset) {
        doomed_.insert(connection);
      }
    }
    if (fault.kind_ == FaultKind::kHalfOpen ||
        fault.kind_ == FaultKind::kReset) {
      fault_ = Fault{};
    }
  }

  auto Pump(Millis now) -> void {
    if (fault_.kind_ != FaultKind::kNone && now >= fault_.until_ms_) {
      fault_ = Fault{};
    }
    const auto doomed = std::move(doomed_);
    doomed_.clear();
    for (auto* connection : doomed) {
      Close(connection);
    }
    if (fault_.kind_ == FaultKind::kBlackhole) {
      return;
    }
    const auto all = connections_;
    for (auto* connection : all) {
      PumpSide(connection, connection->caller_, now);
      PumpSide(connection, connection->target_, now);
    }
  }

 private:
  auto Accept() -> void {
    auto* connection = new Connection;
    connection->link_ = this;
    InitSide(connection, connection->caller_);
    if (uv_accept(AsStream(&listener_),
                  AsStream(&connection->caller_.socket_)) != 0 ||
        fault_.kind_ == FaultKind::kCut) {
      connections_.insert(connection);
      Close(connection);
      return;
    }
    connection->caller_.is_open_ = true;
    uv_tcp_nodelay(&connection->caller_.socket_, 1);
    connections_.insert(connection);
    ConnectTarget(connection);
    StartReading(&connection->caller_.socket_);
  }

  auto InitSide(Connection* connection, Side& side) -> void {
    uv_tcp_init(loop_, &side.socket_);
    side.socket_.data = connection;
    ++connection->open_handles_;
  }

  auto ConnectTarget(Connection* connection) -> void {
    InitSide(connection, connection->target_);
    auto* request = new uv_connect_t;
    request->data = connection;
    uv_tcp_connect(request, &connection->target_.socket_,
                   reinterpret_cast<const sockaddr*>(&target_),
                   [](uv_connect_t* done, int status) {
                     auto* of = static_cast<Connection*>(done->data);
                     delete done;
                     if (of->is_closing_) {
                       return;
                     }
                     if (status != 0) {
                       of->link_->Close(of);
                       return;
                     }
                     of->target_.is_open_ = true;
                     uv_tcp_nodelay(&of->target_.socket_, 1);
                     StartReading(&of->target_.socket_);
                   });
  }

  static auto StartReading(uv_tcp_t* socket) -> void {
    uv_read_start(AsStream(socket), OnAlloc,
                  [](uv_stream_t* stream, ssize_t size, const uv_buf_t* buf) {
                    auto* connection = static_cast<Connection*>(stream->data);
                    const std::unique_ptr<char[]> owner(buf->base);
                    if (connection->is_closing_) {
                      return;
                    }
                    const auto is_caller =
                        stream == AsStream(&connection->caller_.socket_);
                    connection->link_->OnRead(connection, is_caller, size,
                                              buf->base);
                  });
  }

  auto OnRead(Connection* connection, bool is_caller, ssize_t size,
              const char* data) -> void {
    auto& other = is_caller ? connection->target_ : connection->caller_;
    if (size < 0) {
      // A connection that went silent does not tell of its end either.
      if (!connection->is_silent_) {
        other.is_eof_due_ = true;
      }
      return;
    }
    if (connection->is_silent_ || (connection->is_replay_ && !is_caller)) {
      return;
    }
    const auto delay = fault_.kind_ == FaultKind::kDelay ? fault_.value_ : 0;
    std::string piece(data, static_cast<std::size_t>(size));
    const auto is_replayed =
        is_caller && fault_.kind_ == FaultKind::kDuplicate &&
        static_cast<std::int64_t>((*random_)() % 100) < fault_.value_;
    if (is_replayed) {
      Replay(piece);
    }
    other.queue_.push_back({std::move(piece), MonotonicMs() + delay});
    if (delay == 0 && fault_.kind_ == FaultKind::kNone) {
      PumpSide(connection, other, MonotonicMs());
    }
  }

  auto Replay(const std::string& piece) -> void {
    auto* connection = new Connection;
    connection->link_ = this;
    connection->is_replay_ = true;
    connections_.insert(connection);
    ConnectTarget(connection);
    connection->target_.queue_.push_back({piece, 0});
  }

  auto PumpSide(Connection* connection, Side& side, Millis now) -> void {
    if (!side.is_open_ || connection->is_closing_) {
      return;
    }
    if (fault_.kind_ == FaultKind::kSlow) {
      side.budget_ = std::min(
          side.budget_ + static_cast<double>(fault_.value_ * kPumpMs) / 1000,
          static_cast<double>(fault_.value_));
    }
    while (!side.queue_.empty() && side.queue_.front().due_ms_ <= now) {
      auto& piece = side.queue_.front();
      if (fault_.kind_ == FaultKind::kSlow) {
        if (side.budget_ < static_cast<double>(piece.data_.size())) {
          return;
        }
        side.budget_ -= static_cast<double>(piece.data_.size());
      }
      Write(side, std::move(piece.data_));
      side.queue_.pop_front();
    }
    if (side.queue_.empty() && side.is_eof_due_) {
      Close(connection);
    }
  }

  static auto Write(Side& side, std::string data) -> void {
    struct Request {
      uv_write_t write_{};
      std::string data_;
    };
    auto* request = new Request{{}, std::move(data)};
    request->write_.data = request;
    auto buf = uv_buf_init(request->data_.data(),
                           static_cast<unsigned>(request->data_.size()));
    uv_write(&request->write_, AsStream(&side.socket_), &buf, 1,
             [](uv_write_t* done, int /*status*/) {
               delete static_cast<Request*>(done->data);
             });
  }

  auto Close(Connection* connection) -> void {
    if (connection->is_closing_) {
      return;
    }
    connection->is_closing_ = true;
    connections_.erase(connection);
    doomed_.erase(connection);
    for (auto* side : {&connection->caller_, &connection->target_}) {
      auto* handle = reinterpret_cast<uv_handle_t*>(&side->socket_);
      if (side->socket_.data == nullptr) {
        continue;
      }
      uv_close(handle, [](uv_handle_t* closed) {
        auto* of = static_cast<Connection*>(closed->data);
        if (--of->open_handles_ == 0) {
          delete of;
        }
      });
    }
  }

  uv_loop_t* loop_;
  std::string name_;
  std::mt19937_64* random_;
  sockaddr_in target_{};
  uv_tcp_t listener_{};
  int port_ = 0;
  Fault fault_;
  std::set<Connection*> connections_;
  std::set<Connection*> doomed_;
};

class FaultProxy {
 public:
  explicit FaultProxy(uv_loop_t* loop)
      : loop_(loop),
        random_(static_cast<std::uint64_t>(absl::GetFlag(FLAGS_seed))),
        pump_(loop, kPumpMs, [this] {
          const auto now = MonotonicMs();
          for (auto& link : links_) {
            link->Pump(now);
          }
        }) {}

  // Adds a link, or gives the link of this name another target.
  auto AddLink(const std::string& name, const std::string& target) -> int {
    for (auto& link : links_) {
      if (link->name() == name) {
        link->SetTarget(target);
        return link->port();
      }
    }
    links_.push_back(std::make_unique<Link>(loop_, name, target, &random_));
    return links_.back()->port();
  }

  auto Serve(const HttpRequest& request, HttpReply& reply) -> void {
    try {
      const auto body = ParseJson(request.body_);
      Json::Value out(Json::objectValue);
      if (request.path_ == "/fake/link") {
        out["port"] =
            AddLink(RequireString(body, "name"), RequireString(body, "target"));
      } else {
        SetFault(body);
      }
      reply.Send(kHttpOk, DumpJson(out));
    } catch (const Error& e) {
      reply.Send(e.info().http_status_, e.what(), "text/plain");
    }
  }

 private:
  auto SetFault(const Json::Value& body) -> void {
    const auto name = RequireString(body, "kind");
    Fault fault;
    fault.value_ = GetInt(body, "value", 0, 0, INT64_MAX);
    fault.until_ms_ = MonotonicMs() + GetInt(body, "ms", 3600000, 0, 3600000);
    for (const auto& item : kFaultNames) {
      if (item.name_ == name) {
        fault.kind_ = item.kind_;
      }
    }
    const auto prefix = GetString(body, "link", "");
    for (auto& link : links_) {
      if (link->name().starts_with(prefix)) {
        link->SetFault(fault);
      }
    }
  }

  uv_loop_t* loop_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<Link>> links_;
  RepeatingTimer pump_;
};

auto Main() -> int {
  signal(SIGPIPE, SIG_IGN);
  auto* loop = uv_default_loop();
  FaultProxy proxy(loop);
  auto server = HttpServer::Listen(
      loop, "127.0.0.1", absl::GetFlag(FLAGS_port), HttpLimits{},
      [&proxy](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
        proxy.Serve(request, *reply);
      });
  if (!server.ok()) {
    return 1;
  }
  fmt::print("port {}\n", (*server)->port());
  const auto links = absl::GetFlag(FLAGS_links);
  for (const auto pair : absl::StrSplit(links, ',', absl::SkipEmpty())) {
    const std::vector<std::string> parts = absl::StrSplit(pair, '=');
    if (parts.size() == 2) {
      fmt::print("link {} {}\n", parts[0], proxy.AddLink(parts[0], parts[1]));
    }
  }
  fflush(stdout);
  uv_run(loop, UV_RUN_DEFAULT);
  return 0;
}

}  // namespace
}  // namespace lentilscale

auto main(int argc, char** argv) -> int {
  lentilscale::ParseCommandLine(argc, argv);
  return lentilscale::Main();
}
