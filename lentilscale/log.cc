// Lines are key=value pairs with quoted values, which both people and the
// usual log shippers read. Each line is written by one call, so that lines of
// processes that share a terminal do not mix.

#include "lentilscale/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>

#include "lentilscale/clock.h"

namespace lentilscale {
namespace {

constexpr auto kEventTable = std::to_array<EventInfo>({
    {Event::kListening, "listening", LogLevel::kInfo},
    {Event::kStopping, "stopping", LogLevel::kInfo},
    {Event::kStopped, "stopped", LogLevel::kInfo},
    {Event::kStoreLost, "store_lost", LogLevel::kWarning},
    {Event::kStoreBack, "store_back", LogLevel::kInfo},
    {Event::kStoreRelayed, "store_relayed", LogLevel::kInfo},
    {Event::kMemberJoined, "member_joined", LogLevel::kInfo},
    {Event::kMemberLeft, "member_left", LogLevel::kInfo},
    {Event::kMemberSuspected, "member_suspected", LogLevel::kWarning},
    {Event::kAuthorityLost, "authority_lost", LogLevel::kWarning},
    {Event::kAuthorityBack, "authority_back", LogLevel::kInfo},
    {Event::kShardClaimed, "shard_claimed", LogLevel::kInfo},
    {Event::kShardOpened, "shard_opened", LogLevel::kInfo},
    {Event::kShardLost, "shard_lost", LogLevel::kWarning},
    {Event::kShardHandedOver, "shard_handed_over", LogLevel::kInfo},
    {Event::kTicketApplied, "ticket_applied", LogLevel::kInfo},
    {Event::kTicketAccepted, "ticket_accepted", LogLevel::kInfo},
    {Event::kTicketRefused, "ticket_refused", LogLevel::kInfo},
    {Event::kHoldingMoved, "holding_moved", LogLevel::kDebug},
    {Event::kHoldingLowered, "holding_lowered", LogLevel::kInfo},
    {Event::kWorkerClaimed, "worker_claimed", LogLevel::kDebug},
    {Event::kWorkerLost, "worker_lost", LogLevel::kWarning},
    {Event::kWorkerQuarantined, "worker_quarantined", LogLevel::kWarning},
    {Event::kWorkerLeaving, "worker_leaving", LogLevel::kInfo},
    {Event::kTaskLost, "task_lost", LogLevel::kWarning},
    {Event::kTaskStopped, "task_stopped", LogLevel::kInfo},
    {Event::kJobAccepted, "job_accepted", LogLevel::kInfo},
    {Event::kJobEnded, "job_ended", LogLevel::kInfo},
    {Event::kJobRecovered, "job_recovered", LogLevel::kInfo},
    {Event::kJobNeverRunnable, "job_never_runnable", LogLevel::kWarning},
    {Event::kBadPeerMessage, "bad_peer_message", LogLevel::kWarning},
    {Event::kInternalError, "internal_error", LogLevel::kError},
});

constexpr auto kLevelNames =
    std::to_array<std::string_view>({"debug", "info", "warning", "error"});

// Only the process's main thread logs, so that no synchronization is needed.
LogLevel min_level = LogLevel::kInfo;

auto FindEvent(Event event) -> const EventInfo& {
  const auto* it =
      std::find_if(kEventTable.begin(), kEventTable.end(),
                   [event](const auto& info) { return info.event_ == event; });
  return *it;
}

auto Quote(std::string_view value) -> std::string {
  std::string out = "\"";
  for (const auto c : value) {
    if (c == '"' || c == '\\') {
      out += '\\';
    }
    out += static_cast<unsigned char>(c) < ' ' ? ' ' : c;
  }
  return out + "\"";
}

}  // namespace

auto EventTable() -> std::span<const EventInfo> { return kEventTable; }

auto LogLevelName(LogLevel level) -> std::string_view {
  return kLevelNames.at(static_cast<std::size_t>(level));
}

auto SetLogLevel(LogLevel level) -> void { min_level = level; }

auto LogEvent(Event event, std::initializer_list<LogField> fields) -> void {
  const auto& info = FindEvent(event);
  if (info.level_ < min_level) {
    return;
  }
  const auto now = WallMs();
  auto line = fmt::format("time={:%FT%T}.{:03}Z level={} event={} name={}",
                          fmt::gmtime(static_cast<std::time_t>(now / 1000)),
                          now % 1000, LogLevelName(info.level_),
                          static_cast<int>(event), info.name_);
  for (const auto& field : fields) {
    line += fmt::format(" {}={}", field.key_, Quote(field.value_));
  }
  line += '\n';
  std::fwrite(line.data(), 1, line.size(), stderr);
}

}  // namespace lentilscale
