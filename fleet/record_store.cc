// The log names are listed in the order of StoreStatus.

#include "fleet/record_store.h"

#include <array>

namespace lentilscale::fleet {
namespace {

constexpr auto kStoreStatusNames = std::to_array<const char*>(
    {"ok", "conflict", "absent", "compacted", "refused", "unknown"});

}  // namespace

auto StoreStatusName(StoreStatus status) -> const char* {
  return kStoreStatusNames.at(static_cast<std::size_t>(status));
}

}  // namespace lentilscale::fleet
