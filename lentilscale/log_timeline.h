// Merges the log lines of all instances that concern one job, request or worker
// into a timeline.
//
//   for (const auto& entry : BuildTimeline(lines, "00a1b2c3d4e5f607")) {
//     fmt::print("{} {}\n", entry.time_, entry.text_);
//   }
//
// A line belongs to the timeline if one of its fields has the id as its value,
// or a value that begins with the id and a dot (a task of the job). Lines are
// ordered by their timestamps. The clocks of the instances may differ by some
// milliseconds, so lines of different instances may appear in the wrong order.

#ifndef LENTILSCALE_LOG_TIMELINE_H_
#define LENTILSCALE_LOG_TIMELINE_H_

#include <string>
#include <vector>

namespace lentilscale {

// One log line written by LogEvent.
struct TimelineEntry {
  // Timestamp in ISO 8601 format.
  std::string time_;
  // The event's name and fields, preceded by whatever stands before "time=" on
  // the line, such as an instance's name.
  std::string text_;
};

// Returns the lines that concern `id`, ordered by time. Skips lines that lack
// "time=" followed by "name=". Returns no entries if `id` is empty.
auto BuildTimeline(const std::vector<std::string>& lines, const std::string& id)
    -> std::vector<TimelineEntry>;

}  // namespace lentilscale

#endif  // LENTILSCALE_LOG_TIMELINE_H_
