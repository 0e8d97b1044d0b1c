#pragma once
/// @file
/// JSON helpers shared by both sides of the back ends' HTTP interface. Serialization accepts any
/// bytes; parse errors are returned as values.

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <tl/expected.hpp>

namespace tallyfold::scheduler {

/// Reason why a received body could not be decoded.
struct backend_codec_error {
    std::string reason;
};
template <class Value>
using codec_result = tl::expected<Value, backend_codec_error>;

/// Serializes `value`; invalid UTF-8 is replaced.
inline std::string dump_json(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Runs `read` on the parsed body. Invalid JSON, a missing field, a field of the wrong type and a
/// std::invalid_argument thrown by `read` become codec errors.
template <class Read>
auto read_json(const std::string& body, Read read)
    -> codec_result<decltype(read(nlohmann::json{}))> {
    try {
        return read(nlohmann::json::parse(body));
    } catch (const nlohmann::json::exception& failure) {
        return tl::unexpected(backend_codec_error{failure.what()});
    } catch (const std::invalid_argument& failure) {
        return tl::unexpected(backend_codec_error{failure.what()});
    }
}

}  // namespace tallyfold::scheduler
