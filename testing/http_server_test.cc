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
#include <memory>
#include <string>
#include <thread>
#include <vector>

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
        reply->Send(std::stoi(request.path_.substr(1)),
                    request.body_.empty() ? "{\"a\":1}" : request.body_);
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

// A server whose replies the test sends, and its clients on one thread: what
// they send lies in the server's sockets before its loop turns.
class StoppingServer {
 public:
  StoppingServer() {
    uv_loop_init(&loop_);
    server_ = *HttpServer::Listen(
        &loop_, "127.0.0.1", 0, {},
        [this](const HttpRequest& request, std::shared_ptr<HttpReply> reply) {
          read_.push_back(request.path_);
          replies_.push_back(std::move(reply));
        });
  }

  // h2o's connections refer to the loop until the process ends, so it is not
  // destroyed.
  static auto Create() -> StoppingServer& { return *new StoppingServer; }

  auto Connect() -> int {
    const auto fd = socket(AF_INET, SOCK_STREAM, 0);
    timeval timeout{2, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    sockaddr_in addr{};
    addr.sin_family = AF_INET;
    addr.sin_port = htons(static_cast<std::uint16_t>(server_->port()));
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    BOOST_REQUIRE(
        connect(fd, reinterpret_cast<sockaddr*>(&addr), sizeof(addr)) == 0);
    Turn();
    return fd;
  }

  static auto SendText(int fd, const std::string& text) -> void {
    BOOST_REQUIRE(send(fd, text.data(), text.size(), MSG_NOSIGNAL) ==
                  static_cast<ssize_t>(text.size()));
  }

  // Returns what has arrived up to the server's end of the connection.
  static auto ReceiveAll(int fd) -> std::string {
    std::string out;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(fd, buffer, sizeof(buffer), 0)) > 0) {
      out.append(buffer, static_cast<std::size_t>(count));
    }
    return out + (count == 0 ? "<closed>" : "<open>");
  }

  auto Turn() -> void {
    for (auto i = 0; i < 5; ++i) {
      uv_run(&loop_, UV_RUN_NOWAIT);
    }
  }

  auto server() -> HttpServer& { return *server_; }
  auto replies() -> std::vector<std::shared_ptr<HttpReply>>& {
    return replies_;
  }
  auto read() const -> const std::vector<std::string>& { return read_; }

 private:
  uv_loop_t loop_;
  std::unique_ptr<HttpServer> server_;
  std::vector<std::string> read_;
  std::vector<std::shared_ptr<HttpReply>> replies_;
};

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

// Guards against a request that is answered before all of it has been read, or
// not at all.
BOOST_AUTO_TEST_CASE(requests_are_read_whole_in_every_form) {
  const std::string post = "POST /200 HTTP/1.1\r\nHost: h\r\n";
  const std::string spec(6000, 's');
  const struct {
    const char* name_;
    std::string request_;
    std::string answer_;
    std::string end_;
  } cases[] = {
      {"HTTP/1.0", "GET /200 HTTP/1.0\r\n\r\n", "HTTP/1.1 200 OK\r\n",
       "{\"a\":1}<closed>"},
      {"chunks",
       post + "Transfer-Encoding: chunked\r\n\r\n2\r\nab\r\n3\r\ncde\r\n0"
              "\r\n\r\n",
       "HTTP/1.1 200 OK\r\n", "\r\n\r\nabcde<open>"},
      {"100-continue",
       post + "Expect: 100-continue\r\nContent-Length: 2\r\n\r\nab",
       "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n", "\r\n\r\nab<open>"},
      {"large body", post + "Content-Length: 6000\r\n\r\n" + spec,
       "HTTP/1.1 200 OK\r\n", "\r\n\r\n" + spec + "<open>"},
      {"two in one segment", Get("/200") + Get("/404"), "HTTP/1.1 200 OK\r\n",
       "{\"a\":1}<open>"},
  };
  for (const auto& row : cases) {
    const auto answer = ExchangeWithServer(row.request_);
    BOOST_TEST_CONTEXT(row.name_ << ": " << answer) {
      BOOST_TEST(answer.starts_with(row.answer_));
      BOOST_TEST(answer.ends_with(row.end_));
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

// Guards against a request that is never answered as its handler forgot it.
BOOST_AUTO_TEST_CASE(a_forgotten_reply_answers_500) {
  auto& server = StoppingServer::Create();
  const auto fd = server.Connect();
  StoppingServer::SendText(fd, Get("/1") + Get("/2"));
  server.Turn();
  server.replies().clear();
  server.Turn();
  BOOST_REQUIRE(server.replies().size() == 1U);
  server.replies().clear();
  server.Turn();
  BOOST_TEST(server.server().open_requests() == 0);
  server.server().StopAccepting();
  const auto answer = StoppingServer::ReceiveAll(fd);
  BOOST_TEST(CountOf(answer, "HTTP/1.1 500 Internal Server Error\r\n") == 2);
  BOOST_TEST(answer.ends_with("<closed>"));
  close(fd);
}

// Guards against clients that stay until their requests meet the closing.
BOOST_AUTO_TEST_CASE(connections_can_end_with_their_next_answer) {
  auto& stopping = StoppingServer::Create();
  const auto fd = stopping.Connect();
  stopping.server().CloseAfterAnswers();
  stopping.Turn();
  StoppingServer::SendText(fd, Get("/1"));
  stopping.Turn();
  BOOST_REQUIRE(stopping.replies().size() == 1U);
  stopping.replies().front()->Send(200, "{}");
  stopping.Turn();
  const auto answer = StoppingServer::ReceiveAll(fd);
  BOOST_TEST(CountOf(answer, "Connection: close\r\n") == 1);
  BOOST_TEST(answer.ends_with("{}<closed>"));
  close(fd);
}

// Guards against a request that the last turn of the loop reads after the
// process has decided to end.
BOOST_AUTO_TEST_CASE(nothing_is_read_once_the_server_has_stopped) {
  auto& stopping = StoppingServer::Create();
  const auto fd = stopping.Connect();
  StoppingServer::SendText(fd, Get("/late"));
  stopping.server().StopAccepting();
  BOOST_TEST(stopping.server().open_requests() == 0);
  BOOST_TEST(stopping.server().open_connections() == 0U);
  stopping.Turn();
  BOOST_TEST(stopping.read().empty());
  BOOST_TEST(StoppingServer::ReceiveAll(fd) == "<closed>");
  close(fd);
}

// Guards against an end of the process between the header and the body of a
// request or between two requests of one segment.
BOOST_AUTO_TEST_CASE(open_requests_are_finished_after_the_server_has_stopped) {
  auto& stopping = StoppingServer::Create();
  const auto two = stopping.Connect();
  const auto half = stopping.Connect();
  StoppingServer::SendText(two, Get("/1") + Get("/2"));
  StoppingServer::SendText(
      half, "POST /3 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
  stopping.Turn();
  stopping.server().StopAccepting();
  BOOST_TEST(stopping.server().open_connections() == 2U);
  StoppingServer::SendText(half, "cd");
  stopping.Turn();
  for (std::size_t i = 0; i < 3; ++i) {
    BOOST_REQUIRE(stopping.replies().size() > i);
    stopping.replies()[i]->Send(200, "{}");
    stopping.Turn();
  }
  BOOST_TEST(stopping.server().open_connections() == 0U);
  for (const auto fd : {two, half}) {
    const auto answer = StoppingServer::ReceiveAll(fd);
    BOOST_TEST(CountOf(answer, "HTTP/1.1 200 OK\r\n") == (fd == two ? 2 : 1));
    BOOST_TEST(answer.ends_with("{}<closed>"));
    close(fd);
  }
}

// Guards against a request that is read on the connection of an answer that was
// open when the server stopped.
BOOST_AUTO_TEST_CASE(nothing_is_read_after_the_last_answer) {
  auto& stopping = StoppingServer::Create();
  const auto fd = stopping.Connect();
  StoppingServer::SendText(fd, Get("/1"));
  stopping.Turn();
  stopping.server().StopAccepting();
  stopping.replies().front()->Send(200, "{}");
  stopping.Turn();
  StoppingServer::SendText(fd, Get("/2"));
  stopping.Turn();
  BOOST_TEST(stopping.server().open_connections() == 0U);
  BOOST_TEST(stopping.read().size() == 1U);
  BOOST_TEST(StoppingServer::ReceiveAll(fd).ends_with("{}<closed>"));
  close(fd);
}

// Guards against answers that are lost when the grace period is used up.
BOOST_AUTO_TEST_CASE(requests_without_an_answer_get_the_last_one) {
  auto& stopping = StoppingServer::Create();
  const auto whole = stopping.Connect();
  const auto half = stopping.Connect();
  StoppingServer::SendText(whole, Get("/whole"));
  StoppingServer::SendText(half, "GET /half HTTP/1.1\r\n");
  stopping.Turn();
  stopping.server().StopAccepting();
  stopping.server().AnswerOpenRequests(504, "{}");
  StoppingServer::SendText(half, "Host: h\r\n\r\n");
  stopping.Turn();
  BOOST_TEST(stopping.server().open_connections() == 0U);
  BOOST_TEST(stopping.read().size() == 1U);
  const auto answer = StoppingServer::ReceiveAll(whole);
  BOOST_TEST(answer.starts_with("HTTP/1.1 504 Gateway Timeout\r\n"));
  BOOST_TEST(answer.ends_with("{}<closed>"));
  BOOST_TEST(StoppingServer::ReceiveAll(half) == "<closed>");
  stopping.replies().front()->Send(200, "{}");
  close(whole);
  close(half);
}

}  // namespace lentilscale
