// Text of JSON-RPC 2.0 requests and answers, by libjsonrpccpp.
//
// The library's client is synchronous. This codec drives it in two halves so
// that no thread blocks: EncodeRpcRequest captures the request that the client
// would send, and DecodeRpcResult replays the answer into the same client.
// Values cross this header as JSON text because its source is compiled as
// C++14 (see the .cc file).

#ifndef LENTILSCALE_RPC_CLIENT_CODEC_H_
#define LENTILSCALE_RPC_CLIENT_CODEC_H_

#include <string>

namespace Json {
class Value;
}

namespace lentilscale {

// Returns the JSON-RPC 2.0 request that calls `method` with `params`.
auto EncodeRpcRequest(const std::string& method, const Json::Value& params)
    -> std::string;

// Reads the answer `text` to such a request into `result`. Returns an empty
// string, or the description of what is wrong.
auto DecodeRpcResult(const std::string& method, const std::string& text,
                     Json::Value& result) -> std::string;

}  // namespace lentilscale

#endif  // LENTILSCALE_RPC_CLIENT_CODEC_H_
