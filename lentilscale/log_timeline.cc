// The lines are searched as plain text, without a parser or an index: a fleet
// logs at most a few hundred megabytes a day, and the search runs only when a
// complaint is investigated.

#include "lentilscale/log_timeline.h"

#include <algorithm>

namespace lentilscale {
namespace {

// Returns true if `line` has a field whose value is `id` or begins with `id`
// and a dot.
auto ReferencesId(const std::string& line, const std::string& id) -> bool {
  const auto field_start = "=\"" + id;
  for (auto at = line.find(field_start); at != std::string::npos;
       at = line.find(field_start, at + 1)) {
    const auto end = at + field_start.size();
    if (end < line.size() && (line[end] == '"' || line[end] == '.')) {
      return true;
    }
  }
  return false;
}

// Returns the text of `line` between `prefix` and the next space, or an empty
// string if `line` does not contain `prefix`.
auto ValueAfter(const std::string& line, const std::string& prefix)
    -> std::string {
  const auto at = line.find(prefix);
  if (at == std::string::npos) {
    return "";
  }
  const auto start = at + prefix.size();
  return line.substr(start, line.find(' ', start) - start);
}

}  // namespace

auto BuildTimeline(const std::vector<std::string>& lines, const std::string& id)
    -> std::vector<TimelineEntry> {
  std::vector<TimelineEntry> timeline;
  if (id.empty()) {
    return timeline;
  }
  for (const auto& line : lines) {
    const auto time = line.find("time=");
    const auto name = line.find(" name=");
    if (time == std::string::npos || name == std::string::npos || name < time ||
        !ReferencesId(line, id)) {
      continue;
    }
    timeline.push_back({ValueAfter(line, "time="),
                        line.substr(0, time) + line.substr(name + 6)});
  }
  // The timestamps are in ISO 8601 with a fixed width, so sorting them as text
  // orders them by time.
  std::stable_sort(timeline.begin(), timeline.end(),
                   [](const TimelineEntry& a, const TimelineEntry& b) {
                     return a.time_ < b.time_;
                   });
  return timeline;
}

}  // namespace lentilscale
