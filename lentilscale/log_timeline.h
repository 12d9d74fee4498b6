// The life of one job, request or worker, told from the logs of all instances.
//
//   for (const auto& entry : BuildTimeline(lines, "00a1b2c3d4e5f607")) {
//     fmt::print("{} {}\n", entry.time_, entry.text_);
//   }
//
// A line belongs to the story if the id stands in one of its fields, alone or
// before a dot (a task of the job). Lines come in the order of their times;
// instances' clocks may differ by some milliseconds.

#ifndef LENTILSCALE_LOG_TIMELINE_H_
#define LENTILSCALE_LOG_TIMELINE_H_

#include <string>
#include <vector>

namespace lentilscale {

// One log line, as LogEvent writes it.
struct TimelineEntry {
  std::string time_;
  // The event's name and fields.
  std::string text_;
};

// Returns the lines that concern `id`, in order of time. What stands before
// "time=" on a line, such as an instance's name, is kept at the text's start;
// lines of another form are passed over.
auto BuildTimeline(const std::vector<std::string>& lines, const std::string& id)
    -> std::vector<TimelineEntry>;

}  // namespace lentilscale

#endif  // LENTILSCALE_LOG_TIMELINE_H_
