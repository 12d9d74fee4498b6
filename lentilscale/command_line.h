// Parses command lines with Abseil flags whose names may be written with
// hyphens: --check-settings sets the flag check_settings.
//
//   auto arguments = ParseCommandLine(argc, argv);   // positional arguments

#ifndef LENTILSCALE_COMMAND_LINE_H_
#define LENTILSCALE_COMMAND_LINE_H_

#include <string>
#include <vector>

namespace lentilscale {

// Sets the flags given in `argv` and returns the positional arguments, without
// the program's name. Exits the process on --help or an invalid flag.
auto ParseCommandLine(int argc, char** argv) -> std::vector<std::string>;

}  // namespace lentilscale

#endif  // LENTILSCALE_COMMAND_LINE_H_
