// Takes a newer configuration from the peers that have it, one call at a time.
//
//   ConfigurationFetcher fetcher([](const std::string& address, auto done) {
//     // Asks the peer, and calls `done` later, whether it answered or not.
//   });
//   fetcher.OnPeerHas("127.0.0.1:7002", number);
//
// Each peer reports its configuration's number several times a second. Were
// each report answered by a call, all peers would send the same configuration
// together over this instance's link, the slower it arrives the more often.

#ifndef LENTILSCALE_CONFIGURATION_FETCHER_H_
#define LENTILSCALE_CONFIGURATION_FETCHER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace lentilscale {

class ConfigurationFetcher {
 public:
  // Tells the number of the configuration that this instance has now.
  using Done = std::function<void(std::int64_t own_number)>;
  // Asks the peer at `address`. Must call `done` once, not before it returns.
  using AskFunction =
      std::function<void(const std::string& address, const Done& done)>;

  explicit ConfigurationFetcher(AskFunction ask) : ask_(std::move(ask)) {}
  ~ConfigurationFetcher() { *is_alive_ = false; }
  ConfigurationFetcher(const ConfigurationFetcher&) = delete;
  auto operator=(const ConfigurationFetcher&) -> ConfigurationFetcher& = delete;

  // Records that the peer at `address` has configuration `number`, which is
  // newer than the own one, and asks for it unless a call is under way.
  auto OnPeerHas(const std::string& address, std::int64_t number) -> void;

 private:
  // Asks the peer that follows the last one asked.
  auto AskNext() -> void;
  auto OnDone(std::int64_t own_number) -> void;

  AskFunction ask_;
  // The peers that have a newer configuration, with its number.
  std::map<std::string, std::int64_t, std::less<>> holders_;
  std::string last_asked_;
  bool is_asking_ = false;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

}  // namespace lentilscale

#endif  // LENTILSCALE_CONFIGURATION_FETCHER_H_
