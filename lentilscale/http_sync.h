// Sends one HTTP request and waits for its end: for command-line programs.
//
//   SyncClient client;
//   auto result = client.Send({address, "GET", "/v1/status", "", key, 2000});

#ifndef LENTILSCALE_HTTP_SYNC_H_
#define LENTILSCALE_HTTP_SYNC_H_

#include <uv.h>

#include "lentilscale/http_client.h"

namespace lentilscale {

// A client with a loop of its own.
class SyncClient {
 public:
  SyncClient();

  // Sends `call` and runs the loop until it has ended.
  auto Send(const HttpCall& call) -> HttpResult;

  auto loop() -> uv_loop_t* { return &loop_; }
  auto client() -> HttpClient& { return *client_; }

 private:
  uv_loop_t loop_{};
  std::unique_ptr<HttpClient> client_;
};

}  // namespace lentilscale

#endif  // LENTILSCALE_HTTP_SYNC_H_
