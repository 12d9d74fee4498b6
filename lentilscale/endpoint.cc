// Neither atoi nor inet_pton alone is strict enough: the one ignores what
// follows the digits and wraps around, the other ends at a NUL.

#include "lentilscale/endpoint.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace lentilscale {

auto Endpoint::FromString(std::string_view text) -> absl::StatusOr<Endpoint> {
  const auto error = absl::InvalidArgumentError("an address is not IP:port");
  const auto colon = text.find(':');
  if (colon == std::string_view::npos) {
    return error;
  }
  const std::string ip(text.substr(0, colon));
  const auto digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto* end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, port);
  sockaddr_in address{};
  if (parsed.ec != std::errc{} || parsed.ptr != end || port == 0 ||
      ip.find_first_not_of("0123456789.") != std::string::npos ||
      inet_pton(AF_INET, ip.c_str(), &address.sin_addr) != 1) {
    return error;
  }
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  return Endpoint(address);
}

}  // namespace lentilscale
