// How many peers are asked for a newer configuration, and which.

#define BOOST_TEST_MODULE configuration_fetcher
#include "lentilscale/configuration_fetcher.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <utility>
#include <vector>

namespace lentilscale {
namespace {

constexpr std::int64_t kOldNumber = 1;
constexpr std::int64_t kNewNumber = 2;

// The calls of a fetcher, which are answered on demand.
struct Calls {
  auto Ask() -> ConfigurationFetcher::AskFunction {
    return [this](const std::string& address,
                  const ConfigurationFetcher::Done& done) {
      asked_.push_back(address);
      done_ = done;
    };
  }

  // Ends the latest call with the own configuration at `number`.
  auto End(std::int64_t number) -> void {
    std::exchange(done_, nullptr)(number);
  }

  std::vector<std::string> asked_;
  ConfigurationFetcher::Done done_;
};

// Each report of each peer was a call for the whole configuration, so that one
// that took long to arrive was sent many times over.
BOOST_AUTO_TEST_CASE(one_peer_is_asked_at_a_time) {
  Calls calls;
  ConfigurationFetcher fetcher(calls.Ask());
  for (auto report = 0; report < 10; ++report) {
    fetcher.OnPeerHas("a", kNewNumber);
    fetcher.OnPeerHas("b", kNewNumber);
    fetcher.OnPeerHas("c", kNewNumber);
  }
  BOOST_TEST(calls.asked_ == std::vector<std::string>({"a"}),
             boost::test_tools::per_element());
  calls.End(kNewNumber);
  BOOST_TEST(calls.asked_.size() == 1U);
}

// A peer that reports but does not answer must not be the only one asked.
BOOST_AUTO_TEST_CASE(the_next_peer_is_asked_after_a_failure) {
  Calls calls;
  ConfigurationFetcher fetcher(calls.Ask());
  for (auto call = 0; call < 4; ++call) {
    fetcher.OnPeerHas("a", kNewNumber);
    fetcher.OnPeerHas("b", kNewNumber);
    fetcher.OnPeerHas("c", kNewNumber);
    calls.End(kOldNumber);
  }
  const std::vector<std::string> expected = {"a", "b", "c", "a", "b"};
  BOOST_TEST(calls.asked_ == expected, boost::test_tools::per_element());
}

// A peer that has gone must not be asked without end.
BOOST_AUTO_TEST_CASE(a_peer_is_asked_once_a_report) {
  Calls calls;
  ConfigurationFetcher fetcher(calls.Ask());
  fetcher.OnPeerHas("a", kNewNumber);
  calls.End(kOldNumber);
  BOOST_TEST(calls.asked_.size() == 1U);
  fetcher.OnPeerHas("a", kNewNumber);
  BOOST_TEST(calls.asked_.size() == 2U);
}

// A version that is published while another is fetched must not be missed.
BOOST_AUTO_TEST_CASE(a_still_newer_configuration_is_fetched_after_another) {
  Calls calls;
  ConfigurationFetcher fetcher(calls.Ask());
  fetcher.OnPeerHas("a", kNewNumber);
  fetcher.OnPeerHas("b", kNewNumber + 1);
  calls.End(kNewNumber);
  const std::vector<std::string> expected = {"a", "b"};
  BOOST_TEST(calls.asked_ == expected, boost::test_tools::per_element());
}

// An answer that arrives when the fetcher has gone must not be used.
BOOST_AUTO_TEST_CASE(an_answer_after_the_end_has_no_effect) {
  Calls calls;
  {
    ConfigurationFetcher fetcher(calls.Ask());
    fetcher.OnPeerHas("a", kNewNumber);
    fetcher.OnPeerHas("b", kNewNumber);
  }
  calls.End(kOldNumber);
  BOOST_TEST(calls.asked_.size() == 1U);
}

}  // namespace
}  // namespace lentilscale
