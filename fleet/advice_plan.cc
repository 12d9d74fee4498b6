// The number of tasks that find room on allowed workers is a sum of independent
// draws. A step whose tasks start one by one asks for as many as it expects to
// need; a gang, which one missing member keeps from starting, asks for so many
// that a shortfall is unlikely (a bound of z standard deviations).
//
// A gang that cannot fit now makes no calls, since its tickets would lapse. One
// that fits on workers that it knows names only these.
//
// Splitting a call saves waiting and costs the service's fixed time once more.
// Calls are split until the time for the workers is no longer than the fixed
// time: that at most doubles the cost, and the wait is at most twice the
// shortest possible.

#include "fleet/advice_plan.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <tuple>

namespace lentilscale::fleet {
namespace {

// Standard deviations by which a gang's expected room exceeds its need: one
// gang in about 20 falls short.
constexpr double kGangDeviations = 2.5;
// Workers named beyond the expected need of other steps.
constexpr std::size_t kExtraWorkers = 2;
// Bounds how far a step falls behind, in priorities.
constexpr double kMaxRoundPenalty = 8;
// Steps that can be in time and ask for each late one.
constexpr int kInTimeTurnsPerLateTurn = 3;
// Time by which an overdue step has to have waited for longer than another one
// to ask before it after one more round.
constexpr double kOverdueRankMs = 1000;
// Less than the rounds that count, so that a step that finds no room however
// long it waits doesn't take all calls.
constexpr double kMaxOverdueRank = 6;
// Time without a call that makes up for one round.
constexpr double kRoundRecoveryMs = 500;

// Adds up the room that is expected on the workers that are asked about.
class ExpectedRoom {
 public:
  explicit ExpectedRoom(const AdviceNeed& need)
      : need_(need), mean_(need.ticketed_tasks_) {}

  auto Add(const AdviceCandidate& candidate) -> void {
    const auto share = candidate.is_allowed_ ? 1.0 : need_.allowed_share_;
    const auto tasks = static_cast<double>(candidate.fitting_tasks_);
    mean_ += tasks * share;
    variance_ += tasks * tasks * share * (1 - share);
  }

  // Returns true if a gang is likely to find room for all its tasks, or if
  // other steps are expected to.
  auto IsEnough() const -> bool {
    const auto margin =
        need_.is_gang_ ? kGangDeviations * std::sqrt(variance_) : 0.0;
    return mean_ - margin >= need_.task_count_;
  }

 private:
  const AdviceNeed& need_;
  double mean_;
  double variance_ = 0;
};

auto CountCalls(const AdviceNeed& need, std::size_t workers) -> std::size_t {
  const auto fewest = (workers + kMaxAdviceWorkers - 1) / kMaxAdviceWorkers;
  const auto workers_ms =
      need.policy_.per_worker_ms_ * static_cast<double>(workers);
  const auto even = need.policy_.decide_ms_ <= 0
                        ? fewest
                        : static_cast<std::size_t>(
                              std::ceil(workers_ms / need.policy_.decide_ms_));
  return std::clamp<std::size_t>(std::max(fewest, even), 1, need.free_slots_);
}

// A candidate's place in the order of asking.
struct CandidateRank {
  // Those with room now come first, then those that are known to be allowed,
  // then those with higher scores.
  std::tuple<bool, bool, double> key_;
  // Decides between equals.
  std::size_t index_ = 0;

  auto operator>(const CandidateRank& other) const -> bool {
    return std::tie(key_, index_) > std::tie(other.key_, other.index_);
  }
};

// Yields the candidates in the order of asking. Few of many are needed, so they
// are kept in a heap instead of sorted.
class CandidateQueue {
 public:
  explicit CandidateQueue(const std::vector<AdviceCandidate>& candidates)
      : candidates_(candidates) {
    ranks_.reserve(candidates.size());
    for (const auto& candidate : candidates) {
      ranks_.push_back({{candidate.fitting_tasks_ == 0, !candidate.is_allowed_,
                         -candidate.score_},
                        ranks_.size()});
    }
    std::make_heap(ranks_.begin(), ranks_.end(), std::greater<>());
  }

  // Returns the next candidate, nullptr after the last one.
  auto Next() -> const AdviceCandidate* {
    if (ranks_.empty()) {
      return nullptr;
    }
    std::pop_heap(ranks_.begin(), ranks_.end(), std::greater<>());
    const auto index = ranks_.back().index_;
    ranks_.pop_back();
    return &candidates_[index];
  }

 private:
  const std::vector<AdviceCandidate>& candidates_;
  std::vector<CandidateRank> ranks_;
};

// Returns the workers to ask about: in order, until the room on them and, if
// full workers are named, the room that they will have is enough.
auto ChooseWorkers(const AdviceNeed& need,
                   const std::vector<AdviceCandidate>& candidates)
    -> std::vector<std::string> {
  const auto enough_future =
      need.names_full_workers_ ? kFutureRoomFactor * need.task_count_ : 0.0;
  ExpectedRoom room(need);
  std::vector<std::string> chosen;
  auto future = 0.0;
  auto extra = kExtraWorkers;
  CandidateQueue queue(candidates);
  while (!room.IsEnough() || extra > 0 || future < enough_future) {
    const auto* candidate = queue.Next();
    if (candidate == nullptr) {
      break;
    }
    const auto is_useful_now =
        candidate->fitting_tasks_ > 0 && (!room.IsEnough() || extra > 0);
    const auto is_useful_later = !candidate->is_allowed_ &&
                                 candidate->fitting_later_ > 0 &&
                                 future < enough_future;
    if (!is_useful_now && !is_useful_later) {
      continue;
    }
    extra -= room.IsEnough() && extra > 0 ? 1 : 0;
    chosen.push_back(candidate->worker_id_);
    room.Add(*candidate);
    future += candidate->is_allowed_
                  ? 0
                  : candidate->fitting_later_ * need.allowed_share_;
  }
  return chosen;
}

}  // namespace

auto AdviceCallMs(const AdvicePolicy& policy, std::size_t workers) -> Millis {
  return static_cast<Millis>(
      policy.decide_ms_ + policy.per_worker_ms_ * static_cast<double>(workers));
}

auto AdviceRank(const AdviceClaim& claim) -> double {
  const auto penalty =
      std::min(static_cast<double>(claim.rounds_), kMaxRoundPenalty) -
      static_cast<double>(claim.idle_ms_) / kRoundRecoveryMs;
  const auto waited = std::min(
      static_cast<double>(claim.waited_ms_) / kOverdueRankMs, kMaxOverdueRank);
  const auto priority =
      claim.is_overdue_ ? -1 - waited : static_cast<double>(claim.priority_);
  return priority + std::max(0.0, penalty);
}

auto AdviceTurns::IsLateNext(bool has_in_time, bool has_late) const -> bool {
  return has_late && (!has_in_time || in_time_ >= kInTimeTurnsPerLateTurn);
}

auto AdviceTurns::OnRequested(bool is_late) -> void {
  in_time_ = is_late ? 0 : in_time_ + 1;
}

auto PlanAdviceCalls(const AdviceNeed& need,
                     std::vector<AdviceCandidate> candidates)
    -> std::vector<std::vector<std::string>> {
  if (need.is_gang_) {
    auto known = need.ticketed_tasks_;
    auto possible = need.ticketed_tasks_;
    for (const auto& candidate : candidates) {
      known += candidate.is_allowed_ ? candidate.fitting_tasks_ : 0;
      possible += candidate.fitting_tasks_;
    }
    if (possible < need.task_count_) {
      return {};
    }
    if (known >= need.task_count_) {
      std::erase_if(candidates, [](const AdviceCandidate& candidate) {
        return !candidate.is_allowed_;
      });
    }
  }
  auto asked = ChooseWorkers(need, candidates);
  if (asked.empty()) {
    return {};
  }
  const auto count = CountCalls(need, asked.size());
  asked.resize(std::min(asked.size(), count * kMaxAdviceWorkers));
  std::vector<std::vector<std::string>> calls(count);
  for (std::size_t i = 0; i < asked.size(); ++i) {
    calls[i % count].push_back(std::move(asked[i]));
  }
  return calls;
}

}  // namespace lentilscale::fleet
