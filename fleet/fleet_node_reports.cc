// The reports to the owner, and the part of an instance that passes the
// configuration on by what the owner answers. The sources that an
// owner has named stay in use across a change of owners: they are no worse for
// it, and if all instances of a region returned to the store meanwhile, a
// version written then would cross the link once for each of them.

#include <utility>

#include "fleet/fleet_node.h"
#include "fleet/store_keys.h"

namespace lentilscale::fleet {
namespace {

// Number of refused connections after which the owner's process is presumed
// dead. The count restarts when the owner changes.
constexpr int kOwnerGoneRefusals = 2;
// Time without an answer from an owner after which the sources that it has
// named are dropped; longer than a take-over.
constexpr Millis kMaxSourcesAgeMs = 5000;
// Interval at which an instance that follows another asks whether the store
// answers; that of the watches that it would keep otherwise.
constexpr Millis kProbeIntervalMs = 800;

}  // namespace

auto FleetNode::SendReport() -> void {
  if (is_draining_) {
    return;
  }
  if (dispatcher_ != nullptr) {
    admission_.Update(dispatcher_->ExpectedWaits(), BootMs(),
                      dispatcher_->AdmittedShares());
  }
  const auto& owner = election_->owner();
  if (election_->IsOwner() || owner.address_.empty()) {
    return;
  }
  peer_client_.SendReport(
      owner.address_,
      {options_.instance_name_,
       election_->MakeReport(),
       election_->ClaimDelayMs(),
       {options_.peer_address_, options_.region_, options_.processor_cores_,
        election_->store_round_trip_ms(), 0}},
      [this](const ReportAnswer& answer) {
        election_->OnReportAnswered(answer);
        config_sources_ = answer.config_sources_;
        owner_answered_ms_ = BootMs();
        if (answer.epoch_ == election_->owner().epoch_) {
          admission_.Update(answer.expected_waits_, answer.sent_ms_,
                            answer.admitted_shares_);
        }
        owner_store_answered_ms_ = owner_answered_ms_ - answer.store_age_ms_;
      },
      [this, revision = owner.revision_] {
        if (election_->owner().revision_ == revision &&
            ++owner_connection_refusals_ >= kOwnerGoneRefusals) {
          election_->OnOwnerConnectionRefused();
        }
      });
}

auto FleetNode::MakeConfigPeers() -> ConfigPeers {
  return {[this](const std::string& address, const ConfigPoll& poll,
                 ConfigPollCallback callback) {
            config_poller_.Send(address, poll, std::move(callback));
          },
          options_.max_config_age_ms_,
          [this] {
            config_feed_.Publish(config_watcher_->latest(),
                                 config_watcher_->known_revision(),
                                 config_watcher_->known_current_ms());
          }};
}

auto FleetNode::UpdateConfigSources() -> void {
  // The owner names sources to others; it reads the store itself.
  if (election_->IsOwner() ||
      BootMs() - owner_answered_ms_ > kMaxSourcesAgeMs) {
    config_sources_.clear();
  }
  config_watcher_->SetSources(config_sources_);
  if (!config_sources_.empty() && !is_probing_store_ &&
      BootMs() - config_watcher_->StoreAnsweredMs() > kProbeIntervalMs) {
    ProbeStore();
  }
}

auto FleetNode::ProbeStore() -> void {
  is_probing_store_ = true;
  dependencies_.store_->Read(
      kOwnerKey, [this, alive = is_alive_](const ReadResult& result) {
        if (!*alive) {
          return;
        }
        is_probing_store_ = false;
        if (result.status_ == StoreStatus::kOk ||
            result.status_ == StoreStatus::kAbsent) {
          config_watcher_->OnStoreAnswered(result.sent_ms_);
        }
      });
}

auto FleetNode::ChooseConfigSources(const RelayCandidate& candidate)
    -> std::vector<std::string> {
  config_relays_.SetOwnRoundTrip(election_->store_round_trip_ms());
  return config_relays_.ApplyReport(candidate, BootMs());
}

}  // namespace lentilscale::fleet
