// Parses command lines with Abseil flags whose names may be written with
// hyphens: --check-settings means the flag check_settings.
//
//   auto words = ParseCommandLine(argc, argv);   // what is not a flag

#ifndef LENTILSCALE_COMMAND_LINE_H_
#define LENTILSCALE_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace lentilscale {

// Parses the flags and returns the other words, without the program's name.
auto ParseCommandLine(int argc, char** argv) -> std::vector<std::string>;

}  // namespace lentilscale

#endif  // LENTILSCALE_COMMAND_LINE_H_
