// An HTTP server that counts its connections:
//
//   CountingServer server([](const std::string& target) {
//     return CountedAnswer{.delay_ms_ = target == "/slow" ? 300 : 0};
//   });
//
// It sees a connection that was closed before one that was made after it, so
// that its counts are exact.

#ifndef LENTILSCALE_TESTING_COUNTING_SERVER_STAND_IN_H_
#define LENTILSCALE_TESTING_COUNTING_SERVER_STAND_IN_H_

#include <atomic>
#include <functional>
#include <map>
#include <string>
#include <thread>

#include "lentilscale/clock.h"

namespace lentilscale::testing {

// When a request is answered, by "{}".
struct CountedAnswer {
  Millis delay_ms_ = 0;
  bool is_silent_ = false;
};

class CountingServer {
 public:
  // Runs on the server's thread, with the path and query of the request.
  using Handler = std::function<CountedAnswer(const std::string& target)>;

  explicit CountingServer(Handler handler);
  ~CountingServer();
  CountingServer(const CountingServer&) = delete;
  auto operator=(const CountingServer&) -> CountingServer& = delete;

  auto address() const -> const std::string& { return address_; }
  auto requests() const -> int { return requests_; }
  // Returns the number of connections made since the start.
  auto connections() const -> int { return connections_; }
  // Returns the most connections that were open at the same time.
  auto most_open() const -> int { return most_open_; }
  // From now on, the connections that are open never carry an answer again;
  // later ones do.
  auto SilenceOpenConnections() -> void { must_silence_ = true; }

 private:
  struct Connection {
    std::string input_;
    // When an answer is due; 0 if none is.
    Millis due_ms_ = 0;
    bool is_silent_ = false;
  };

  auto Run() -> void;
  auto Accept() -> void;
  // Returns false once the connection is closed.
  auto Read(int fd, Connection& connection) -> bool;
  auto SendDueAnswers() -> void;

  Handler handler_;
  std::string address_;
  int listener_ = -1;
  std::map<int, Connection> open_;
  std::atomic<bool> is_ending_ = false;
  std::atomic<bool> must_silence_ = false;
  std::atomic<int> requests_ = 0;
  std::atomic<int> connections_ = 0;
  std::atomic<int> most_open_ = 0;
  std::thread thread_;
};

}  // namespace lentilscale::testing

#endif  // LENTILSCALE_TESTING_COUNTING_SERVER_STAND_IN_H_
