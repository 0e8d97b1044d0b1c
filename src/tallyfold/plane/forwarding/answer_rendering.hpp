#pragma once
/// @file
/// Bytes that a forwarder writes to callers: answers of its own, and heads and chunks of those that
/// it relays. Pure.

#include <cstdint>
#include <string>

#include "tallyfold/plane/decisions/retry_after.hpp"
#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::forwarding {

/// Bytes of a whole answer of the forwarder's own.
std::string render_own_answer(unsigned status, const std::string& reason, retry_after again,
                              bool keep_alive);

/// How the body of a relayed answer is framed.
struct relayed_framing {
    /// False: its length is told.
    bool chunked = false;
    std::uint64_t length = 0;
    /// A head without any body.
    bool bodiless = false;
};

/// Head of a back end's answer as the caller gets it: status and header fields unchanged, but for
/// those that frame the body or concern one connection only.
std::string render_relayed_head(const http::message_head& head, const relayed_framing& framing,
                                bool keep_alive);

/// One chunk of a chunked body.
std::string render_chunk(const std::string& bytes);
constexpr const char* last_chunk = "0\r\n\r\n";

}  // namespace tallyfold::forwarding
