#define BOOST_TEST_MODULE settings
#include "lentilscale/settings.h"

#include <boost/test/unit_test.hpp>
#include <string>

#include "lentilscale/load_experiment.h"
#include "lentilscale/ticket_file.h"

namespace lentilscale {
namespace {

struct BadCase {
  std::string text_;
  std::string problem_;
};

BOOST_AUTO_TEST_CASE(DefaultsAreValid) {
  const auto settings = Settings::FromText(Settings::DefaultText(), "defaults");
  BOOST_REQUIRE_MESSAGE(settings.ok(), settings.status().message());
  BOOST_TEST(settings->listen_port_ == Settings().listen_port_);
}

BOOST_AUTO_TEST_CASE(ProblemsNameFileLineAndKey) {
  const BadCase cases[] = {
      {"[instance]\nlisten_prt = 1\n",
       "f.ini:2: [instance] listen_prt: no such setting"},
      {"[instance]\nlisten_port = x\n",
       "f.ini:2: [instance] listen_port: 'x' is not an integer"},
      {"[instance]\nlisten_port = 70000\n",
       "f.ini:2: [instance] listen_port: 70000 is not from 0 to 65535"},
      {"[instance]\nlisten_port = 1\nlisten_port = 2\n",
       "f.ini:3: [instance] listen_port: set twice"},
      {"[nonsense]\na = 1\n", "f.ini:2: [nonsense] a: no such setting"},
      {"[instance]\nlisten_port = 1\n[platform]\npoll_ms = 500\n",
       "f.ini: section [store] is missing"},
      {"[instance\n", "f.ini:1: not a section or a key=value"},
  };
  for (const auto& bad : cases) {
    const auto settings = Settings::FromText(bad.text_, "f.ini");
    BOOST_REQUIRE(!settings.ok());
    BOOST_TEST(std::string(settings.status().message()) == bad.problem_);
  }
}

BOOST_AUTO_TEST_CASE(RelatedValuesAreChecked) {
  const auto text = Settings::DefaultText();
  const auto with = [&text](const std::string& from, const std::string& to) {
    auto changed = text;
    changed.replace(changed.find(from), from.size(), to);
    return Settings::FromText(changed, "f.ini").ok();
  };
  BOOST_TEST(!with("session_ms = 10000", "session_ms = 3000"));
  BOOST_TEST(!with("name = fair", "name = unfair"));
  BOOST_TEST(!with("level = info", "level = loud"));
  BOOST_TEST(with("level = info", "level = debug"));
}

BOOST_AUTO_TEST_CASE(TicketFilesInIniFormBecomeJson) {
  const auto ticket = TicketFromIni(
      "[ticket]\nnumber = 3\nauthor = ana\n[team a]\nshare = 2\nlimit = 5\n"
      "key.k = ff\n[service s]\ncall.cpu_milli = 10\n[remove]\nteam.old = "
      "yes\n",
      "t.ini");
  BOOST_REQUIRE(ticket.ok());
  BOOST_TEST((*ticket)["number"].asInt() == 3);
  BOOST_TEST((*ticket)["teams"]["a"]["keys"][0]["sha256"].asString() == "ff");
  BOOST_TEST((*ticket)["services"]["s"]["call"]["cpu_milli"].asInt() == 10);
  BOOST_TEST((*ticket)["teams"].isMember("old"));
  BOOST_TEST((*ticket)["teams"]["old"].isNull());
  BOOST_TEST(!TicketFromIni("[teem a]\nx = 1\n", "t.ini").ok());
}

BOOST_AUTO_TEST_CASE(ExperimentsAreReadStrictly) {
  BOOST_TEST(LoadExperiment::FromText("[run]\nseconds = 3\n", "e").ok());
  BOOST_TEST(!LoadExperiment::FromText("[run]\nsecnds = 3\n", "e").ok());
  BOOST_TEST(!LoadExperiment::FromText("[team a]\nrun_ms = x\n", "e").ok());
}

}  // namespace
}  // namespace lentilscale
