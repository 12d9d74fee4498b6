// Sends a request as it is written, on a connection of its own, for tests that
// look at the answer's headers.
//
//   const auto answer = RawCall("127.0.0.1:7001", "GET / HTTP/1.1\r\n\r\n",
//                               [&](const auto& done) { RunUntil(done); });
//   answer.starts_with("HTTP/1.1 200");

#ifndef LENTILSCALE_TESTING_RAW_CALL_STAND_IN_H_
#define LENTILSCALE_TESTING_RAW_CALL_STAND_IN_H_

#include <functional>
#include <string>

namespace lentilscale::testing {

// Returns what has arrived once the headers are complete or `run_until`, which
// runs the test's loop until its argument returns true, gives up. Empty if the
// address cannot be reached.
auto RawCall(const std::string& address, const std::string& request,
             const std::function<void(const std::function<bool()>&)>& run_until)
    -> std::string;

}  // namespace lentilscale::testing

#endif  // LENTILSCALE_TESTING_RAW_CALL_STAND_IN_H_
