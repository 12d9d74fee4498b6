// How many jobs of each queue have started no task.
//
// A job holds a place in its queue for as long as it counts:
//
//   QueueLengths lengths;
//   auto place = lengths.Enter("q");
//   lengths.LengthOf("q");  // 1
//   place.Leave();
//
// The lengths must outlive the places.

#ifndef LENTILSCALE_FLEET_QUEUE_LENGTHS_H_
#define LENTILSCALE_FLEET_QUEUE_LENGTHS_H_

#include <cstdint>
#include <map>
#include <string>

namespace lentilscale::fleet {

class QueueLengths {
 public:
  // Counts until it is left or destroyed. A default one counts nowhere.
  class Place {
   public:
    Place() = default;
    ~Place() { Leave(); }
    Place(const Place&) = delete;
    auto operator=(const Place&) -> Place& = delete;
    Place(Place&& other) noexcept;
    auto operator=(Place&& other) noexcept -> Place&;

    auto Leave() -> void;

   private:
    friend class QueueLengths;
    explicit Place(std::int64_t* length);

    std::int64_t* length_ = nullptr;
  };

  QueueLengths() = default;
  QueueLengths(const QueueLengths&) = delete;
  auto operator=(const QueueLengths&) -> QueueLengths& = delete;

  auto Enter(const std::string& queue) -> Place;
  auto LengthOf(const std::string& queue) const -> std::int64_t;

 private:
  // Entries are never removed, so that the places can point to them.
  std::map<std::string, std::int64_t> lengths_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_FLEET_QUEUE_LENGTHS_H_
