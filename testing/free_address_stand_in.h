// A free loopback address for a program under test.

#ifndef LENTILSCALE_TESTING_FREE_ADDRESS_STAND_IN_H_
#define LENTILSCALE_TESTING_FREE_ADDRESS_STAND_IN_H_

#include <string>

namespace lentilscale::testing {

// Returns "127.0.0.1:PORT" with a port that nobody listens on, and that no
// other call, also of another process, returns until this process ends.
auto FreeAddress() -> std::string;

}  // namespace lentilscale::testing

#endif  // LENTILSCALE_TESTING_FREE_ADDRESS_STAND_IN_H_
