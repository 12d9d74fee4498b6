// Additive increase and multiplicative decrease by delay, as in TCP Vegas: the
// owner's answers wait in its own event loop, so their delay shows an overload
// before any call is lost. Answers to starts that were sent before the last
// halving say nothing about the halved window, and are not judged.

#include "fleet/start_window.h"

#include <algorithm>

namespace lentilscale::fleet {
namespace {

// A round is late if at least one answer in this many is. An overload delays
// all answers, the loss of a data centre those of its workers only.
constexpr int kLateDivisor = 2;

}  // namespace

auto StartWindow::HasRoomForGang(int count) const -> bool {
  return awaited_ + count <= limit_ || awaited_ <= limit_ / 2;
}

auto StartWindow::OnSent() -> void {
  ++awaited_;
  has_been_full_ |= !HasRoom();
}

auto StartWindow::OnAnswer(Millis sent_ms, Millis now_ms, bool is_answered)
    -> void {
  awaited_ = std::max(0, awaited_ - 1);
  if (sent_ms < round_begun_ms_) {
    return;
  }
  const auto is_late = !is_answered || now_ms - sent_ms > options_.target_ms_;
  ++(is_late ? late_ : in_time_);
  const auto answers = in_time_ + late_;
  if (answers >= options_.min_judged_ && late_ * kLateDivisor >= answers) {
    limit_ = std::max(options_.min_, limit_ / 2);
    BeginRound(now_ms);
  } else if (answers >= limit_) {
    limit_ = std::min(options_.max_, limit_ + (has_been_full_ ? 1 : 0));
    in_time_ = 0;
    late_ = 0;
    has_been_full_ = !HasRoom();
  }
}

auto StartWindow::BeginRound(Millis now_ms) -> void {
  round_begun_ms_ = now_ms;
  in_time_ = 0;
  late_ = 0;
  has_been_full_ = false;
}

}  // namespace lentilscale::fleet
