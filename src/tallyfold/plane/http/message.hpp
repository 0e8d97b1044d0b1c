#pragma once
/// @file
/// Head of an HTTP/1.1 message and its list of header fields. Pure values.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tallyfold::http {

struct header_field {
    std::string name;
    std::string value;
};

/// Compares two header names, ignoring case.
bool same_name(std::string_view left, std::string_view right);

/// The text without blanks and tabs at its ends.
std::string_view trimmed(std::string_view text);

/// Header fields in wire order, including duplicates.
class header_list {
  public:
    void add(std::string name, std::string value);
    /// Value of the first field of that name; nullptr when there is none.
    [[nodiscard]] const std::string* find(std::string_view name) const;
    /// True when a field of that name has `token` in its comma-separated list, ignoring case.
    [[nodiscard]] bool has_token(std::string_view name, std::string_view token) const;
    [[nodiscard]] const std::vector<header_field>& fields() const { return fields_; }
    /// Copy without the hop-by-hop fields (RFC 9110, 7.6.1).
    [[nodiscard]] header_list end_to_end() const;

  private:
    std::vector<header_field> fields_;
};

/// How the end of a body is determined.
enum class body_framing : std::uint8_t { none, length, chunked, until_close };

/// Name of the framing in log lines.
std::string_view name_of(body_framing framing);

struct message_head {
    std::string method;
    /// Path and query string, as received.
    std::string target;
    unsigned status = 0;
    header_list headers;
    body_framing framing = body_framing::none;
    /// Set only with body_framing::length.
    std::uint64_t content_length = 0;
    /// False when the sender closes the connection after this message.
    bool keep_alive = true;

    [[nodiscard]] std::string_view path() const;
};

/// Standard reason phrase of a status.
std::string_view reason_phrase(unsigned status);

}  // namespace tallyfold::http
