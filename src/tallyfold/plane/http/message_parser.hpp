#pragma once
/// @file
/// Incremental parser of a sequence of HTTP/1.1 messages, based on http_parser and
/// net::http_syntax. Does no I/O. Every reader of messages in the forwarding plane uses it, so that
/// what it accepts is what counts as a message: see docs/INVARIANTS.md.
///
/// Owns the head and the unread body bytes of the current message.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/base/net/http_syntax.hpp"
#include "tallyfold/plane/http/message.hpp"

struct http_parser_settings;

namespace tallyfold::http {

using net::message_kind;
using net::syntax_defect;

enum class parse_failure : std::uint8_t {
    /// Not HTTP/1.1, or a protocol upgrade.
    malformed,
    head_too_large,
};

class message_parser {
  public:
    /// @param max_head_bytes limit of the first line and the header fields together
    message_parser(message_kind kind, std::size_t max_head_bytes);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Parses bytes up to the end of the current message.
    /// @return number of bytes consumed; less than given only when the message is complete
    tl::expected<std::size_t, parse_failure> feed(std::string_view bytes);
    /// What made the current message malformed.
    [[nodiscard]] syntax_defect defect() const;
    /// Handles the end of the input. @return false when the message is truncated
    [[nodiscard]] bool finish();

    [[nodiscard]] bool head_complete() const;
    [[nodiscard]] bool complete() const;
    /// True once a byte of the current message has been parsed.
    [[nodiscard]] bool started() const;
    [[nodiscard]] const message_head& head() const;
    /// Moves the head out, except for what the framing of the body needs.
    [[nodiscard]] message_head take_head();
    /// Memory that the head takes, in bytes, which is a multiple of its size when its fields are
    /// short.
    [[nodiscard]] std::size_t head_memory() const;
    /// Returns and clears the body bytes decoded since the last call.
    std::string take_body();
    /// Resets the parser for the next message.
    void next_message();

  private:
    struct state;
    static const http_parser_settings& callbacks();
    /// Adds to the size of the head and checks its limit.
    /// @param consumed number of bytes that the last call has parsed
    bool head_fits(std::size_t consumed);

    std::unique_ptr<state> state_;
};

}  // namespace tallyfold::http
