// Tests which log lines belong to the timeline of an id, and in which order.

#define BOOST_TEST_MODULE log_timeline
#include "lentilscale/log_timeline.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace lentilscale {
namespace {

const std::vector<std::string> kLines = {
    R"(n-2 time=2026-01-01T00:00:02.000Z level=info event=6203 name=fleet_run_ended task="aa.0.0.1" end="done")",
    R"(n-1 time=2026-01-01T00:00:01.000Z level=info event=6102 name=fleet_job_accepted job="aa")",
    R"(n-1 time=2026-01-01T00:00:01.500Z level=info event=6102 name=fleet_job_accepted job="aab")",
    R"(n-1 time=2026-01-01T00:00:03.000Z level=info event=6105 name=fleet_job_ended job="aa" state="completed")",
    "a line of another program with job=\"aa\"",
    "",
};

}  // namespace

BOOST_AUTO_TEST_CASE(lines_of_the_id_come_in_order_of_time) {
  const auto timeline = BuildTimeline(kLines, "aa");
  BOOST_REQUIRE_EQUAL(timeline.size(), 3U);
  BOOST_TEST(timeline[0].text_ == R"(n-1 fleet_job_accepted job="aa")");
  BOOST_TEST(timeline[0].time_ == "2026-01-01T00:00:01.000Z");
  BOOST_TEST(timeline[1].text_ ==
             R"(n-2 fleet_run_ended task="aa.0.0.1" end="done")");
  BOOST_TEST(timeline[2].text_ ==
             R"(n-1 fleet_job_ended job="aa" state="completed")");
}

BOOST_AUTO_TEST_CASE(an_unknown_or_empty_id_has_an_empty_timeline) {
  BOOST_TEST(BuildTimeline(kLines, "a").empty());
  BOOST_TEST(BuildTimeline(kLines, "").empty());
  BOOST_TEST(BuildTimeline({}, "aa").empty());
}

}  // namespace lentilscale
