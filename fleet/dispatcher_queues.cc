// Which services' workers may run tasks of a queue.
//
// A queue may be sent to another service while its tasks run on workers of the
// former one. The workers record therefore names, for each queue, all services
// on whose workers its tasks may have been started, and no task is started
// before a record that names its queue and service is durable. A new owner
// waits for silent workers of these services and keeps the pairs in its own
// record. The pairs of a configuration are added when it is read, so that the
// first start of a queue does not wait for a write.
//
// An owner of an earlier version records no pairs, which stands for all. This
// owner then records none either until it knows every run: from then on all
// runs were listed by their workers, and their pairs have been added.
//
// Pairs are never removed, since an earlier owner that still has its rights may
// rely on them.

#include "fleet/dispatcher.h"
#include "fleet/store_keys.h"
#include "lentilscale/error.h"
#include "lentilscale/json.h"
#include "lentilscale/log.h"

namespace lentilscale::fleet {
namespace {

// Returns the services by queue, or nullopt if the record names none or cannot
// be read.
auto ParseQueueServices(const std::string& record)
    -> std::optional<std::map<std::string, std::set<std::string>>> {
  std::map<std::string, std::set<std::string>> services_by_queue;
  Json::Value body;
  try {
    body = ParseJson(record);
  } catch (const Error&) {
    return std::nullopt;
  }
  if (!body.isObject() || !body["queues"].isObject()) {
    return std::nullopt;
  }
  for (const auto& queue : body["queues"].getMemberNames()) {
    const auto& services = body["queues"][queue];
    if (!services.isArray()) {
      return std::nullopt;
    }
    for (const auto& service : services) {
      if (!service.isString()) {
        return std::nullopt;
      }
      services_by_queue[queue].insert(service.asString());
    }
  }
  return services_by_queue;
}

}  // namespace

auto Dispatcher::ReadQueueServices(const ReadResult& workers_record) -> void {
  if (workers_record.records_.empty()) {
    // No owner has started anything.
    previous_queue_services_.emplace();
  } else {
    previous_queue_services_ =
        ParseQueueServices(workers_record.records_[0].value_);
  }
  are_queue_services_known_ = previous_queue_services_.has_value();
  if (are_queue_services_known_) {
    for (const auto& [queue, services] : *previous_queue_services_) {
      for (const auto& service : services) {
        queue_services_[queue][service] = 0;
      }
    }
  }
  UpdateKnownQueues();
}

auto Dispatcher::AddQueueService(const std::string& queue,
                                 const std::string& service) -> void {
  const auto [it, is_new] = queue_services_[queue].try_emplace(service, 0);
  if (is_new) {
    it->second = recorder_.MarkDirty(kWorkersKey);
  }
}

auto Dispatcher::IsQueueServiceRecorded(const Queue& queue) const -> bool {
  const auto services = queue_services_.find(queue.name_);
  if (services == queue_services_.end()) {
    return false;
  }
  const auto pair = services->second.find(queue.service_);
  return pair != services->second.end() &&
         (pair->second == 0 || recorder_.IsDurable(kWorkersKey, pair->second));
}

auto Dispatcher::MayHaveBeenStartedOn(const std::string& queue,
                                      const std::string& service) const
    -> bool {
  if (!previous_queue_services_.has_value() || service.empty()) {
    return true;
  }
  const auto it = previous_queue_services_->find(queue);
  return it != previous_queue_services_->end() && it->second.contains(service);
}

auto Dispatcher::CheckQueueServicesKnown() -> void {
  if (!are_queue_services_known_ && has_sole_rights_ && is_worker_list_read_ &&
      unclaimed_workers_.empty() && unmatched_jobs_.empty()) {
    are_queue_services_known_ = true;
    recorder_.MarkDirty(kWorkersKey);
  }
}

}  // namespace lentilscale::fleet
