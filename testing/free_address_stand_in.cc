// The system picks the port; between the look and the use another program could
// take it, which tests on one machine accept.

#include "testing/free_address_stand_in.h"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

namespace lentilscale::testing {

auto FreeAddress() -> std::string {
  const auto fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t length = sizeof(addr);
  bind(fd, reinterpret_cast<sockaddr*>(&addr), length);
  getsockname(fd, reinterpret_cast<sockaddr*>(&addr), &length);
  close(fd);
  return fmt::format("127.0.0.1:{}", ntohs(addr.sin_port));
}

}  // namespace lentilscale::testing
