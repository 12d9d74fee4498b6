// Plain searches in text: a day's logs of a fleet are some hundred megabytes at
// most, and the tool runs once for a complaint.

#include "lentilscale/log_story.h"

#include <algorithm>

namespace lentilscale {
namespace {

// Returns true if `line` has a field whose value is `id`, or begins with it and
// a dot.
auto Concerns(const std::string& line, const std::string& id) -> bool {
  const auto mark = "=\"" + id;
  for (auto at = line.find(mark); at != std::string::npos;
       at = line.find(mark, at + 1)) {
    const auto end = at + mark.size();
    if (end < line.size() && (line[end] == '"' || line[end] == '.')) {
      return true;
    }
  }
  return false;
}

// Returns the text of `line` between `from` and the next blank.
auto WordAfter(const std::string& line, const std::string& from)
    -> std::string {
  const auto at = line.find(from);
  if (at == std::string::npos) {
    return "";
  }
  const auto start = at + from.size();
  return line.substr(start, line.find(' ', start) - start);
}

}  // namespace

auto FindStory(const std::vector<std::string>& lines, const std::string& id)
    -> std::vector<StoryEntry> {
  std::vector<StoryEntry> story;
  if (id.empty()) {
    return story;
  }
  for (const auto& line : lines) {
    const auto time = line.find("time=");
    const auto name = line.find(" name=");
    if (time == std::string::npos || name == std::string::npos || name < time ||
        !Concerns(line, id)) {
      continue;
    }
    story.push_back({WordAfter(line, "time="),
                     line.substr(0, time) + line.substr(name + 6)});
  }
  // The times are in ISO 8601 with a fixed width, so they sort as text.
  std::stable_sort(story.begin(), story.end(),
                   [](const StoryEntry& a, const StoryEntry& b) {
                     return a.time_ < b.time_;
                   });
  return story;
}

}  // namespace lentilscale
