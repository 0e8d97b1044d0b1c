#pragma once
/// @file
/// Renders the bytes written to callers: the forwarder's own answers, and heads and chunks of
/// relayed answers. Does no I/O. The format is part of the interface to callers.

#include <cstdint>
#include <string>

#include "tallyfold/plane/decisions/retry_after.hpp"
#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::forwarding {

/// Renders a complete answer of the forwarder with the reason as JSON body.
/// @param retry value of Retry-After, in seconds with decimals; omitted for never()
/// @param keep_alive false adds Connection: close
std::string render_local_answer(unsigned status, const std::string& reason, retry_after retry,
                                bool keep_alive);

/// Framing of the body of a relayed answer.
struct relayed_framing {
    /// False when the head has a Content-Length.
    bool chunked = false;
    /// Content-Length in bytes; unused when chunked.
    std::uint64_t length = 0;
    /// True for an answer that has no body by definition, and so no framing fields.
    bool bodiless = false;
};

/// Renders the head of a relayed answer. Status and header fields are unchanged, except hop-by-hop
/// fields and those that frame the body.
std::string render_relayed_head(const http::message_head& head, const relayed_framing& framing,
                                bool keep_alive);

/// Renders one chunk of a chunked body.
/// @param bytes must not be empty: an empty chunk would end the body
std::string render_chunk(const std::string& bytes);
/// Last chunk, which ends a chunked body.
constexpr const char* last_chunk = "0\r\n\r\n";

}  // namespace tallyfold::forwarding
