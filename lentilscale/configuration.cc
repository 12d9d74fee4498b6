// Whole states instead of edits: an instance that missed tickets reads the
// latest configuration and is done, and applying one twice changes nothing.
// The price is that a ticket repeats what it does not change in a thing it
// touches, which is also what keeps it readable in version control.

#include "lentilscale/configuration.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>
#include <cctype>

#include "lentilscale/error.h"
#include "lentilscale/json.h"

namespace lentilscale {
namespace {

constexpr std::int64_t kMaxShare = 1'000'000;
constexpr std::int64_t kMaxLimit = 10'000'000;
constexpr std::int64_t kMaxShards = 64;
constexpr std::int64_t kMaxCount = 1'000'000;
constexpr std::size_t kMaxNameLength = 64;
constexpr std::size_t kSha256HexLength = 64;

// Names become parts of store keys, paths and metrics.
auto CheckName(const std::string& name, const char* what) -> void {
  const auto is_allowed = [](unsigned char c) {
    return std::isalnum(c) != 0 || c == '-' || c == '_' || c == '.';
  };
  const auto ok = !name.empty() && name.size() <= kMaxNameLength &&
                  std::all_of(name.begin(), name.end(), is_allowed);
  if (!ok) {
    throw Error(ErrorCode::kBadRequest,
                fmt::format("{} name '{}' must be 1 to {} letters, digits, "
                            "'-', '_' or '.'",
                            what, name, kMaxNameLength));
  }
}

auto CheckMembers(const Json::Value& object,
                  std::initializer_list<std::string_view> known,
                  const std::string& where) -> void {
  if (!object.isObject()) {
    throw Error(ErrorCode::kBadRequest, where + " must be an object");
  }
  for (const auto& name : object.getMemberNames()) {
    if (std::find(known.begin(), known.end(), name) == known.end()) {
      throw Error(ErrorCode::kBadRequest,
                  fmt::format("{}: unknown member '{}'", where, name));
    }
  }
}

auto KeyFromJson(const Json::Value& object) -> TeamKey {
  CheckMembers(object, {"name", "sha256"}, "key");
  TeamKey key{RequireString(object, "name"), RequireString(object, "sha256")};
  const auto is_hex =
      std::all_of(key.sha256_.begin(), key.sha256_.end(), [](unsigned char c) {
        return std::isdigit(c) != 0 || (c >= 'a' && c <= 'f');
      });
  if (key.sha256_.size() != kSha256HexLength || !is_hex) {
    throw Error(ErrorCode::kBadRequest,
                "'sha256' must be 64 lower-case hexadecimal digits");
  }
  return key;
}

auto TeamFromJson(const std::string& name, const Json::Value& object) -> Team {
  CheckName(name, "team");
  CheckMembers(object, {"share", "limit", "keys"}, "team " + name);
  Team team;
  team.name_ = name;
  team.share_ = RequireInt(object, "share", 1, kMaxShare);
  team.limit_ = RequireInt(object, "limit", 0, kMaxLimit);
  for (const auto& key : GetArray(object, "keys")) {
    team.keys_.push_back(KeyFromJson(key));
  }
  return team;
}

auto TeamToJson(const Team& team) -> Json::Value {
  Json::Value out;
  out["share"] = Json::Int64(team.share_);
  out["limit"] = Json::Int64(team.limit_);
  out["keys"] = Json::Value(Json::arrayValue);
  for (const auto& key : team.keys_) {
    Json::Value item;
    item["name"] = key.name_;
    item["sha256"] = key.sha256_;
    out["keys"].append(item);
  }
  return out;
}

auto ServiceFromJson(const std::string& name, const Json::Value& object)
    -> Service {
  CheckName(name, "service");
  CheckMembers(object, {"shards_per_data_centre", "call"}, "service " + name);
  Service service;
  service.name_ = name;
  service.shards_per_data_centre_ =
      GetInt(object, "shards_per_data_centre", 4, 1, kMaxShards);
  service.call_need_ = Resources::FromJson(GetObject(object, "call"), 1);
  return service;
}

auto ServiceToJson(const Service& service) -> Json::Value {
  Json::Value out;
  out["shards_per_data_centre"] = Json::Int64(service.shards_per_data_centre_);
  out["call"] = service.call_need_.ToJson();
  return out;
}

auto QueueFromJson(const std::string& name, const Json::Value& object)
    -> OpenQueue {
  CheckName(name, "queue");
  CheckMembers(object, {"service", "team"}, "queue " + name);
  return {name, RequireString(object, "service"),
          RequireString(object, "team")};
}

auto QueueToJson(const OpenQueue& queue) -> Json::Value {
  Json::Value out;
  out["service"] = queue.service_;
  out["team"] = queue.team_;
  return out;
}

auto DeploymentFromJson(const std::string& name, const Json::Value& object)
    -> Deployment {
  CheckName(name, "deployment");
  CheckMembers(
      object,
      {"team", "service", "count", "need", "max_unavailable", "version"},
      "deployment " + name);
  Deployment out;
  out.name_ = name;
  out.team_ = RequireString(object, "team");
  out.service_ = RequireString(object, "service");
  out.count_ = RequireInt(object, "count", 0, kMaxCount);
  out.need_ = Resources::FromJson(GetObject(object, "need"), 1);
  out.max_unavailable_ = GetInt(object, "max_unavailable", 1, 1, kMaxCount);
  out.version_ = GetString(object, "version", "");
  return out;
}

auto DeploymentToJson(const Deployment& deployment) -> Json::Value {
  Json::Value out;
  out["team"] = deployment.team_;
  out["service"] = deployment.service_;
  out["count"] = Json::Int64(deployment.count_);
  out["need"] = deployment.need_.ToJson();
  out["max_unavailable"] = Json::Int64(deployment.max_unavailable_);
  out["version"] = deployment.version_;
  return out;
}

// Reads the members of `object` as named things; null means removal.
template <typename Thing, typename Parse>
auto ReadThings(const Json::Value& object, Parse parse,
                std::vector<Thing>& things, std::vector<std::string>& removed)
    -> void {
  for (const auto& name : object.getMemberNames()) {
    if (object[name].isNull()) {
      removed.push_back(name);
    } else {
      things.push_back(parse(name, object[name]));
    }
  }
}

template <typename Thing, typename Print>
auto WriteThings(const std::vector<Thing>& things,
                 const std::vector<std::string>& removed, Print print)
    -> Json::Value {
  Json::Value out(Json::objectValue);
  for (const auto& thing : things) {
    out[thing.name_] = print(thing);
  }
  for (const auto& name : removed) {
    out[name] = Json::Value();
  }
  return out;
}

template <typename Map, typename Print>
auto WriteMap(const Map& map, Print print) -> Json::Value {
  Json::Value out(Json::objectValue);
  for (const auto& [name, thing] : map) {
    out[name] = print(thing);
  }
  return out;
}

template <typename Map, typename Thing>
auto ApplyThings(Map& map, const std::vector<Thing>& things,
                 const std::vector<std::string>& removed) -> void {
  for (const auto& thing : things) {
    map[thing.name_] = thing;
  }
  for (const auto& name : removed) {
    map.erase(name);
  }
}

auto CheckReference(bool exists, const std::string& from, const std::string& to)
    -> void {
  if (!exists) {
    throw Error(ErrorCode::kBadRequest,
                fmt::format("{} refers to {}, which does not exist", from, to));
  }
}

auto CheckReferences(const Configuration& configuration) -> void {
  for (const auto& [name, queue] : configuration.queues_) {
    CheckReference(configuration.FindService(queue.service_) != nullptr,
                   "queue " + name, "service " + queue.service_);
    CheckReference(configuration.FindTeam(queue.team_) != nullptr,
                   "queue " + name, "team " + queue.team_);
  }
  for (const auto& [name, deployment] : configuration.deployments_) {
    CheckReference(configuration.FindService(deployment.service_) != nullptr,
                   "deployment " + name, "service " + deployment.service_);
    CheckReference(configuration.FindTeam(deployment.team_) != nullptr,
                   "deployment " + name, "team " + deployment.team_);
  }
}

auto CheckShardCounts(const Configuration& from, const Configuration& to)
    -> void {
  for (const auto& [name, service] : to.services_) {
    const auto* old = from.FindService(name);
    if (old != nullptr &&
        old->shards_per_data_centre_ != service.shards_per_data_centre_) {
      throw Error(ErrorCode::kBadRequest,
                  fmt::format("service {}: shards_per_data_centre is fixed at "
                              "{} while the service exists",
                              name, old->shards_per_data_centre_));
    }
  }
}

// A key must name one team only.
auto CheckKeysUnique(const Configuration& configuration) -> void {
  std::map<std::string, std::string, std::less<>> owners;
  for (const auto& [name, team] : configuration.teams_) {
    for (const auto& key : team.keys_) {
      const auto [it, is_new] = owners.emplace(key.sha256_, name);
      if (!is_new) {
        throw Error(ErrorCode::kBadRequest,
                    fmt::format("key {} of team {} is also a key of team {}",
                                key.name_, name, it->second));
      }
    }
  }
}

template <typename Map>
auto DiffMaps(const char* kind, const Map& from, const Map& to,
              std::vector<std::string>& lines) -> void {
  for (const auto& [name, thing] : from) {
    if (!to.contains(name)) {
      lines.push_back(fmt::format("- {} {}", kind, name));
    }
  }
  for (const auto& [name, thing] : to) {
    const auto it = from.find(name);
    if (it == from.end()) {
      lines.push_back(fmt::format("+ {} {}", kind, name));
    } else if (!(it->second == thing)) {
      lines.push_back(fmt::format("~ {} {}", kind, name));
    }
  }
}

}  // namespace

auto Ticket::FromJson(const Json::Value& object) -> Ticket {
  CheckMembers(object,
               {"number", "author", "note", "nonce", "teams", "services",
                "queues", "deployments"},
               "ticket");
  Ticket out;
  out.number_ = RequireInt(object, "number", 1, INT64_MAX);
  out.author_ = RequireString(object, "author");
  out.note_ = GetString(object, "note", "");
  out.nonce_ = GetString(object, "nonce", "");
  ReadThings(GetObject(object, "teams"), TeamFromJson, out.teams_,
             out.removed_teams_);
  ReadThings(GetObject(object, "services"), ServiceFromJson, out.services_,
             out.removed_services_);
  ReadThings(GetObject(object, "queues"), QueueFromJson, out.queues_,
             out.removed_queues_);
  ReadThings(GetObject(object, "deployments"), DeploymentFromJson,
             out.deployments_, out.removed_deployments_);
  return out;
}

auto Ticket::ToJson() const -> Json::Value {
  Json::Value out;
  out["number"] = Json::Int64(number_);
  out["author"] = author_;
  out["note"] = note_;
  out["nonce"] = nonce_;
  out["teams"] = WriteThings(teams_, removed_teams_, TeamToJson);
  out["services"] = WriteThings(services_, removed_services_, ServiceToJson);
  out["queues"] = WriteThings(queues_, removed_queues_, QueueToJson);
  out["deployments"] =
      WriteThings(deployments_, removed_deployments_, DeploymentToJson);
  return out;
}

auto Configuration::FromJson(const Json::Value& object) -> Configuration {
  Configuration out;
  out.number_ = RequireInt(object, "number", 0, INT64_MAX);
  const auto teams = GetObject(object, "teams");
  for (const auto& name : teams.getMemberNames()) {
    out.teams_[name] = TeamFromJson(name, teams[name]);
  }
  const auto services = GetObject(object, "services");
  for (const auto& name : services.getMemberNames()) {
    out.services_[name] = ServiceFromJson(name, services[name]);
  }
  const auto queues = GetObject(object, "queues");
  for (const auto& name : queues.getMemberNames()) {
    out.queues_[name] = QueueFromJson(name, queues[name]);
  }
  const auto deployments = GetObject(object, "deployments");
  for (const auto& name : deployments.getMemberNames()) {
    out.deployments_[name] = DeploymentFromJson(name, deployments[name]);
  }
  return out;
}

auto Configuration::ToJson() const -> Json::Value {
  Json::Value out;
  out["number"] = Json::Int64(number_);
  out["teams"] = WriteMap(teams_, TeamToJson);
  out["services"] = WriteMap(services_, ServiceToJson);
  out["queues"] = WriteMap(queues_, QueueToJson);
  out["deployments"] = WriteMap(deployments_, DeploymentToJson);
  return out;
}

auto Configuration::Apply(const Ticket& ticket) const -> Configuration {
  if (ticket.number_ != number_ + 1) {
    throw Error(ErrorCode::kTicketConflict,
                fmt::format("ticket {} does not follow the head, which is {}",
                            ticket.number_, number_));
  }
  auto next = *this;
  next.number_ = ticket.number_;
  ApplyThings(next.teams_, ticket.teams_, ticket.removed_teams_);
  ApplyThings(next.services_, ticket.services_, ticket.removed_services_);
  ApplyThings(next.queues_, ticket.queues_, ticket.removed_queues_);
  ApplyThings(next.deployments_, ticket.deployments_,
              ticket.removed_deployments_);
  CheckReferences(next);
  CheckShardCounts(*this, next);
  CheckKeysUnique(next);
  return next;
}

auto Configuration::FindTeamByKey(const std::string& key) const -> const Team* {
  const auto digest = Sha256Hex(key);
  const Team* found = nullptr;
  for (const auto& [name, team] : teams_) {
    for (const auto& candidate : team.keys_) {
      const auto is_equal = CRYPTO_memcmp(candidate.sha256_.data(),
                                          digest.data(), kSha256HexLength) == 0;
      found = is_equal ? &team : found;
    }
  }
  return found;
}

auto Configuration::FindTeam(const std::string& name) const -> const Team* {
  const auto it = teams_.find(name);
  return it == teams_.end() ? nullptr : &it->second;
}

auto Configuration::FindService(const std::string& name) const
    -> const Service* {
  const auto it = services_.find(name);
  return it == services_.end() ? nullptr : &it->second;
}

auto Configuration::FindQueue(const std::string& name) const
    -> const OpenQueue* {
  const auto it = queues_.find(name);
  return it == queues_.end() ? nullptr : &it->second;
}

auto Diff(const Configuration& from, const Configuration& to)
    -> std::vector<std::string> {
  std::vector<std::string> lines;
  DiffMaps("team", from.teams_, to.teams_, lines);
  DiffMaps("service", from.services_, to.services_, lines);
  DiffMaps("queue", from.queues_, to.queues_, lines);
  DiffMaps("deployment", from.deployments_, to.deployments_, lines);
  return lines;
}

auto Sha256Hex(const std::string& text) -> std::string {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(),
         digest.data());
  std::string out;
  for (const auto byte : digest) {
    out += fmt::format("{:02x}", byte);
  }
  return out;
}

}  // namespace lentilscale
