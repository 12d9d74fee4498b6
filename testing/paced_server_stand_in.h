// An HTTP server on threads of its own, for what a client sees of a slow link:
//
//   PacedServer server([](const std::string& target) {
//     return PacedAnswer{.body_ = text, .bytes_per_s_ = 150000};
//   });
//
// It answers while the loop of the client under test stands still.

#ifndef LENTILSCALE_TESTING_PACED_SERVER_STAND_IN_H_
#define LENTILSCALE_TESTING_PACED_SERVER_STAND_IN_H_

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <thread>
#include <vector>

#include "lentilscale/clock.h"

namespace lentilscale::testing {

// An answer and how it is sent.
struct PacedAnswer {
  int status_ = 200;
  std::string body_ = {};
  // Time from the request to the first byte.
  Millis delay_ms_ = 0;
  // Rate of the body; 0 sends it at once.
  std::int64_t bytes_per_s_ = 0;
  // Bytes of the body after which nothing more is sent; the connection stays
  // open.
  std::size_t stalls_after_ = std::numeric_limits<std::size_t>::max();
  // Sends nothing at all.
  bool is_silent_ = false;
};

class PacedServer {
 public:
  // Runs on the connection's thread, with the path and query of the request.
  using Handler = std::function<PacedAnswer(const std::string& target)>;

  explicit PacedServer(Handler handler);
  ~PacedServer();
  PacedServer(const PacedServer&) = delete;
  auto operator=(const PacedServer&) -> PacedServer& = delete;

  auto address() const -> const std::string& { return address_; }
  // Returns the number of requests received.
  auto requests() const -> int { return requests_; }
  // Returns the number of answers that were sent whole.
  auto answers() const -> int { return answers_; }

 private:
  auto Accept() -> void;
  auto Serve(int fd) -> void;
  // Returns false once the connection is closed or the server ends.
  auto Send(int fd, const PacedAnswer& answer) -> bool;
  // Waits for `ms`; returns false if the server ends meanwhile.
  auto Pause(Millis ms) const -> bool;

  Handler handler_;
  std::string address_;
  int listener_ = -1;
  std::atomic<bool> is_ending_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> answers_ = 0;
  std::vector<std::thread> connections_;
  std::thread acceptor_;
};

}  // namespace lentilscale::testing

#endif  // LENTILSCALE_TESTING_PACED_SERVER_STAND_IN_H_
