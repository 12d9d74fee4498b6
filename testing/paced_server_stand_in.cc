// Blocking sockets, with a thread for each connection. All waits are short, so
// that the server ends soon.

#include "testing/paced_server_stand_in.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <stdexcept>
#include <utility>

namespace lentilscale::testing {
namespace {

constexpr Millis kTickMs = 20;

auto IsReadable(int fd) -> bool {
  pollfd entry{fd, POLLIN, 0};
  return poll(&entry, 1, kTickMs) > 0;
}

auto SendAll(int fd, std::string_view text) -> bool {
  while (!text.empty()) {
    const auto sent = send(fd, text.data(), text.size(), MSG_NOSIGNAL);
    if (sent <= 0) {
      return false;
    }
    text.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

}  // namespace

PacedServer::PacedServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(addr);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&addr), size) != 0 ||
      listen(listener_, 64) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&addr), &size) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  address_ = fmt::format("127.0.0.1:{}", ntohs(addr.sin_port));
  acceptor_ = std::thread([this] { Accept(); });
}

PacedServer::~PacedServer() {
  is_ending_ = true;
  acceptor_.join();
  for (auto& connection : connections_) {
    connection.join();
  }
  close(listener_);
}

auto PacedServer::Accept() -> void {
  while (!is_ending_) {
    if (!IsReadable(listener_)) {
      continue;
    }
    const auto fd = accept(listener_, nullptr, nullptr);
    if (fd >= 0) {
      connections_.emplace_back([this, fd] {
        Serve(fd);
        close(fd);
      });
    }
  }
}

auto PacedServer::Serve(int fd) -> void {
  std::string input;
  while (!is_ending_) {
    const auto end = input.find("\r\n\r\n");
    if (end == std::string::npos) {
      if (!IsReadable(fd)) {
        continue;
      }
      char buffer[4096];
      const auto got = recv(fd, buffer, sizeof(buffer), 0);
      if (got <= 0) {
        return;
      }
      input.append(buffer, static_cast<std::size_t>(got));
      continue;
    }
    const auto line = input.substr(0, input.find("\r\n"));
    input.erase(0, end + 4);
    ++requests_;
    const auto begin = line.find(' ') + 1;
    if (!Send(fd, handler_(line.substr(begin, line.rfind(' ') - begin)))) {
      return;
    }
  }
}

auto PacedServer::Pause(Millis ms) const -> bool {
  const auto until = MonotonicMs() + ms;
  while (!is_ending_ && MonotonicMs() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(
        std::min<Millis>(kTickMs, until - MonotonicMs())));
  }
  return !is_ending_;
}

auto PacedServer::Send(int fd, const PacedAnswer& answer) -> bool {
  if (answer.is_silent_) {
    return true;
  }
  if (!Pause(answer.delay_ms_) ||
      !SendAll(fd, fmt::format("HTTP/1.1 {} -\r\nContent-Type: "
                               "application/json\r\nContent-Length: {}\r\n\r\n",
                               answer.status_, answer.body_.size()))) {
    return false;
  }
  const auto total = std::min(answer.body_.size(), answer.stalls_after_);
  const auto chunk =
      answer.bytes_per_s_ == 0
          ? std::max<std::size_t>(total, 1)
          : static_cast<std::size_t>(answer.bytes_per_s_ * kTickMs / 1000);
  const auto begun = MonotonicMs();
  Millis due = 0;
  for (std::size_t at = 0; at < total; at += chunk, due += kTickMs) {
    if (!Pause(std::max<Millis>(0, begun + due - MonotonicMs())) ||
        !SendAll(fd, std::string_view(answer.body_)
                         .substr(at, std::min(chunk, total - at)))) {
      return false;
    }
  }
  answers_ += total == answer.body_.size() ? 1 : 0;
  return true;
}

}  // namespace lentilscale::testing
