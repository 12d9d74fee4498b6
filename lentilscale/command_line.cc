// Abseil names flags after C++ variables, while users of command lines expect
// hyphens; both spellings work.

#include "lentilscale/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage_config.h>

#include <algorithm>

namespace lentilscale {

namespace {

// The help names the program's own source file, not where it was built.
auto BaseName(absl::string_view path) -> std::string {
  return std::string(path.substr(path.rfind('/') + 1));
}

}  // namespace

auto ParseCommandLine(int argc, char** argv) -> std::vector<std::string> {
  absl::FlagsUsageConfig usage;
  usage.normalize_filename = BaseName;
  absl::SetFlagsUsageConfig(usage);
  std::vector<std::string> spelled(argv, argv + argc);
  for (auto& word : spelled) {
    if (word == "--") {
      break;
    }
    if (word.starts_with("--")) {
      const auto end = word.begin() + static_cast<std::ptrdiff_t>(std::min(
                                          word.find('='), word.size()));
      std::replace(word.begin() + 2, end, '-', '_');
    }
  }
  std::vector<char*> pointers;
  pointers.reserve(spelled.size());
  for (auto& word : spelled) {
    pointers.push_back(word.data());
  }
  const auto rest = absl::ParseCommandLine(argc, pointers.data());
  return {rest.begin() + 1, rest.end()};
}

}  // namespace lentilscale
