// Each line is flushed, so that a killed stand-in leaves a whole record.

#include "testing/record_stand_in.h"

#include "lentilscale/clock.h"
#include "lentilscale/json.h"

namespace lentilscale {

EventRecord::EventRecord(const std::string& path) {
  if (!path.empty()) {
    file_.open(path, std::ios::app);
  }
}

auto EventRecord::Write(Json::Value event) -> void {
  if (file_.is_open()) {
    event["t_ms"] = Json::Int64(WallMs());
    file_ << DumpJson(event) << '\n' << std::flush;
  }
}

}  // namespace lentilscale
