#pragma once
/// @file
/// Incremental parser of one HTTP/1.1 message after another, on http_parser. Pure: bytes in,
/// head and body out.
///
/// Owns the head and the body bytes of the current message. Relies on http_parser for the syntax.

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <tl/expected.hpp>

#include "tallyfold/plane/http/message.hpp"

struct http_parser_settings;

namespace tallyfold::http {

enum class parse_failure : std::uint8_t {
    /// Not HTTP/1.1, or a wish to leave HTTP (upgrade).
    malformed,
    head_too_large,
};

enum class message_kind : std::uint8_t { request, response };

class message_parser {
  public:
    /// @param max_head_bytes bytes of request line and headers together that are accepted
    message_parser(message_kind kind, std::size_t max_head_bytes);
    ~message_parser();
    message_parser(const message_parser&) = delete;
    message_parser& operator=(const message_parser&) = delete;

    /// Consumes bytes up to the end of the current message at most.
    /// @return bytes consumed; fewer than given only when the message is complete
    tl::expected<std::size_t, parse_failure> feed(std::string_view bytes);
    /// The sender closed its side. @return false when the message is cut short by it
    [[nodiscard]] bool finish();

    [[nodiscard]] bool head_complete() const;
    [[nodiscard]] bool complete() const;
    /// True once a byte of the current message was seen.
    [[nodiscard]] bool started() const;
    [[nodiscard]] const message_head& head() const;
    /// Takes the body bytes that have gathered, without their framing.
    std::string take_body();
    /// Makes ready for the next message on the connection.
    void next_message();

  private:
    struct state;
    static const http_parser_settings& callbacks();
    /// @param consumed bytes of the head that were parsed just now
    bool head_fits(std::size_t consumed);

    std::unique_ptr<state> state_;
};

}  // namespace tallyfold::http
