// Connects and sends without the loop, which a listener on loopback allows;
// only the answer needs it.

#include "testing/raw_call_stand_in.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdint>

namespace lentilscale::testing {

auto RawCall(const std::string& address, const std::string& request,
             const std::function<void(const std::function<bool()>&)>& run_until)
    -> std::string {
  const auto fd = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  addr.sin_port = htons(static_cast<std::uint16_t>(
      std::stoi(address.substr(address.find(':') + 1))));
  std::string answer;
  if (connect(fd, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) == 0 &&
      send(fd, request.data(), request.size(), 0) ==
          static_cast<ssize_t>(request.size())) {
    run_until([&] {
      std::array<char, 4096> buffer{};
      const auto got = recv(fd, buffer.data(), buffer.size(), MSG_DONTWAIT);
      if (got > 0) {
        answer.append(buffer.data(), static_cast<std::size_t>(got));
      }
      return answer.find("\r\n\r\n") != std::string::npos;
    });
  }
  close(fd);
  return answer;
}

}  // namespace lentilscale::testing
