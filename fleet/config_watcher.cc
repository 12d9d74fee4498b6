// A watch is kept open at all times. Each answer confirms the version, even an
// empty one, at the cost of about one call per second. Reading the document at
// the same rate would transfer tens of kilobytes with each call.
//
// The document is read once. After a failure the watch goes on from the last
// revision: reading a large document anew would load the link on which an
// answer was late. The store says so if it has dropped that part of its
// history.
//
// Another instance is asked anew as soon as it has answered. It answers when it
// has confirmed the configuration itself, so that the age here is that of the
// other plus the way. A poll ends while there is time left to ask the sources
// that come after.

#include "fleet/config_watcher.h"

#include <algorithm>

#include "lentilscale/log.h"
#include "lentilscale/timer.h"

namespace lentilscale::fleet {
namespace {

constexpr Millis kWatchWaitMs = 800;
// Pause after the first of several failures; it doubles with each further one.
constexpr Millis kMinRetryMs = 150;
constexpr Millis kMaxRetryMs = 800;
// Bounds the shift that computes the pause.
constexpr int kMaxDoublings = 8;
// A watch may report a change this late.
constexpr Millis kMaxWatchLagMs = 1000;
// An answer that leaves the configuration older than this was read late, after
// a pause of the process.
constexpr Millis kMaxConfirmedAgeMs = kMaxWatchLagMs + 2 * kWatchWaitMs;
// A poll of another instance lasts no longer; more than the interval at which
// that confirms its configuration by watches.
constexpr Millis kPollWaitMs = 1100;
constexpr Millis kMinPollWaitMs = 50;
// Time left to each further source before the configuration is of no use.
constexpr Millis kSourceReserveMs = 300;
// A relay and a spare.
constexpr int kMaxSources = 2;
// The age of a configuration that a relay has just confirmed is above the lag
// of a watch and its wait; below this age limit, polls would end before the
// next confirmation.
constexpr Millis kMinFollowAgeMs = 3300;
// Pause until an instance is asked again after the first of several failures;
// it doubles with each further one.
constexpr Millis kMinPeerRetryMs = 1000;
constexpr Millis kMaxPeerRetryMs = 8000;

// Returns a pause that doubles with each failure after the first.
auto BackOff(int failures, Millis min_ms, Millis max_ms) -> Millis {
  const auto doublings = std::min(std::max(failures, 1) - 1, kMaxDoublings);
  return std::min(max_ms, min_ms << doublings);
}

// Calls the member of a set of functions that takes the variant's value.
template <typename... Functions>
struct Visitor : Functions... {
  using Functions::operator()...;
};
template <typename... Functions>
Visitor(Functions...) -> Visitor<Functions...>;

}  // namespace

ConfigWatcher::ConfigWatcher(uv_loop_t* loop, RecordStore* store,
                             std::string key, ParseFunction parser,
                             ConfigPeers peers)
    : loop_(loop),
      store_(store),
      key_(std::move(key)),
      parser_(std::move(parser)),
      peers_(std::move(peers)) {
  ReadConfig();
}

auto ConfigWatcher::SetSources(const std::vector<std::string>& addresses)
    -> void {
  if (peers_.poll_ && peers_.max_age_ms_ >= kMinFollowAgeMs) {
    sources_ = addresses;
    sources_.resize(std::min<std::size_t>(sources_.size(), kMaxSources));
  }
}

auto ConfigWatcher::OnStoreAnswered(Millis sent_ms) -> void {
  store_answered_ms_ = std::max(store_answered_ms_, sent_ms);
}

auto ConfigWatcher::ChooseSource() const -> Source {
  // The spare asks the store before those who ask the spare give it up.
  auto max_age_ms = peers_.max_age_ms_ - kSourceReserveMs * kMaxSources;
  for (const auto& address : sources_) {
    const auto it = failed_.find(address);
    if ((it == failed_.end() || BootMs() >= it->second.retry_at_ms_) &&
        AgeMs() + kMinPollWaitMs < max_age_ms) {
      return FromPeer{address, max_age_ms};
    }
    max_age_ms += kSourceReserveMs;
  }
  return FromStore{};
}

auto ConfigWatcher::Next(bool is_overdue) -> void {
  const auto source = ChooseSource();
  const auto* peer = std::get_if<FromPeer>(&source);
  const auto name = peer == nullptr ? std::string() : peer->address_;
  if (name != logged_source_) {
    LogEvent(Event::kFleetConfigurationSource,
             {{"source", peer == nullptr ? "store" : name},
              {"configuration_age_ms", std::to_string(AgeMs())}});
    logged_source_ = name;
  }
  std::visit(Visitor{[this, is_overdue](const FromStore&) {
                       if (latest_ == nullptr) {
                         ReadConfig();
                       } else {
                         Watch(is_overdue ? 0 : kWatchWaitMs);
                       }
                     },
                     [this](const FromPeer& from_peer) { Poll(from_peer); }},
             source);
}

auto ConfigWatcher::Poll(const FromPeer& peer) -> void {
  const ConfigPoll poll{latest_ == nullptr ? 0 : latest_->revision_,
                        std::min(kPollWaitMs, peer.max_age_ms_ - AgeMs())};
  peers_.poll_(peer.address_, poll,
               [this, peer, alive = is_alive_](
                   const std::optional<ConfigAnswer>& answer, Millis sent_ms) {
                 if (!*alive) {
                   return;
                 }
                 if (answer.has_value()) {
                   OnPollAnswered(peer, *answer, sent_ms);
                 } else {
                   OnPeerFailed(peer, "no answer");
                 }
               });
}

auto ConfigWatcher::OnPollAnswered(const FromPeer& peer,
                                   const ConfigAnswer& answer, Millis sent_ms)
    -> void {
  if (answer.value_.has_value() &&
      (latest_ == nullptr || answer.revision_ > latest_->revision_)) {
    ApplyRecord({key_, *answer.value_, answer.revision_});
  }
  watch_revision_ = std::max(watch_revision_, answer.at_revision_);
  Confirm(KnownCurrentMs(answer, sent_ms));
  if (AgeMs() + kMinPollWaitMs >= peer.max_age_ms_) {
    OnPeerFailed(peer, "its configuration is not confirmed");
    return;
  }
  failed_.erase(peer.address_);
  Next(false);
}

auto ConfigWatcher::OnPeerFailed(const FromPeer& peer, const char* reason)
    -> void {
  auto& failed = failed_[peer.address_];
  ++failed.failures_;
  failed.retry_at_ms_ =
      BootMs() + BackOff(failed.failures_, kMinPeerRetryMs, kMaxPeerRetryMs);
  LogEvent(Event::kFleetConfigurationFallback,
           {{"source", peer.address_},
            {"reason", reason},
            {"failures", std::to_string(failed.failures_)},
            {"configuration_age_ms", std::to_string(AgeMs())}});
  Next(true);
}

auto ConfigWatcher::AgeMs() const -> Millis {
  return BootMs() - known_current_ms_;
}

auto ConfigWatcher::OnCallFailed(const ReadResult& result) -> void {
  ++failures_;
  LogEvent(Event::kFleetConfigurationNotRead,
           {{"status", StoreStatusName(result.status_)},
            {"received_bytes", std::to_string(result.received_bytes_)},
            {"failures", std::to_string(failures_)},
            {"configuration_age_ms", std::to_string(AgeMs())}});
  ScheduleRetry();
}

auto ConfigWatcher::ScheduleRetry() -> void {
  RunAfter(loop_, BackOff(failures_, kMinRetryMs, kMaxRetryMs),
           [this, alive = is_alive_] {
             if (*alive) {
               // The age has grown during the failures; an answer at once
               // confirms the version soonest.
               Next(true);
             }
           });
}

auto ConfigWatcher::ReadConfig() -> void {
  store_->Read(key_, [this, alive = is_alive_](const ReadResult& result) {
    if (!*alive) {
      return;
    }
    if (result.status_ != StoreStatus::kOk) {
      OnCallFailed(result);
      return;
    }
    failures_ = 0;
    OnStoreAnswered(result.sent_ms_);
    watch_revision_ = std::max(watch_revision_, result.revision_);
    ApplyRecord(result.records_[0]);
    Confirm(result.sent_ms_);
    Next(false);
  });
}

auto ConfigWatcher::Watch(Millis wait_ms) -> void {
  store_->Watch(key_, watch_revision_, wait_ms,
                [this, alive = is_alive_](const ReadResult& result) {
                  if (!*alive) {
                    return;
                  }
                  if (result.status_ == StoreStatus::kCompacted) {
                    ReadConfig();
                    return;
                  }
                  if (result.status_ != StoreStatus::kOk) {
                    OnCallFailed(result);
                    return;
                  }
                  failures_ = 0;
                  OnStoreAnswered(result.sent_ms_);
                  for (const auto& record : result.records_) {
                    if (record.key_ == key_ && !record.is_removed_) {
                      ApplyRecord(record);
                    }
                  }
                  watch_revision_ = std::max(watch_revision_, result.revision_);
                  Confirm(result.sent_ms_ - kMaxWatchLagMs);
                  // The age is the same as after failures, see ScheduleRetry.
                  Next(AgeMs() > kMaxConfirmedAgeMs);
                });
}

auto ConfigWatcher::Confirm(Millis known_current_ms) -> void {
  const auto revision = latest_ == nullptr ? 0 : latest_->revision_;
  // Two instances that poll each other must not wake each other without news.
  if (known_current_ms <= known_current_ms_ &&
      revision == confirmed_revision_) {
    return;
  }
  known_current_ms_ = std::max(known_current_ms_, known_current_ms);
  confirmed_revision_ = revision;
  if (peers_.on_confirmed_) {
    peers_.on_confirmed_();
  }
}

auto ConfigWatcher::ApplyRecord(const Record& record) -> void {
  latest_ = std::make_shared<const Record>(record);
  auto config = parser_(record.value_);
  if (!config.ok()) {
    LogEvent(Event::kBadRecord,
             {{"key", key_}, {"problem", config.status().ToString()}});
    return;
  }
  if (current_ != nullptr && config->version_ <= current_->version_) {
    return;
  }
  LogEvent(Event::kFleetConfiguration,
           {{"version", std::to_string(config->version_)},
            {"revision", std::to_string(record.revision_)},
            {"queues", std::to_string(config->queues_.size())},
            {"teams", std::to_string(config->teams_.size())}});
  current_ = std::make_shared<const FleetConfig>(*std::move(config));
}

}  // namespace lentilscale::fleet
