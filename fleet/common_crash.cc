// A job whose tasks crash many workers at once must not be taken for a fault of
// the data centre. So only workers without a suspect of the job count. Suspects
// of many jobs are told by the other data centres: tasks are placed in all of
// them, so that all are hit, whereas a fault of one spares the others. Where
// they are confined to one, they are told by the next crash: each worker that
// had a task which was there at the one before does not count either.

#include "fleet/common_crash.h"

#include <cstdlib>

namespace lentilscale::fleet {
namespace {

// Workers that ended together take this much longer or shorter to restart.
constexpr std::int64_t kTogetherMs = 1000;
// Fewer may have ended together by chance.
constexpr int kMinOthers = 3;

struct Tally {
  int workers_ = 0;
  int ended_ = 0;
};

}  // namespace

auto IsCommonCrash(const WorkerBirth& birth,
                   const std::vector<WorkerBirth>& others) -> bool {
  Tally here;
  Tally elsewhere;
  for (const auto& other : others) {
    const auto has_ended =
        std::abs(other.born_unix_ms_ - birth.born_unix_ms_) <= kTogetherMs;
    if (has_ended && other.had_suspect_) {
      continue;
    }
    auto& tally = other.data_centre_ == birth.data_centre_ ? here : elsewhere;
    ++tally.workers_;
    tally.ended_ += has_ended ? 1 : 0;
  }
  // The share of the workers here that ended is at least a half, and at least
  // twice that elsewhere.
  return here.ended_ >= kMinOthers && 2 * here.ended_ >= here.workers_ &&
         elsewhere.workers_ > 0 &&
         2 * elsewhere.ended_ * here.workers_ <=
             here.ended_ * elsewhere.workers_;
}

}  // namespace lentilscale::fleet
