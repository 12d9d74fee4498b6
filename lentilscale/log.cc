// Lines are key=value pairs with quoted values, which both people and the
// usual log shippers read. Each line is written by one call, so that lines of
// processes that share a terminal do not mix.

#include "lentilscale/log.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>

#include "lentilscale/clock.h"

namespace lentilscale {
namespace {

constexpr auto kEventTable = std::to_array<EventInfo>({
    {Event::kListening, "listening", LogLevel::kInfo},
    {Event::kStopping, "stopping", LogLevel::kInfo},
    {Event::kStopped, "stopped", LogLevel::kInfo},
    {Event::kReloadIgnored, "reload_ignored", LogLevel::kInfo},
    {Event::kLoopTurnLong, "loop_turn_long", LogLevel::kWarning},
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
    {Event::kFleetConfiguration, "fleet_configuration", LogLevel::kInfo},
    {Event::kFleetOwner, "fleet_owner", LogLevel::kInfo},
    {Event::kFleetElected, "fleet_elected", LogLevel::kInfo},
    {Event::kFleetDeposed, "fleet_deposed", LogLevel::kWarning},
    {Event::kFleetStateRead, "fleet_state_read", LogLevel::kInfo},
    {Event::kFleetTakenOver, "fleet_taken_over", LogLevel::kInfo},
    {Event::kBadRecord, "bad_record", LogLevel::kWarning},
    {Event::kProgressNotRecorded, "progress_not_recorded", LogLevel::kWarning},
    {Event::kFleetStateNotRead, "fleet_state_not_read", LogLevel::kWarning},
    {Event::kFleetLeasesReported, "fleet_leases_reported", LogLevel::kInfo},
    {Event::kFleetWorkerForgotten, "fleet_worker_forgotten", LogLevel::kInfo},
    {Event::kFleetRightsLimited, "fleet_rights_limited", LogLevel::kInfo},
    {Event::kFleetRightsUnconfirmed, "fleet_rights_unconfirmed",
     LogLevel::kWarning},
    {Event::kFleetConfigurationNotRead, "fleet_configuration_not_read",
     LogLevel::kWarning},
    {Event::kFleetConfigurationSource, "fleet_configuration_source",
     LogLevel::kInfo},
    {Event::kFleetConfigurationFallback, "fleet_configuration_fallback",
     LogLevel::kWarning},
    {Event::kFleetRequestRefused, "fleet_request_refused", LogLevel::kInfo},
    {Event::kFleetJobAccepted, "fleet_job_accepted", LogLevel::kInfo},
    {Event::kFleetCancelAccepted, "fleet_cancel_accepted", LogLevel::kInfo},
    {Event::kFleetJobTaken, "fleet_job_taken", LogLevel::kInfo},
    {Event::kFleetJobEnded, "fleet_job_ended", LogLevel::kInfo},
    {Event::kFleetAdvice, "fleet_advice", LogLevel::kInfo},
    {Event::kFleetStepStalled, "fleet_step_stalled", LogLevel::kWarning},
    {Event::kFleetStartsHeldBack, "fleet_starts_held_back", LogLevel::kInfo},
    {Event::kFleetAdmission, "fleet_admission", LogLevel::kInfo},
    {Event::kFleetRunStarting, "fleet_run_starting", LogLevel::kInfo},
    {Event::kFleetStartFailed, "fleet_start_failed", LogLevel::kWarning},
    {Event::kFleetRunEnded, "fleet_run_ended", LogLevel::kInfo},
    {Event::kFleetRunStopping, "fleet_run_stopping", LogLevel::kInfo},
    {Event::kFleetRunFound, "fleet_run_found", LogLevel::kInfo},
    {Event::kFleetRunGone, "fleet_run_gone", LogLevel::kWarning},
    {Event::kFleetEndSuperseded, "fleet_end_superseded", LogLevel::kWarning},
    {Event::kFleetTaskGivenUp, "fleet_task_given_up", LogLevel::kWarning},
    {Event::kFleetStartOverdue, "fleet_start_overdue", LogLevel::kWarning},
    {Event::kFleetStartResolved, "fleet_start_resolved", LogLevel::kInfo},
    {Event::kFleetWorkerListed, "fleet_worker_listed", LogLevel::kInfo},
    {Event::kFleetWorkerUnlisted, "fleet_worker_unlisted", LogLevel::kInfo},
    {Event::kFleetWorkerDraining, "fleet_worker_draining", LogLevel::kInfo},
    {Event::kFleetWorkerSilent, "fleet_worker_silent", LogLevel::kWarning},
    {Event::kFleetWorkerLapsed, "fleet_worker_lapsed", LogLevel::kWarning},
    {Event::kFleetWorkerReborn, "fleet_worker_reborn", LogLevel::kWarning},
    {Event::kFleetWorkerQuarantined, "fleet_worker_quarantined",
     LogLevel::kWarning},
    {Event::kFleetWorkerRemoved, "fleet_worker_removed", LogLevel::kInfo},
    {Event::kFleetWorkerClockRestarted, "fleet_worker_clock_restarted",
     LogLevel::kWarning},
    {Event::kFleetLateAnswer, "fleet_late_answer", LogLevel::kInfo},
    {Event::kFleetWorkerCrashed, "fleet_worker_crashed", LogLevel::kWarning},
    {Event::kFleetLateAnswerGivenUp, "fleet_late_answer_given_up",
     LogLevel::kInfo},
    {Event::kFleetCrashExcused, "fleet_crash_excused", LogLevel::kWarning},
});

constexpr auto kLevelNames =
    std::to_array<std::string_view>({"debug", "info", "warning", "error"});

// Only the process's main thread logs, so that no synchronization is needed.
LogLevel min_level = LogLevel::kInfo;
LogTarget log_target = LogTarget::kStandardError;
std::int64_t lost_lines = 0;

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

auto SetLogTarget(LogTarget target) -> void { log_target = target; }

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
  if (lost_lines > 0) {
    line += fmt::format(" lost_lines=\"{}\"", lost_lines);
  }
  line += '\n';
  const auto descriptor =
      log_target == LogTarget::kStandardOutput ? STDOUT_FILENO : STDERR_FILENO;
  pollfd ready{descriptor, POLLOUT, 0};
  if (poll(&ready, 1, 0) != 1 ||
      write(descriptor, line.data(), line.size()) < 0) {
    ++lost_lines;
    return;
  }
  lost_lines = 0;
}

}  // namespace lentilscale
