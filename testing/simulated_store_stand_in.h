// Parts that the simulated fleets share: random events on a clock that the test
// controls, and a model of the store.
//
// Nothing but the seed decides the course:
//
//   SimulatedEvents events(loop, 17);
//   SimulatedStore store(&events);
//   store.Put("op/config", "{}");

#ifndef LENTILSCALE_TESTING_SIMULATED_STORE_STAND_IN_H_
#define LENTILSCALE_TESTING_SIMULATED_STORE_STAND_IN_H_

#include <uv.h>

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include "fleet/record_store.h"

namespace lentilscale::fleet {

class SimulatedEvents {
 public:
  SimulatedEvents(uv_loop_t* loop, unsigned seed)
      : loop_(loop), random_(seed) {}
  ~SimulatedEvents() { *is_alive_ = false; }
  SimulatedEvents(const SimulatedEvents&) = delete;
  auto operator=(const SimulatedEvents&) -> SimulatedEvents& = delete;

  auto Chance(double probability) -> bool;
  auto Between(int low, int high) -> int;
  // Runs `action` after `delay_ms`, unless this object is gone by then.
  auto Later(Millis delay_ms, std::function<void()> action) -> void;

 protected:
  auto random() -> std::mt19937& { return random_; }

 private:
  uv_loop_t* loop_;
  std::mt19937 random_;
  std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
};

// The platform's store, without leases; all owners of a fleet share it.
class SimulatedStore : public RecordStore {
 public:
  explicit SimulatedStore(SimulatedEvents* events) : events_(events) {}

  auto Read(const std::string& key, ReadCallback callback) -> void override;
  auto ReadPrefix(const std::string& prefix, ReadCallback callback)
      -> void override;
  auto Watch(const std::string& prefix, std::int64_t after_revision,
             Millis wait_ms, ReadCallback callback) -> void override;
  auto Commit(const Transaction& transaction, CommitCallback callback)
      -> void override;
  auto GrantLease(Millis, LeaseCallback) -> void override {}
  auto RenewLease(std::int64_t, LeaseCallback) -> void override {}
  auto RevokeLease(std::int64_t) -> void override {}

  auto Put(const std::string& key, const std::string& value) -> std::int64_t;
  auto Remove(const std::string& key) -> void { records_.erase(key); }
  auto Get(const std::string& key) const -> std::string;
  bool is_down_ = false;

 private:
  auto Apply(const Transaction& transaction) -> CommitResult;
  auto List(const std::string& prefix, std::int64_t after) const -> ReadResult;

  SimulatedEvents* events_;
  std::int64_t revision_ = 1;
  std::map<std::string, Record> records_;
};

}  // namespace lentilscale::fleet

#endif  // LENTILSCALE_TESTING_SIMULATED_STORE_STAND_IN_H_
