// The names of Abseil flags are C++ identifiers, which cannot contain hyphens,
// but users expect hyphens on command lines. Both spellings are accepted.

#include "lentilscale/command_line.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage_config.h>

#include <algorithm>

namespace lentilscale {

namespace {

// Returns the file name of `path`. With it, --help shows the source file that
// defines a flag without the directory in which the program was built.
auto BaseName(absl::string_view path) -> std::string {
  return std::string(path.substr(path.rfind('/') + 1));
}

}  // namespace

auto ParseCommandLine(int argc, char** argv) -> std::vector<std::string> {
  absl::FlagsUsageConfig usage;
  usage.normalize_filename = BaseName;
  absl::SetFlagsUsageConfig(usage);
  std::vector<std::string> arguments(argv, argv + argc);
  for (auto& argument : arguments) {
    if (argument == "--") {
      break;
    }
    if (argument.starts_with("--")) {
      const auto name_end =
          argument.begin() + static_cast<std::ptrdiff_t>(
                                 std::min(argument.find('='), argument.size()));
      std::replace(argument.begin() + 2, name_end, '-', '_');
    }
  }
  std::vector<char*> pointers;
  pointers.reserve(arguments.size());
  for (auto& argument : arguments) {
    pointers.push_back(argument.data());
  }
  const auto positional = absl::ParseCommandLine(argc, pointers.data());
  return {positional.begin() + 1, positional.end()};
}

}  // namespace lentilscale
