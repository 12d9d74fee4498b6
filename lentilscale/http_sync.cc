// The loop is left open at the end: the programs that use it exit then.

#include "lentilscale/http_sync.h"

namespace lentilscale {

SyncClient::SyncClient() {
  uv_loop_init(&loop_);
  client_ = std::make_unique<HttpClient>(&loop_, HttpClient::Options{});
}

auto SyncClient::Send(const HttpCall& call) -> HttpResult {
  HttpResult out;
  auto is_done = false;
  client_->Send(call, [&out, &is_done](const HttpResult& result) {
    out = result;
    is_done = true;
  });
  while (!is_done) {
    uv_run(&loop_, UV_RUN_ONCE);
  }
  return out;
}

}  // namespace lentilscale
