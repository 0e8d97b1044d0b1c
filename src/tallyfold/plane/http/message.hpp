#pragma once
/// @file
/// The head of an HTTP/1.1 message, as it stood on the wire. Pure; relies on nothing.

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

/// True when two header names are the same; their case does not matter.
bool same_name(std::string_view left, std::string_view right);

/// Header fields in the order of the wire, duplicates kept.
class header_list {
  public:
    void add(std::string name, std::string value);
    /// Value of the first field of that name; null when there is none.
    [[nodiscard]] const std::string* find(std::string_view name) const;
    /// True when a comma-separated field of that name holds `token`.
    [[nodiscard]] bool has_token(std::string_view name, std::string_view token) const;
    [[nodiscard]] const std::vector<header_field>& fields() const { return fields_; }
    /// The list without the fields that concern one connection only (RFC 9110, 7.6.1).
    [[nodiscard]] header_list end_to_end() const;

  private:
    std::vector<header_field> fields_;
};

/// How the end of a body shows.
enum class body_framing : std::uint8_t { none, length, chunked, until_close };

struct message_head {
    std::string method;
    /// Path and query, as sent.
    std::string target;
    unsigned status = 0;
    header_list headers;
    body_framing framing = body_framing::none;
    /// Only with body_framing::length.
    std::uint64_t content_length = 0;
    /// False when the sender closes the connection after this message.
    bool keep_alive = true;

    [[nodiscard]] std::string_view path() const;
};

/// The standard text of a status.
std::string_view reason_of(unsigned status);

}  // namespace tallyfold::http
