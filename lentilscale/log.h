// Structured logs: numbered events on standard error, one line each.
//
//   LogEvent(Event::kListening, {{"address", address}});
//
// prints
//
//   time=2026-12-04T08:41:00.123Z level=info event=1001 name=listening
//   address="127.0.0.1:7001"
//
// on one line. docs/EVENTS.md is the catalogue; a test holds the two equal.

#ifndef LENTILSCALE_LOG_H_
#define LENTILSCALE_LOG_H_

#include <initializer_list>
#include <span>
#include <string>
#include <string_view>

namespace lentilscale {

// How urgent an event is for an operator.
enum class LogLevel { kDebug, kInfo, kWarning, kError };

// The numbered events. Numbers are stable: a removed event's number is not
// used again.
enum class Event {
  kListening = 1001,
  kStopping = 1002,
  kStopped = 1003,
  kReloadIgnored = 1004,
  kLoopTurnLong = 1005,
  kStoreLost = 2001,
  kStoreBack = 2002,
  kStoreRelayed = 2003,
  kMemberJoined = 2101,
  kMemberLeft = 2102,
  kMemberSuspected = 2103,
  kAuthorityLost = 2201,
  kAuthorityBack = 2202,
  kShardClaimed = 2301,
  kShardOpened = 2302,
  kShardLost = 2303,
  kShardHandedOver = 2304,
  kTicketApplied = 2401,
  kTicketAccepted = 2402,
  kTicketRefused = 2403,
  kHoldingMoved = 2501,
  kHoldingLowered = 2502,
  kWorkerClaimed = 3001,
  kWorkerLost = 3002,
  kWorkerQuarantined = 3003,
  kWorkerLeaving = 3004,
  kTaskLost = 3101,
  kTaskStopped = 3102,
  kJobAccepted = 4001,
  kJobEnded = 4002,
  kJobRecovered = 4003,
  kJobNeverRunnable = 4004,
  kBadPeerMessage = 5001,
  kInternalError = 5002,
  kFleetConfiguration = 6001,
  kFleetOwner = 6002,
  kFleetElected = 6003,
  kFleetDeposed = 6004,
  kFleetStateRead = 6005,
  kFleetTakenOver = 6006,
  kBadRecord = 6007,
  kProgressNotRecorded = 6008,
  kFleetStateNotRead = 6009,
  kFleetLeasesReported = 6010,
  kFleetWorkerForgotten = 6011,
  kFleetRightsLimited = 6015,
  kFleetRightsUnconfirmed = 6016,
  kFleetConfigurationNotRead = 6017,
  kFleetConfigurationSource = 6018,
  kFleetConfigurationFallback = 6019,
  kFleetRequestRefused = 6101,
  kFleetJobAccepted = 6102,
  kFleetCancelAccepted = 6103,
  kFleetJobTaken = 6104,
  kFleetJobEnded = 6105,
  kFleetAdvice = 6106,
  kFleetStepStalled = 6107,
  kFleetStartsHeldBack = 6108,
  kFleetAdmission = 6109,
  kFleetRunStarting = 6201,
  kFleetStartFailed = 6202,
  kFleetRunEnded = 6203,
  kFleetRunStopping = 6204,
  kFleetRunFound = 6205,
  kFleetRunGone = 6206,
  kFleetEndSuperseded = 6207,
  kFleetTaskGivenUp = 6208,
  kFleetStartOverdue = 6209,
  kFleetStartResolved = 6210,
  kFleetWorkerListed = 6301,
  kFleetWorkerUnlisted = 6302,
  kFleetWorkerDraining = 6303,
  kFleetWorkerSilent = 6304,
  kFleetWorkerLapsed = 6305,
  kFleetWorkerReborn = 6306,
  kFleetWorkerQuarantined = 6307,
  kFleetWorkerRemoved = 6308,
  kFleetWorkerClockRestarted = 6309,
  kFleetLateAnswer = 6310,
  kFleetWorkerCrashed = 6311,
  kFleetLateAnswerGivenUp = 6312,
  kFleetCrashExcused = 6313,
};

// The catalogue's entry for an event.
struct EventInfo {
  Event event_;
  std::string_view name_;
  LogLevel level_;
};

// One key and value of a log line.
struct LogField {
  std::string_view key_;
  std::string value_;
};

// Returns all events in order of their numbers.
auto EventTable() -> std::span<const EventInfo>;

// Returns the name of `level`.
auto LogLevelName(LogLevel level) -> std::string_view;

// Suppresses events below `level`; the default is kInfo.
auto SetLogLevel(LogLevel level) -> void;

// Where lines are written.
enum class LogTarget { kStandardError, kStandardOutput };

// Chooses the target; the default is standard error.
auto SetLogTarget(LogTarget target) -> void;

// Writes one line for `event`. A target that does not take a line at once
// loses it; the next line that is taken says how many were lost.
auto LogEvent(Event event, std::initializer_list<LogField> fields) -> void;

}  // namespace lentilscale

#endif  // LENTILSCALE_LOG_H_
