// The ports that tests draw for the programs under test.

#define BOOST_TEST_MODULE free_address
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <boost/test/unit_test.hpp>
#include <string>

#include "lentilscale/endpoint.h"
#include "testing/free_address_stand_in.h"

namespace lentilscale::testing {
namespace {

// Guards against a port that another test draws, or a program takes, before the
// program under test listens on it.
BOOST_AUTO_TEST_CASE(a_drawn_address_is_taken) {
  const auto endpoint = Endpoint::FromString(FreeAddress());
  BOOST_REQUIRE(endpoint.ok());
  const auto address = endpoint->socket_address();
  const auto fd = socket(AF_INET, SOCK_STREAM, 0);
  BOOST_TEST(bind(fd, reinterpret_cast<const sockaddr*>(&address),
                  sizeof(sockaddr_in)) != 0);
  close(fd);
}

// The program under test must still get it, and get it again after a restart.
BOOST_AUTO_TEST_CASE(a_server_can_listen_on_a_drawn_address) {
  const auto endpoint = Endpoint::FromString(FreeAddress());
  BOOST_REQUIRE(endpoint.ok());
  const auto address = endpoint->socket_address();
  uv_loop_t loop;
  uv_loop_init(&loop);
  for (auto start = 0; start < 2; ++start) {
    uv_tcp_t server;
    uv_tcp_init(&loop, &server);
    BOOST_TEST(uv_tcp_bind(&server, reinterpret_cast<const sockaddr*>(&address),
                           0) == 0);
    BOOST_TEST(uv_listen(reinterpret_cast<uv_stream_t*>(&server), 1,
                         [](uv_stream_t* /*stream*/, int /*status*/) {}) == 0);
    uv_close(reinterpret_cast<uv_handle_t*>(&server), nullptr);
    uv_run(&loop, UV_RUN_DEFAULT);
  }
  uv_loop_close(&loop);
}

}  // namespace
}  // namespace lentilscale::testing
