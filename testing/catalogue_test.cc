// Holds the documents equal to the tables in the code.

#define BOOST_TEST_MODULE catalogue
#include <boost/test/unit_test.hpp>
#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "lentilscale/error.h"
#include "lentilscale/log.h"
#include "lentilscale/settings.h"

namespace lentilscale {
namespace {

auto ReadFile(const std::string& path) -> std::string {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

BOOST_AUTO_TEST_CASE(EveryEventIsInTheCatalogueAndNoOther) {
  const auto catalogue = ReadFile("docs/EVENTS.md");
  std::set<std::string> expected;
  for (const auto& info : EventTable()) {
    expected.insert("| " + std::to_string(static_cast<int>(info.event_)) +
                    " | " + std::string(info.name_) + " | " +
                    std::string(LogLevelName(info.level_)) + " |");
  }
  std::set<std::string> found;
  std::istringstream lines(catalogue);
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("| ") && std::isdigit(line[2]) != 0) {
      // The first three columns.
      std::size_t end = 0;
      for (auto i = 0; i < 3; ++i) {
        end = line.find('|', end + 1);
      }
      found.insert(line.substr(0, end + 1));
    }
  }
  BOOST_TEST(expected == found, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(TheSettingsPageIsTheTable) {
  BOOST_TEST(ReadFile("docs/SETTINGS.md").find(Settings::Markdown()) !=
             std::string::npos);
}

BOOST_AUTO_TEST_CASE(EveryErrorIsInTheApiPage) {
  const auto page = ReadFile("docs/API.md");
  for (auto i = 0; i <= static_cast<int>(ErrorCode::kInternal); ++i) {
    const auto& info = GetErrorInfo(static_cast<ErrorCode>(i));
    BOOST_TEST(static_cast<int>(info.code_) == i);
    BOOST_TEST(page.find("| " + std::string(info.name_) + " | " +
                         std::to_string(info.http_status_) + " | " +
                         (info.not_run_ ? "yes" : "no")) != std::string::npos,
               "not in docs/API.md: " << info.name_);
  }
}

}  // namespace
}  // namespace lentilscale
