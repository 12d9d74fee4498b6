// Checked access to JSON documents.
//
// The wire formats of lentilscale are JSON. This header parses text and reads
// typed members, and turns every mismatch into Error(kBadRequest) that names
// the member:
//
//   auto body = ParseJson(text);
//   auto id = RequireString(body, "request_id");
//   auto deadline = GetInt(body, "deadline_ms", 1000, 1, 600000);

#ifndef LENTILSCALE_JSON_H_
#define LENTILSCALE_JSON_H_

#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace lentilscale {

// Parses `text` as one JSON object. Throws Error(kBadRequest) on malformed
// text, duplicate members, nesting deeper than 64 levels or another type.
auto ParseJson(std::string_view text) -> Json::Value;

// Serializes `value` on one line, without insignificant white space.
auto DumpJson(const Json::Value& value) -> std::string;

// Returns the string member `name`; throws Error(kBadRequest) if it is absent,
// empty or of another type.
auto RequireString(const Json::Value& object, const char* name) -> std::string;

// Returns the string member `name`, or `fallback` if it is absent.
auto GetString(const Json::Value& object, const char* name,
               const std::string& fallback) -> std::string;

// Returns the integer member `name`, or `fallback` if it is absent. Throws
// Error(kBadRequest) if it is not an integer within [min, max].
auto GetInt(const Json::Value& object, const char* name, std::int64_t fallback,
            std::int64_t min, std::int64_t max) -> std::int64_t;

// Returns the integer member `name`; throws Error(kBadRequest) if it is absent
// or outside [min, max].
auto RequireInt(const Json::Value& object, const char* name, std::int64_t min,
                std::int64_t max) -> std::int64_t;

// Returns the boolean member `name`, or `fallback` if it is absent.
auto GetBool(const Json::Value& object, const char* name, bool fallback)
    -> bool;

// Returns the array member `name`, or an empty array if it is absent.
auto GetArray(const Json::Value& object, const char* name) -> Json::Value;

// Returns the object member `name`, or an empty object if it is absent.
auto GetObject(const Json::Value& object, const char* name) -> Json::Value;

}  // namespace lentilscale

#endif  // LENTILSCALE_JSON_H_
