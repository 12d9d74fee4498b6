// One thread that polls. A turn handles all closed connections before it
// accepts new ones, and accepts one a turn, so that a client which closes one
// before it opens the next is never counted with both.

#include "testing/counting_server_stand_in.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fmt/format.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <string_view>
#include <utility>
#include <vector>

namespace lentilscale::testing {
namespace {

constexpr int kTickMs = 5;
constexpr int kBacklog = 256;
constexpr std::string_view kAnswer =
    "HTTP/1.1 200 -\r\nContent-Type: application/json\r\n"
    "Content-Length: 2\r\n\r\n{}";

}  // namespace

CountingServer::CountingServer(Handler handler) : handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(addr);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&addr), size) != 0 ||
      listen(listener_, kBacklog) != 0 ||
      getsockname(listener_, reinterpret_cast<sockaddr*>(&addr), &size) != 0) {
    throw std::runtime_error("cannot listen on a loopback port");
  }
  address_ = fmt::format("127.0.0.1:{}", ntohs(addr.sin_port));
  thread_ = std::thread([this] { Run(); });
}

CountingServer::~CountingServer() {
  is_ending_ = true;
  thread_.join();
  for (const auto& [fd, connection] : open_) {
    close(fd);
  }
  close(listener_);
}

auto CountingServer::Run() -> void {
  while (!is_ending_) {
    std::vector<pollfd> entries = {{listener_, POLLIN, 0}};
    for (const auto& [fd, connection] : open_) {
      entries.push_back({fd, POLLIN, 0});
    }
    poll(entries.data(), entries.size(), kTickMs);
    if (must_silence_.exchange(false)) {
      for (auto& [fd, connection] : open_) {
        connection.is_silent_ = true;
      }
    }
    // The listener may have become readable after a close that poll() did not
    // report any more, so each connection is read again before it is accepted.
    const auto has_new = (entries[0].revents & POLLIN) != 0;
    for (auto it = open_.begin(); it != open_.end();) {
      it = Read(it->first, it->second) ? std::next(it) : open_.erase(it);
    }
    if (has_new) {
      Accept();
    }
    SendDueAnswers();
  }
}

auto CountingServer::Accept() -> void {
  const auto fd = accept(listener_, nullptr, nullptr);
  if (fd < 0) {
    return;
  }
  open_.emplace(fd, Connection{});
  ++connections_;
  most_open_ = std::max(most_open_.load(), static_cast<int>(open_.size()));
}

auto CountingServer::Read(int fd, Connection& connection) -> bool {
  char buffer[4096];
  const auto got = recv(fd, buffer, sizeof(buffer), MSG_DONTWAIT);
  if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) {
    close(fd);
    return false;
  }
  connection.input_.append(buffer,
                           static_cast<std::size_t>(std::max<ssize_t>(got, 0)));
  const auto end = connection.input_.find("\r\n\r\n");
  if (end == std::string::npos) {
    return true;
  }
  const auto line = connection.input_.substr(0, connection.input_.find("\r\n"));
  connection.input_.erase(0, end + 4);
  ++requests_;
  const auto begin = line.find(' ') + 1;
  const auto answer = handler_(line.substr(begin, line.rfind(' ') - begin));
  if (!answer.is_silent_) {
    connection.due_ms_ = MonotonicMs() + answer.delay_ms_;
  }
  return true;
}

auto CountingServer::SendDueAnswers() -> void {
  const auto now = MonotonicMs();
  for (auto& [fd, connection] : open_) {
    if (connection.due_ms_ == 0 || connection.due_ms_ > now ||
        connection.is_silent_) {
      continue;
    }
    connection.due_ms_ = 0;
    // A failure shows at the next read.
    static_cast<void>(send(fd, kAnswer.data(), kAnswer.size(), MSG_NOSIGNAL));
  }
}

}  // namespace lentilscale::testing
