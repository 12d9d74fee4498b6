// The count changes with the jobs, so that a call for a length costs the same
// however many jobs there are. Places count by their lifetime: a job that is
// dropped leaves its queue without a call.

#include "fleet/queue_lengths.h"

#include <utility>

namespace lentilscale::fleet {

QueueLengths::Place::Place(std::int64_t* length) : length_(length) {
  ++*length_;
}

QueueLengths::Place::Place(Place&& other) noexcept
    : length_(std::exchange(other.length_, nullptr)) {}

auto QueueLengths::Place::operator=(Place&& other) noexcept -> Place& {
  if (this != &other) {
    Leave();
    length_ = std::exchange(other.length_, nullptr);
  }
  return *this;
}

auto QueueLengths::Place::Leave() -> void {
  if (length_ != nullptr) {
    --*length_;
    length_ = nullptr;
  }
}

auto QueueLengths::Enter(const std::string& queue) -> Place {
  return Place(&lengths_[queue]);
}

auto QueueLengths::LengthOf(const std::string& queue) const -> std::int64_t {
  const auto it = lengths_.find(queue);
  return it == lengths_.end() ? 0 : it->second;
}

}  // namespace lentilscale::fleet
