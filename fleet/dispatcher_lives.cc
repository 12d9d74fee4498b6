// What keeps the lives of a worker that starts again under its id apart.
//
// A new life counts its ends anew, has another clock and has seen no fencing
// token. Orders to the former life reach it, as both have one id, and those
// that got no answer may do so seconds later. So each life has a token of its
// own. The first answer of a new life is used for nothing but to change the
// token, and to show which runs of the former one are over, should the worker
// be cut off then; the lists that count are those that it answers to a call
// with the new one. From then on it rejects all orders to the former life: a
// start that was sent there and is not listed will not be carried out, and no
// lease by the former clock is granted.
//
// A Hold call to the former life that acknowledges ends could still arrive
// before the new token. It is sent only over connections over which that life
// has answered, as a connection ends with the process that accepted it.
//
// A life that has not been reached carries orders to the former one out. The
// token therefore changes as soon as the worker's entry shows a new life, and
// the next call doesn't wait for the end of one to the former life.

#include <fmt/format.h>

#include <vector>

#include "fleet/dispatcher.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Tokens of one owner. More than lives can begin while it is one.
constexpr std::int64_t kTokensPerEpoch = std::int64_t{1} << 20;

}  // namespace

auto Dispatcher::NextToken() -> std::int64_t {
  return claim_.epoch_ * kTokensPerEpoch + tokens_++;
}

auto Dispatcher::ChangeToken(FleetWorker& worker) -> void {
  if (worker.fencing_token_ == worker.life_token_) {
    worker.fencing_token_ = NextToken();
  }
}

auto Dispatcher::IsOfUnknownLife(const FleetWorker& worker,
                                 const SentHold& hold, const HoldResult& result)
    -> bool {
  return result.incarnation_ != worker.incarnation_ &&
         hold.token_ <= worker.life_token_;
}

auto Dispatcher::OnWorkerReborn(FleetWorker& worker, const HoldResult& result,
                                Millis now_ms) -> void {
  ChangeToken(worker);
  worker.MarkRunsOver(result);
  LogEvent(Event::kFleetWorkerReborn,
           {{"worker", worker.entry_.id_},
            {"born", std::to_string(result.incarnation_)},
            {"token", std::to_string(worker.fencing_token_)},
            {"known_connection",
             worker.life_connections_.contains(result.connection_) ? "true"
                                                                   : "false"}});
  worker.RestartClock(result.worker_clock_ms_, now_ms, options_.max_lease_ms_);
  worker.restart_proved_ms_ = now_ms;
  if (worker.reborn_call_ms_ == 0) {
    worker.reborn_call_ms_ = result.sent_ms_;
  }
  worker.next_hold_ms_ = now_ms;
  SendHoldIfDue(worker, now_ms);
}

auto Dispatcher::RemoveOverRuns(FleetWorker& worker) -> void {
  if (worker.reborn_call_ms_ == 0 || worker.hold_calls_.IsAnswering()) {
    return;
  }
  std::vector<PlacedRun> lost;
  for (const auto& [key, run] : worker.runs_) {
    if (run.is_over_) {
      lost.push_back(run);
    }
  }
  AddCrashSuspects(worker, lost);
  OnRunsLost(worker, lost, RunLoss::kUnlisted);
}

auto Dispatcher::OnNewLifeListed(FleetWorker& worker, Millis now_ms) -> void {
  ChangeToken(worker);
  // A call to the former life may wait until its time-out.
  worker.is_hold_pending_ = false;
  worker.next_hold_ms_ = now_ms;
  RequestHold(worker, now_ms);
}

auto Dispatcher::BeginWorkerLife(FleetWorker& worker, const HoldResult& result,
                                 Millis now_ms) -> void {
  if (worker.incarnation_ != 0) {
    worker.RestartClock(result.worker_clock_ms_, now_ms,
                        options_.max_lease_ms_);
    // An order by the former clock may have been carried out until now.
    worker.OnLeaseOrderEnded(worker.clock_life_ - 1, WorkerStatus::kOk, now_ms,
                             options_.max_lease_ms_);
  }
  worker.incarnation_ = result.incarnation_;
  worker.life_connections_.clear();
  worker.last_received_end_ = 0;
  worker.last_recorded_end_ = 0;
  // Ends whose tasks are not known yet still count, but none is acknowledged to
  // the new life. What the others say is in the jobs already.
  std::erase_if(worker.unrecorded_ends_,
                [](const auto& end) { return !end.unmatched_.has_value(); });
  for (auto& end : worker.unrecorded_ends_) {
    end.number_ = 0;
  }
}

auto Dispatcher::OnFenced(const FleetWorker& worker, std::int64_t token)
    -> void {
  if (token >= worker.fencing_token_) {
    hooks_.step_down_(fmt::format("worker {} has seen a higher fencing token",
                                  worker.entry_.id_));
  }
}

}  // namespace lentilscale::fleet
