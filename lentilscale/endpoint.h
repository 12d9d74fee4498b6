// The address of a listening process: an IPv4 number and a port.
//
//   auto endpoint = Endpoint::FromString("127.0.0.1:7001");
//   if (!endpoint.ok()) { ... }
//
// The text is read strictly: a connection to what is left of a bad address
// would reach a process that nobody named.

#ifndef LENTILSCALE_ENDPOINT_H_
#define LENTILSCALE_ENDPOINT_H_

#include <absl/status/statusor.h>
#include <netinet/in.h>

#include <string_view>

namespace lentilscale {

class Endpoint {
 public:
  // Fails unless `text` is IP:port, with the IP in dotted decimal and the port
  // from 1 to 65535, and nothing else.
  static auto FromString(std::string_view text) -> absl::StatusOr<Endpoint>;

  auto socket_address() const -> const sockaddr_in& { return address_; }

 private:
  explicit Endpoint(const sockaddr_in& address) : address_(address) {}

  sockaddr_in address_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_ENDPOINT_H_
