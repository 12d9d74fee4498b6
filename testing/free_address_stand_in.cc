// A program listens on the port some time after it was chosen, or again after a
// restart. A port that the system picks can be given to an outgoing connection
// of another program meanwhile, so the port is taken from below that range.

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

// Returns true if nobody listens on the port.
auto IsFree(int port) -> bool {
  const auto fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  addr.sin_port = htons(static_cast<std::uint16_t>(port));
  const auto is_bound =
      bind(fd, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) == 0;
  close(fd);
  return is_bound;
}

}  // namespace

// Tests that run at the same time draw different ports.
auto FreeAddress() -> std::string {
  static std::mt19937 random{std::random_device{}()};
  std::uniform_int_distribution<int> ports(kMinPort, kMaxPort);
  auto port = ports(random);
  while (!IsFree(port)) {
    port = ports(random);
  }
  return fmt::format("127.0.0.1:{}", port);
}

}  // namespace lentilscale::testing
