// Log names of run ends and worker statuses, in the order of the enumerations.

#include "fleet/worker_gateway.h"

#include <array>

namespace lentilscale::fleet {
namespace {

constexpr auto kRunEndNames = std::to_array<const char*>(
    {"done", "failed", "stopped", "lapsed", "broken", "alone"});
constexpr auto kWorkerStatusNames = std::to_array<const char*>(
    {"ok", "fenced", "old_run", "late", "no_room", "bad_ticket", "wrong_worker",
     "refused", "not_sent", "unknown"});

}  // namespace

auto RunEndName(RunEnd end) -> const char* {
  return kRunEndNames.at(static_cast<std::size_t>(end));
}

auto WorkerStatusName(WorkerStatus status) -> const char* {
  return kWorkerStatusNames.at(static_cast<std::size_t>(status));
}

}  // namespace lentilscale::fleet
