// The text of JSON values.

#define BOOST_TEST_MODULE json
#include "lentilscale/json.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <string>

namespace lentilscale {
namespace {

// Returns the text that JsonCpp's own writer gives the value.
auto ReferenceText(const Json::Value& value) -> std::string {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  builder["emitUTF8"] = true;
  return Json::writeString(builder, value);
}

// Guards against texts that differ from those of JsonCpp's writer, by which
// records were stored.
BOOST_AUTO_TEST_CASE(texts_are_those_of_the_librarys_writer) {
  std::string all_bytes;
  for (auto c = 0; c < 256; ++c) {
    all_bytes += static_cast<char>(c);
  }
  Json::Value object(Json::objectValue);
  object["b"] = 1;
  object["a"] = "x";
  object["ab"] = Json::Value(Json::objectValue);
  object["\n\"\\"] = Json::Value(Json::arrayValue);
  object["empty"] = "";
  object["null"] = Json::Value();
  Json::Value array(Json::arrayValue);
  array.append(object);
  array.append(true);
  array.append(false);
  array[5] = object;
  for (const auto& value : {
           Json::Value(),
           Json::Value(0),
           Json::Value(Json::Int64{std::numeric_limits<std::int64_t>::min()}),
           Json::Value(Json::Int64{std::numeric_limits<std::int64_t>::max()}),
           Json::Value(Json::UInt64{std::numeric_limits<std::uint64_t>::max()}),
           Json::Value(0.0),
           Json::Value(-1.5),
           Json::Value(0.1),
           Json::Value(1e300),
           Json::Value(3.0),
           Json::Value(1e17),
           Json::Value(std::numeric_limits<double>::infinity()),
           Json::Value(std::numeric_limits<double>::quiet_NaN()),
           Json::Value(all_bytes),
           Json::Value("caf\xc3\xa9 \xe2\x82\xac \xf0\x9f\x8c\xb1 /"),
           object,
           array,
       }) {
    BOOST_TEST(DumpJson(value) == ReferenceText(value));
  }
}

}  // namespace
}  // namespace lentilscale
