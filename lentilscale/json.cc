// JsonCpp in strict mode does the parsing. Strict mode refuses comments and
// trailing text; duplicate keys are refused too, because two readers of one
// document could otherwise act on different values.
//
// A writer and its stream are made once a thread: to make them takes longer
// than to write a short text.

#include "lentilscale/json.h"

#include <fmt/format.h>

#include <memory>
#include <sstream>

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

// JsonCpp's writer with the stream that it writes to.
struct Writer {
  Writer() {
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    builder["emitUTF8"] = true;
    writer_.reset(builder.newStreamWriter());
  }

  std::unique_ptr<Json::StreamWriter> writer_;
  std::ostringstream stream_;
};

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
  thread_local Writer writer;
  writer.stream_.str("");
  writer.writer_->write(value, &writer.stream_);
  return writer.stream_.str();
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
