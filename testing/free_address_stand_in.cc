// A program listens on the port some time after it was chosen, or again after a
// restart. A port that the system picks can be given to an outgoing connection
// of another program meanwhile, so the port is taken from below that range. A
// socket that is bound and does not listen keeps it from other tests that draw
// ports at the same time.

#include "testing/free_address_stand_in.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <random>

namespace lentilscale::testing {
namespace {

constexpr int kMinPort = 10240;
constexpr int kMaxPort = 32767;

// Takes the port until the end of the process; returns false if another program
// has it. A program that reuses addresses, as libuv does, can still listen on
// it.
auto Reserve(int port) -> bool {
  const auto fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  addr.sin_port = htons(static_cast<std::uint16_t>(port));
  // Bound without reuse first, it fails beside any other reservation.
  const auto is_bound =
      bind(fd, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) == 0;
  const auto is_reused = 1;
  if (!is_bound || setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &is_reused,
                              sizeof(is_reused)) != 0) {
    close(fd);
    return false;
  }
  return true;
}

}  // namespace

// Tests that run at the same time draw different ports.
auto FreeAddress() -> std::string {
  static std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> ports(kMinPort, kMaxPort);
  auto port = ports(random);
  while (!Reserve(port)) {
    port = ports(random);
  }
  return fmt::format("127.0.0.1:{}", port);
}

}  // namespace lentilscale::testing
