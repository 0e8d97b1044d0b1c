#pragma once
/// @file
/// Reads the events out of a text/event-stream body as it passes. Pure.
///
/// Owns the data gathered so far. Relies on the caller to feed all bytes in order.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tallyfold::http {

/// Value of a line of one field, without the space that may follow the colon; nothing when the line
/// is of another field. @param name with its colon, for example "data:"
std::optional<std::string_view> event_field(std::string_view line, std::string_view name);

/// Gathers the data of each whole event, followed by a line feed. Bytes may be split anywhere.
class event_stream_reader {
  public:
    /// Takes bytes as they come.
    void feed(std::string_view bytes);
    /// Data of the whole events so far, each followed by a line feed.
    [[nodiscard]] const std::string& data() const { return data_; }
    [[nodiscard]] std::uint64_t events() const { return events_; }
    /// True when the bytes so far end between two events.
    [[nodiscard]] bool at_boundary() const { return line_.empty() && !in_event_; }

  private:
    void end_line();

    std::string line_;
    std::string event_data_;
    std::string data_;
    bool in_event_ = false;
    bool has_data_ = false;
    std::uint64_t events_ = 0;
};

}  // namespace tallyfold::http
