#pragma once
/// @file
/// JSON of the back ends' HTTP interface, for both of its halves: written so that no text can fail
/// to be written, read so that whatever is wrong becomes an error value.

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <tl/expected.hpp>

namespace tallyfold::scheduler {

/// Why bytes from the other side could not be understood.
struct backend_codec_error {
    std::string reason;
};
template <class Value>
using codec_result = tl::expected<Value, backend_codec_error>;

/// Text of `value`; bytes that are no UTF-8 are replaced.
inline std::string dump_json(const nlohmann::json& value) {
    return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

/// Runs `read` on the parsed body. A missing field, one of the wrong type, and an
/// std::invalid_argument of `read` are codec errors.
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
