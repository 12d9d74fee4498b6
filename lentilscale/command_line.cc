// Abseil names flags after C++ variables, while users of command lines expect
// hyphens; both spellings work.

#include "lentilscale/command_line.h"

#include <absl/flags/parse.h>

#include <algorithm>

namespace lentilscale {

auto ParseCommandLine(int argc, char** argv) -> std::vector<std::string> {
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
