// A session with a worker is a sequence of Hold calls. Each renews the lease of
// all runs on the worker, waits for the next end and returns the runs in
// progress and the ends that were not acknowledged. At most one call per worker
// is pending, so answers in time arrive in order.
//
// A call that takes longer than answers do (AnswerTime) counts as failed, and
// the next one is sent on another connection. Its answer is still awaited: an
// end stays true however late it is reported, and the task need not run again.
// A late answer also proves that the worker answers (HoldCalls), so that its
// lease is renewed. The runs in progress are taken from answers in time only,
// as they may have ended since, and so is the incarnation, without which
// nothing is acknowledged; but a late list decides starts that were not
// answered, see dispatcher_starts.cc.
//
// An answer is followed by the next call at once. Where many workers may be due
// together, after a take-over above all, calls are sent in batches, and the
// loop reads its sockets between them: the owner's own lease is renewed
// meanwhile.

#include <fmt/format.h>

#include <algorithm>

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Longest wait of a Hold call for an end; the worker's own limit.
constexpr Millis kMaxHoldWaitMs = 2000;
// Longest time until a Hold call is given up: two fit into a lease. Where
// answers take long, the wait is shorter.
constexpr Millis kMaxHoldMs = kMaxHoldWaitMs + kMinAnswerTimeoutMs;
// A lost Hold call hides the ends on its worker until it times out. Its wait is
// therefore only slightly longer than the estimated time until the next end.
constexpr Millis kMinHoldWaitMs = 500;
constexpr Millis kHoldWaitMarginMs = 200;
// Hold wait on workers where filling tasks may slow down serving tasks.
constexpr Millis kMixedLoadHoldWaitMs = 500;
// Pause between Hold calls while ends are not durable in the store yet, or the
// record without which the worker may get no lease.
constexpr Millis kUnrecordedHoldPauseMs = 150;
// The same while a start is overdue, for a list that decides it.
constexpr Millis kOverdueStartHoldPauseMs = 150;
// Pause between Hold calls while no lease may be granted yet.
constexpr Millis kSharedRightsHoldPauseMs = 300;
// Hold calls that are sent in one turn of the loop, beside those that follow an
// answer.
constexpr int kHoldsPerBatch = 64;
// Time until the next batch: the least after which the loop has read its
// sockets.
constexpr Millis kHoldBatchPauseMs = 1;
constexpr Millis kHoldRetryMs = 150;
constexpr Millis kMaxHoldRetryMs = 1000;

}  // namespace

auto Dispatcher::IsHoldDue(const FleetWorker& worker, Millis now_ms) const
    -> bool {
  return !worker.is_hold_pending_ && now_ms >= worker.next_hold_ms_ &&
         hooks_.has_rights_();
}

auto Dispatcher::RequestHold(FleetWorker& worker, Millis now_ms) -> void {
  if (worker.is_hold_queued_ || !IsHoldDue(worker, now_ms)) {
    return;
  }
  if (holds_in_batch_ == kHoldsPerBatch) {
    worker.is_hold_queued_ = true;
    queued_holds_.push_back(worker.entry_.id_);
    return;
  }
  if (holds_in_batch_++ == 0) {
    RunAfter(loop_, kHoldBatchPauseMs, [this, alive = is_alive_] {
      if (*alive) {
        SendQueuedHolds();
      }
    });
  }
  SendHoldIfDue(worker, now_ms);
}

auto Dispatcher::SendQueuedHolds() -> void {
  holds_in_batch_ = 0;
  const auto now = BootMs();
  while (!queued_holds_.empty() && holds_in_batch_ < kHoldsPerBatch) {
    const auto worker = workers_.find(queued_holds_.front());
    queued_holds_.pop_front();
    if (worker != workers_.end()) {
      worker->second.is_hold_queued_ = false;
      RequestHold(worker->second, now);
    }
  }
}

auto Dispatcher::SendHoldIfDue(FleetWorker& worker, Millis now_ms) -> void {
  if (!IsHoldDue(worker, now_ms)) {
    return;
  }
  HoldOrder order;
  order.fencing_token_ = worker.fencing_token_;
  const auto is_first = !worker.is_claimed_ || worker.hold_failures_ > 0 ||
                        worker.restart_proved_ms_ != 0;
  // After a failed call the worker may have restarted and numbered its ends
  // from 1 again. Acknowledging a number of the previous incarnation would make
  // it discard ends that were never received.
  // While an earlier owner has rights it may start a task again whose end it
  // has not received; the worker must not forget that end before its lease
  // expires.
  order.acknowledged_end_ =
      is_first || !has_sole_rights_ ? 0 : worker.last_recorded_end_;
  order.life_connections_ = worker.life_connections_;
  SentHold hold;
  hold.token_ = order.fencing_token_;
  // The lease of a worker that does not answer is not extended: an extension
  // that may have arrived would delay the time at which its runs must have
  // ended.
  if (has_sole_rights_ && worker.clock_updated_ms_ != 0 &&
      worker.restart_proved_ms_ == 0 && !worker.is_lease_withheld_ &&
      worker.hold_calls_.IsAnswering()) {
    order.worker_lease_end_ms_ = worker.GrantLease(now_ms, options_.lease_ms_);
    hold.clock_life_ = worker.clock_life_;
  }
  order.answer_timeout_ms_ =
      std::max(AnswerTimeoutMsOf(worker), worker.connect_timeout_ms_);
  // A list decides an overdue start, and a lease that is withheld follows, so
  // neither is delayed.
  if (!is_first && has_sole_rights_ && worker.unrecorded_ends_.empty() &&
      worker.overdue_starts_ == 0 && !worker.is_lease_withheld_) {
    order.wait_ms_ =
        worker.filling_runs_ > 0 && worker.serving_runs_ > 0
            ? kMixedLoadHoldWaitMs
            : std::clamp(worker.TimeUntilNextEndMs(now_ms) + kHoldWaitMarginMs,
                         kMinHoldWaitMs, kMaxHoldMs - order.answer_timeout_ms_);
  }
  order.late_answer_ms_ =
      worker.hold_calls_.LateAnswerMs(options_.lease_ms_, now_ms);
  hold.wait_ms_ = order.wait_ms_;
  hold.answer_timeout_ms_ = order.answer_timeout_ms_;
  hold.sent_ms_ = now_ms;
  hold.call_ = worker.hold_calls_.Begin(
      now_ms, order.wait_ms_ + order.answer_timeout_ms_, order.late_answer_ms_);
  worker.is_hold_pending_ = true;
  worker.last_hold_call_ = hold.call_;
  gateway_->Hold(worker.entry_, order,
                 [this, id = worker.entry_.id_, hold,
                  alive = is_alive_](const HoldResult& result) {
                   if (*alive) {
                     OnHoldAnswer(id, hold, result);
                   }
                 });
}

auto Dispatcher::RenewAllLeases(Millis now_ms) -> void {
  for (auto& [id, worker] : workers_) {
    if (worker.is_claimed_ && worker.hold_failures_ == 0) {
      worker.next_hold_ms_ = worker.unrecorded_ends_.empty()
                                 ? now_ms
                                 : now_ms + kUnrecordedHoldPauseMs;
      RequestHold(worker, now_ms);
    }
  }
}

auto Dispatcher::AddAnswerTime(FleetWorker& worker, Millis sent_ms,
                               Millis now_ms) -> void {
  worker.answer_time_.AddSample(now_ms - sent_ms);
  fleet_answer_time_.AddSample(now_ms - sent_ms);
}

auto Dispatcher::AnswerTimeoutMsOf(const FleetWorker& worker) const -> Millis {
  return AnswerTimeoutMs(worker.answer_time_, fleet_answer_time_);
}

auto Dispatcher::OnHoldAnswer(const std::string& id, const SentHold& hold,
                              const HoldResult& result) -> void {
  const auto it = workers_.find(id);
  if (it == workers_.end()) {
    return;
  }
  auto& worker = it->second;
  const auto now = BootMs();
  if (result.status_ != WorkerStatus::kNotSent &&
      (result.status_ != WorkerStatus::kUnknown ||
       now - hold.sent_ms_ < hold.wait_ms_ + hold.answer_timeout_ms_)) {
    worker.last_contact_ms_ = now;
  }
  if (result.status_ == WorkerStatus::kOk) {
    worker.connect_timeout_ms_ = 0;
    const auto answer_ms = now - result.sent_ms_;
    for (auto* times : {&worker.answer_time_, &fleet_answer_time_}) {
      times->AddWaitingCall(answer_ms, hold.wait_ms_, result.ended_.empty());
    }
  }
  if (!result.is_late_ && hold.call_ != worker.last_hold_call_) {
    OnSupersededHoldAnswer(worker, hold, result, now);
    return;
  }
  if (result.is_late_) {
    OnLateHoldAnswer(worker, hold, result, now);
    return;
  }
  worker.is_hold_pending_ = false;
  if (result.status_ == WorkerStatus::kFenced) {
    OnFenced(worker, hold.token_);
  }
  if (result.status_ != WorkerStatus::kOk) {
    OnHoldFailure(worker, hold, result.status_, now);
    return;
  }
  worker.hold_calls_.OnAnswer(hold.call_, now);
  if (IsOfUnknownLife(worker, hold, result)) {
    OnWorkerReborn(worker, result, now);
    return;
  }
  const auto former_incarnation = worker.incarnation_;
  if (result.incarnation_ != worker.incarnation_) {
    BeginWorkerLife(worker, result, now);
  }
  worker.life_token_ = std::max(worker.life_token_, hold.token_);
  worker.AddLifeConnection(result.connection_);
  UpdateWorkerClock(worker, result.worker_clock_ms_, result.sent_ms_);
  if (hold.clock_life_.has_value()) {
    worker.OnLeaseOrderEnded(*hold.clock_life_, result.status_, now,
                             options_.max_lease_ms_);
  }
  if (result.sent_ms_ >= worker.restart_proved_ms_) {
    worker.restart_proved_ms_ = 0;
  }
  worker.hold_failures_ = 0;
  if (result.sent_ms_ >= worker.unlisted_since_ms_) {
    worker.has_deleted_entry_ = false;
  }
  if (worker.is_omitted_from_record_) {
    worker.is_omitted_from_record_ = false;
    worker.workers_record_version_ = recorder_.MarkDirty(kWorkersKey);
  }
  for (const auto& end : result.ended_) {
    HandleRunEnd(worker, end, now);
  }
  for (const auto& running : result.running_) {
    HandleRunningTask(worker, running, now);
  }
  const auto crashes = DetectCrashes(worker, former_incarnation, result);
  worker.reborn_call_ms_ = 0;
  worker.is_claimed_ = true;
  if (const auto unclaimed = unclaimed_workers_.find(id);
      unclaimed != unclaimed_workers_.end()) {
    OnUnclaimedWorkerAnswered(worker, unclaimed->second);
  }
  StopUnlistedStarts(worker, result, now);
  if (result.IsComplete()) {
    RemoveUnlistedRuns(worker, result);
    if (unclaimed_workers_.erase(id) > 0 && unclaimed_workers_.empty()) {
      LogEvent(Event::kFleetTakenOver,
               {{"epoch", std::to_string(claim_.epoch_)},
                {"age_ms", std::to_string(now - claim_.claimed_ms_)}});
    }
  }
  for (const auto& crash : crashes) {
    CountCrash(crash, worker);
  }
  if (former_incarnation != worker.incarnation_) {
    MarkAdoptedSuspects(worker);
  }
  ThrottleFillingTasks(worker, result, now);
  // The worker repeats ends until they are acknowledged, so the next Hold call
  // is delayed while ends are not durable.
  worker.next_hold_ms_ =
      now + (!has_sole_rights_                  ? kSharedRightsHoldPauseMs
             : !worker.unrecorded_ends_.empty() ? kUnrecordedHoldPauseMs
             : worker.overdue_starts_ > 0       ? kOverdueStartHoldPauseMs
             : worker.is_lease_withheld_        ? kUnrecordedHoldPauseMs
                                                : 0);
  SendHoldIfDue(worker, now);
  RequestPlacementPass();
}

auto Dispatcher::OnHoldFailure(FleetWorker& worker, const SentHold& hold,
                               WorkerStatus status, Millis now_ms) -> void {
  if (hold.clock_life_.has_value()) {
    worker.OnLeaseOrderEnded(*hold.clock_life_, status, now_ms,
                             options_.max_lease_ms_);
  }
  if (++worker.hold_failures_ == 1) {
    worker.failing_since_ms_ = now_ms;
  }
  // An attempt that is given up is lost, as the next one begins anew. One that
  // is refused fails before its time.
  if (status == WorkerStatus::kNotSent &&
      now_ms - hold.sent_ms_ >= hold.wait_ms_ + hold.answer_timeout_ms_) {
    worker.connect_timeout_ms_ =
        std::min(2 * hold.answer_timeout_ms_, kMaxAnswerTimeoutMs);
  }
  worker.hold_calls_.OnFailure(hold.call_, status == WorkerStatus::kUnknown,
                               now_ms);
  if (worker.hold_calls_.IsAnswering()) {
    // An answer has arrived meanwhile, and the lease has not been renewed
    // since.
    worker.next_hold_ms_ = now_ms;
    return;
  }
  worker.next_hold_ms_ =
      now_ms + std::min(kMaxHoldRetryMs, kHoldRetryMs * worker.hold_failures_);
  if (worker.hold_calls_.silent_failures() == 2) {
    metrics_->Increment(FleetCounter::kWorkersSilent);
    LogEvent(Event::kFleetWorkerSilent,
             {{"worker", worker.entry_.id_},
              {"status", WorkerStatusName(status)},
              {"runs", std::to_string(worker.runs_.size())},
              {"lapse_in_ms",
               std::to_string(worker.latest_lease_expiry_ms_ - now_ms)},
              {"last_answer_ago_ms", worker.LastAnswerAge(now_ms)}});
  }
}

auto Dispatcher::OnSupersededHoldAnswer(FleetWorker& worker,
                                        const SentHold& hold,
                                        const HoldResult& result, Millis now_ms)
    -> void {
  if (hold.clock_life_.has_value()) {
    worker.OnLeaseOrderEnded(*hold.clock_life_, result.status_, now_ms,
                             options_.max_lease_ms_);
  }
  if (result.status_ == WorkerStatus::kOk) {
    OnLateHoldAnswer(worker, hold, result, now_ms);
  } else {
    worker.hold_calls_.OnFailure(
        hold.call_, result.status_ == WorkerStatus::kUnknown, now_ms);
  }
}

auto Dispatcher::OnLateHoldAnswer(FleetWorker& worker, const SentHold& hold,
                                  const HoldResult& result, Millis now_ms)
    -> void {
  if (result.status_ == WorkerStatus::kUnknown) {
    worker.hold_calls_.OnOtherAnswer(hold.call_);
    LogEvent(Event::kFleetLateAnswerGivenUp,
             {{"worker", worker.entry_.id_},
              {"age_ms", std::to_string(now_ms - result.sent_ms_)},
              {"runs", std::to_string(worker.runs_.size())},
              {"lapse_in_ms",
               std::to_string(worker.LatestLeaseExpiryMs() - now_ms)}});
    return;
  }
  // Before the first answer in time the worker's life is not known. An end that
  // is taken then is listed again in that answer, and acknowledged after it.
  if (result.status_ != WorkerStatus::kOk ||
      (worker.incarnation_ != 0 &&
       result.incarnation_ != worker.incarnation_)) {
    worker.hold_calls_.OnOtherAnswer(hold.call_);
    return;
  }
  if (worker.incarnation_ != 0) {
    worker.AddLifeConnection(result.connection_);
  }
  const auto new_ends = std::count_if(
      result.ended_.begin(), result.ended_.end(), [&](const EndedRun& end) {
        return end.number_ > worker.last_received_end_;
      });
  LogEvent(Event::kFleetLateAnswer,
           {{"worker", worker.entry_.id_},
            {"age_ms", std::to_string(now_ms - result.sent_ms_)},
            {"ends", std::to_string(new_ends)}});
  for (const auto& end : result.ended_) {
    HandleRunEnd(worker, end, now_ms);
  }
  OnLateRunList(worker, result, now_ms);
  if (new_ends > 0) {
    RequestPlacementPass();
  }
  if (worker.incarnation_ == 0 || worker.restart_proved_ms_ != 0) {
    worker.hold_calls_.OnOtherAnswer(hold.call_);
    return;
  }
  if (result.IsComplete()) {
    // A run that had ended when the worker answered has not come back since.
    RemoveUnlistedRuns(worker, result);
  }
  UpdateWorkerClock(worker, result.worker_clock_ms_, result.sent_ms_);
  worker.hold_calls_.OnAnswer(hold.call_, now_ms);
  if (result.sent_ms_ >= worker.unlisted_since_ms_) {
    worker.has_deleted_entry_ = false;
  }
  if (!worker.is_hold_pending_) {
    worker.next_hold_ms_ = std::min(worker.next_hold_ms_, now_ms);
    SendHoldIfDue(worker, now_ms);
  }
}

}  // namespace lentilscale::fleet
