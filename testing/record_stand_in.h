// The stand-ins' own record: JSON lines with a wall-clock time, from which
// promises are judged without asking the product.

#ifndef TESTING_RECORD_STAND_IN_H_
#define TESTING_RECORD_STAND_IN_H_

#include <json/json.h>

#include <fstream>
#include <string>

namespace lentilscale {

// Appends events to a file; an empty path records nothing.
class EventRecord {
 public:
  explicit EventRecord(const std::string& path);

  // Adds "t_ms" to `event` and writes it as one line.
  auto Write(Json::Value event) -> void;

 private:
  std::ofstream file_;
};

}  // namespace lentilscale

#endif  // TESTING_RECORD_STAND_IN_H_
