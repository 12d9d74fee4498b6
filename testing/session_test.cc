// Compares the transcript of a whole session with testing/session.golden.

#define BOOST_TEST_MODULE session
#include <stdio.h>

#include <array>
#include <boost/test/tools/output_test_stream.hpp>
#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <string>

namespace {

auto RunScript(const std::string& command) -> std::string {
  std::string out;
  auto* pipe = popen(command.c_str(), "r");
  std::array<char, 4096> buffer{};
  while (fgets(buffer.data(), buffer.size(), pipe) != nullptr) {
    out += buffer.data();
  }
  pclose(pipe);
  return out;
}

BOOST_AUTO_TEST_CASE(TheSessionIsAsItWas) {
  const auto* bin = std::getenv("LENTIL_BIN");
  BOOST_REQUIRE(bin != nullptr);
  const auto transcript =
      RunScript("BIN=" + std::string(bin) + " bash testing/session.sh");
  boost::test_tools::output_test_stream output("testing/session.golden", true);
  output << transcript;
  BOOST_TEST(output.match_pattern());
}

}  // namespace
