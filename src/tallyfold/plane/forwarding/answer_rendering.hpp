#pragma once
/// @file
/// Bytes that a forwarder writes to callers: answers of its own, and heads and chunks of the back
/// ends' answers that it relays. Pure. Callers' programs read them, so their form stays.

#include <cstdint>
#include <string>

#include "tallyfold/plane/decisions/retry_after.hpp"
#include "tallyfold/plane/http/message.hpp"

namespace tallyfold::forwarding {

/// Bytes of a whole answer of the forwarder's own, with the reason as JSON.
/// @param again its Retry-After, in seconds to the millisecond; left out for never()
/// @param keep_alive false adds Connection: close
std::string render_own_answer(unsigned status, const std::string& reason, retry_after again,
                              bool keep_alive);

/// How the body of a relayed answer is framed.
struct relayed_framing {
    /// False: the head tells its length.
    bool chunked = false;
    /// Bytes; only where it isn't chunked.
    std::uint64_t length = 0;
    /// A head without any body.
    bool bodiless = false;
};

/// Head of a back end's answer as the caller gets it: status and header fields unchanged, but for
/// those that frame the body or concern one connection only.
std::string render_relayed_head(const http::message_head& head, const relayed_framing& framing,
                                bool keep_alive);

/// One chunk of a chunked body.
/// @param bytes not empty: an empty chunk would end the body
std::string render_chunk(const std::string& bytes);
/// Ends a chunked body.
constexpr const char* last_chunk = "0\r\n\r\n";

}  // namespace tallyfold::forwarding
