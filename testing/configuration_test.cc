#define BOOST_TEST_MODULE configuration
#include "lentilscale/configuration.h"

#include <boost/test/unit_test.hpp>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

auto TicketOf(const std::string& text) -> Ticket {
  return Ticket::FromJson(ParseJson(text));
}

auto HasCode(ErrorCode code) {
  return [code](const Error& e) { return e.code() == code; };
}

const std::string kHash = Sha256Hex("secret");

auto FirstTicket() -> Ticket {
  return TicketOf(R"({"number":1,"author":"a","teams":{"t":{"share":1,"limit":5,
      "keys":[{"name":"k","sha256":")" +
                  kHash + R"("}]}},
      "services":{"s":{}},"queues":{"q":{"service":"s","team":"t"}}})");
}

BOOST_AUTO_TEST_CASE(KeysFindTheirTeam) {
  const auto next = Configuration().Apply(FirstTicket());
  BOOST_REQUIRE(next.FindTeamByKey("secret") != nullptr);
  BOOST_TEST(next.FindTeamByKey("secret")->name_ == "t");
  BOOST_TEST(next.FindTeamByKey("other") == nullptr);
}

BOOST_AUTO_TEST_CASE(NumbersMustFollow) {
  const auto first = Configuration().Apply(FirstTicket());
  BOOST_CHECK_EXCEPTION(first.Apply(FirstTicket()), Error,
                        HasCode(ErrorCode::kTicketConflict));
  BOOST_CHECK_EXCEPTION(first.Apply(TicketOf(R"({"number":3,"author":"a"})")),
                        Error, HasCode(ErrorCode::kTicketConflict));
}

BOOST_AUTO_TEST_CASE(InconsistentTicketsAreRefused) {
  const auto first = Configuration().Apply(FirstTicket());
  const std::string cases[] = {
      R"({"number":2,"author":"a","teams":{"t":null}})",
      R"({"number":2,"author":"a","services":{"s":null}})",
      R"({"number":2,"author":"a","services":{"s":{"shards_per_data_centre":9}}})",
      R"({"number":2,"author":"a","deployments":{"d":{"team":"x","service":"s","count":1}}})",
      R"({"number":2,"author":"a","teams":{"u":{"share":1,"limit":1,"keys":[{"name":"k","sha256":")" +
          kHash + R"("}]}}})",
  };
  for (const auto& text : cases) {
    BOOST_CHECK_EXCEPTION(first.Apply(TicketOf(text)), Error,
                          HasCode(ErrorCode::kBadRequest));
  }
}

BOOST_AUTO_TEST_CASE(MalformedTicketsAreRefused) {
  const std::string cases[] = {
      R"({"author":"a"})",
      R"({"number":0,"author":"a"})",
      R"({"number":1})",
      R"({"number":1,"author":"a","tems":{}})",
      R"({"number":1,"author":"a","teams":{"a/b":{"share":1,"limit":1}}})",
      R"({"number":1,"author":"a","teams":{"t":{"share":0,"limit":1}}})",
      R"({"number":1,"author":"a","teams":{"t":{"share":1,"limit":-1}}})",
      R"({"number":1,"author":"a","teams":{"t":{"share":1,"limit":1,"keys":[{"name":"k","sha256":"XY"}]}}})",
      R"({"number":1,"author":"a","teams":[]})",
  };
  for (const auto& text : cases) {
    BOOST_CHECK_EXCEPTION(TicketOf(text), Error,
                          HasCode(ErrorCode::kBadRequest));
  }
}

BOOST_AUTO_TEST_CASE(StatesSurviveTheStore) {
  const auto first = Configuration().Apply(FirstTicket());
  const auto read =
      Configuration::FromJson(ParseJson(DumpJson(first.ToJson())));
  BOOST_TEST(Diff(first, read).empty());
  BOOST_TEST(read.number_ == 1);
  const auto again =
      Ticket::FromJson(ParseJson(DumpJson(FirstTicket().ToJson())));
  BOOST_TEST(Diff(first, Configuration().Apply(again)).empty());
}

BOOST_AUTO_TEST_CASE(DifferencesAreNamed) {
  const auto first = Configuration().Apply(FirstTicket());
  const auto next = first.Apply(TicketOf(
      R"({"number":2,"author":"a","teams":{"t":{"share":2,"limit":5},"u":{"share":1,"limit":1}},"queues":{"q":null}})"));
  const std::vector<std::string> expected = {"~ team t", "+ team u",
                                             "- queue q"};
  BOOST_TEST(Diff(first, next) == expected, boost::test_tools::per_element());
}

}  // namespace
}  // namespace lentilscale
