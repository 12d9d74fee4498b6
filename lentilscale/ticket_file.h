// Reads tickets from files under version control.
//
// A file is JSON as the API takes it (docs/API.md), or INI:
//
//   [ticket]
//   number = 4
//   author = ana
//   note = raise the photo desk's limit
//   [team kitchens]
//   share = 3
//   limit = 120
//   key.tablets = <SHA-256 of the key>
//   [service photo]
//   shards_per_data_centre = 4
//   call.cpu_milli = 2000
//   [queue walk-in]
//   service = photo
//   team = kitchens
//   [deployment watch]
//   team = kitchens
//   service = photo
//   count = 6
//   need.cpu_milli = 1000
//   [remove]
//   team.old-desk = yes

#ifndef LENTILSCALE_TICKET_FILE_H_
#define LENTILSCALE_TICKET_FILE_H_

#include <absl/status/statusor.h>
#include <json/json.h>

#include <string>

namespace lentilscale {

// Returns the ticket in `path` as the API takes it. A name that ends in .ini
// is read as INI, any other as JSON. The ticket is not checked beyond its form.
auto ReadTicketFile(const std::string& path) -> absl::StatusOr<Json::Value>;

// Returns the ticket in the INI text `text`; `name` stands for the file in
// messages.
auto TicketFromIni(const std::string& text, const std::string& name)
    -> absl::StatusOr<Json::Value>;

}  // namespace lentilscale

#endif  // LENTILSCALE_TICKET_FILE_H_
