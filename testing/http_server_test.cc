// What the HTTP server sends byte for byte: clients tell a whole answer from a
// cut one by its length, and keep the connection after a refusal.

#define BOOST_TEST_MODULE http_server
#include "lentilscale/http_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <uv.h>

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <string>
#include <thread>

namespace lentilscale {
namespace {

// Sends `requests` on one connection and returns all that arrives until the
// server closes it or is silent for 300 ms.
auto Exchange(int port, const std::string& requests) -> std::string {
  const auto fd = socket(AF_INET, SOCK_STREAM, 0);
  timeval timeout{0, 300000};
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  sockaddr_in addr{};
  addr.sin_family = AF_INET;
  addr.sin_port = htons(static_cast<std::uint16_t>(port));
  addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  BOOST_REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) ==
                0);
  BOOST_REQUIRE(send(fd, requests.data(), requests.size(), 0) ==
                static_cast<ssize_t>(requests.size()));
  std::string out;
  char buffer[4096];
  ssize_t count = 0;
  while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
    out.append(buffer, static_cast<std::size_t>(count));
  }
  out += count == 0 ? "<closed>" : "<open>";
  close(fd);
  return out;
}

// Answers each request with the status that its path names.
auto ExchangeWithServer(const std::string& requests) -> std::string {
  auto* loop = uv_default_loop();
  static auto server = *HttpServer::Listen(
      loop, "127.0.0.1", 0, {},
      [](const HttpRequest& request, const std::shared_ptr<HttpReply>& reply) {
        reply->Send(std::stoi(request.path_.substr(1)), "{\"a\":1}");
      });
  std::atomic<bool> is_done = false;
  std::string answer;
  std::thread client([&] {
    answer = Exchange(server->port(), requests);
    is_done = true;
  });
  while (!is_done) {
    uv_run(loop, UV_RUN_NOWAIT);
    usleep(1000);
  }
  client.join();
  return answer;
}

auto Get(const std::string& path, const std::string& headers = "")
    -> std::string {
  return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

auto CountOf(const std::string& text, const std::string& part) -> int {
  auto count = 0;
  for (auto at = text.find(part); at != std::string::npos;
       at = text.find(part, at + 1)) {
    ++count;
  }
  return count;
}

}  // namespace

BOOST_AUTO_TEST_CASE(answers_have_a_length_and_keep_the_connection) {
  const struct {
    int status_;
    const char* line_;
  } cases[] = {
      {200, "HTTP/1.1 200 OK\r\n"},
      {401, "HTTP/1.1 401 Unauthorized\r\n"},
      {403, "HTTP/1.1 403 Forbidden\r\n"},
      {404, "HTTP/1.1 404 Not Found\r\n"},
      {410, "HTTP/1.1 410 Gone\r\n"},
      {503, "HTTP/1.1 503 Service Unavailable\r\n"},
  };
  for (const auto& row : cases) {
    const auto request = Get("/" + std::to_string(row.status_));
    const auto answer = ExchangeWithServer(request + request);
    BOOST_TEST_CONTEXT(answer) {
      BOOST_TEST(CountOf(answer, row.line_) == 2);
      BOOST_TEST(CountOf(answer, "Content-Length: 7\r\n") == 2);
      BOOST_TEST(CountOf(answer, "Connection: close") == 0);
      BOOST_TEST(answer.ends_with("<open>"));
    }
  }
}

BOOST_AUTO_TEST_CASE(headers_have_a_bound) {
  const auto allowed = ExchangeWithServer(
      Get("/200", "X-A: " + std::string(8000, 'a') + "\r\n"));
  BOOST_TEST(allowed.starts_with("HTTP/1.1 200 OK"));
  const auto refused = ExchangeWithServer(
      Get("/200", "X-A: " + std::string(65536, 'a') + "\r\n"));
  BOOST_TEST(
      refused.starts_with("HTTP/1.1 431 Request Header Fields Too Large\r\n"));
}

BOOST_AUTO_TEST_CASE(bytes_that_are_not_http_are_refused) {
  const auto answer = ExchangeWithServer(std::string("\0\1\r\n\r\n", 6));
  BOOST_TEST(answer.starts_with("HTTP/1.1 400"));
  BOOST_TEST(answer.ends_with("<closed>"));
}

}  // namespace lentilscale
