// JsonCpp in strict mode does the parsing. Strict mode refuses comments and
// trailing text; duplicate keys are refused too, because two readers of one
// document could otherwise act on different values.
//
// JsonCpp's writer makes a stream for each text and a string for each part of
// it, which costs more than all else in a short call. The text is therefore
// appended to one string here, in the form that JsonCpp's writer gives it.

#include "lentilscale/json.h"

#include <fmt/format.h>

#include <iterator>
#include <memory>

#include "lentilscale/error.h"

namespace lentilscale {
namespace {

constexpr auto kMaxDepth = 64;

[[noreturn]] auto ThrowBadMember(const char* name, const std::string& problem)
    -> void {
  throw Error(ErrorCode::kBadRequest, fmt::format("'{}' {}", name, problem));
}

// Returns the member `name`, or null if it or the object is absent. JsonCpp
// throws an exception of its own for a value of another type.
auto FindMember(const Json::Value& object, const char* name)
    -> const Json::Value& {
  if (!object.isObject() && !object.isNull()) {
    ThrowBadMember(name, "must be a member of an object");
  }
  return object[name];
}

auto MakeReader() -> std::unique_ptr<Json::CharReader> {
  Json::CharReaderBuilder builder;
  Json::CharReaderBuilder::strictMode(&builder.settings_);
  builder["rejectDupKeys"] = true;
  builder["stackLimit"] = kMaxDepth;
  return std::unique_ptr<Json::CharReader>(builder.newCharReader());
}

// Appends `text` in quotes. All but control characters, quotes and backslashes
// is left as it is, so that UTF-8 stays UTF-8.
auto AppendQuoted(std::string_view text, std::string& out) -> void {
  out += '"';
  for (const auto c : text) {
    switch (c) {
      case '"':
      case '\\':
        out += '\\';
        out += c;
        break;
      case '\b':
        out += "\\b";
        break;
      case '\f':
        out += "\\f";
        break;
      case '\n':
        out += "\\n";
        break;
      case '\r':
        out += "\\r";
        break;
      case '\t':
        out += "\\t";
        break;
      default:
        if (static_cast<unsigned char>(c) < ' ') {
          fmt::format_to(std::back_inserter(out), "\\u{:04x}",
                         static_cast<unsigned>(c));
        } else {
          out += c;
        }
    }
  }
  out += '"';
}

auto AppendJson(const Json::Value& value, std::string& out) -> void {
  switch (value.type()) {
    case Json::nullValue:
      out += "null";
      break;
    case Json::intValue:
      out += fmt::format_int(value.asLargestInt()).c_str();
      break;
    case Json::uintValue:
      out += fmt::format_int(value.asLargestUInt()).c_str();
      break;
    case Json::realValue:
      out += Json::valueToString(value.asDouble());
      break;
    case Json::booleanValue:
      out += value.asBool() ? "true" : "false";
      break;
    case Json::stringValue: {
      const char* begin = nullptr;
      const char* end = nullptr;
      if (value.getString(&begin, &end)) {
        AppendQuoted({begin, end}, out);
      }
      break;
    }
    case Json::arrayValue: {
      out += '[';
      auto separator = std::string_view();
      // By index, as an element that was never set is null.
      for (Json::ArrayIndex i = 0; i < value.size(); ++i) {
        out += separator;
        separator = ",";
        AppendJson(value[i], out);
      }
      out += ']';
      break;
    }
    case Json::objectValue: {
      out += '{';
      auto separator = std::string_view();
      for (auto it = value.begin(); it != value.end(); ++it) {
        const char* end = nullptr;
        const auto* name = it.memberName(&end);
        out += separator;
        separator = ",";
        AppendQuoted({name, end}, out);
        out += ':';
        AppendJson(*it, out);
      }
      out += '}';
      break;
    }
  }
}

}  // namespace

auto ParseJson(std::string_view text) -> Json::Value {
  static const auto kReader = MakeReader();
  Json::Value root;
  std::string errors;
  auto ok = false;
  try {
    ok = kReader->parse(text.data(), text.data() + text.size(), &root, &errors);
  } catch (const Json::Exception& e) {
    errors = e.what();
  }
  if (!ok) {
    throw Error(ErrorCode::kBadRequest, "malformed JSON: " + errors);
  }
  if (!root.isObject()) {
    throw Error(ErrorCode::kBadRequest, "a JSON object is expected");
  }
  return root;
}

auto DumpJson(const Json::Value& value) -> std::string {
  std::string text;
  AppendJson(value, text);
  return text;
}

auto RequireString(const Json::Value& object, const char* name) -> std::string {
  const auto& value = FindMember(object, name);
  if (!value.isString() || value.asString().empty()) {
    ThrowBadMember(name, "must be a non-empty string");
  }
  return value.asString();
}

auto GetString(const Json::Value& object, const char* name,
               const std::string& fallback) -> std::string {
  const auto& value = FindMember(object, name);
  if (value.isNull()) {
    return fallback;
  }
  if (!value.isString()) {
    ThrowBadMember(name, "must be a string");
  }
  return value.asString();
}

auto GetInt(const Json::Value& object, const char* name, std::int64_t fallback,
            std::int64_t min, std::int64_t max) -> std::int64_t {
  return FindMember(object, name).isNull() ? fallback
                                           : RequireInt(object, name, min, max);
}

auto RequireInt(const Json::Value& object, const char* name, std::int64_t min,
                std::int64_t max) -> std::int64_t {
  const auto& value = FindMember(object, name);
  if (!value.isInt64()) {
    ThrowBadMember(name, "must be an integer");
  }
  const auto number = value.asInt64();
  if (number < min || number > max) {
    ThrowBadMember(name, fmt::format("must be from {} to {}", min, max));
  }
  return number;
}

auto GetBool(const Json::Value& object, const char* name, bool fallback)
    -> bool {
  const auto& value = FindMember(object, name);
  if (value.isNull()) {
    return fallback;
  }
  if (!value.isBool()) {
    ThrowBadMember(name, "must be true or false");
  }
  return value.asBool();
}

auto GetArray(const Json::Value& object, const char* name) -> Json::Value {
  const auto& value = FindMember(object, name);
  if (value.isNull()) {
    return Json::Value(Json::arrayValue);
  }
  if (!value.isArray()) {
    ThrowBadMember(name, "must be an array");
  }
  return value;
}

auto GetObject(const Json::Value& object, const char* name) -> Json::Value {
  const auto& value = FindMember(object, name);
  if (value.isNull()) {
    return Json::Value(Json::objectValue);
  }
  if (!value.isObject()) {
    ThrowBadMember(name, "must be an object");
  }
  return value;
}

}  // namespace lentilscale
