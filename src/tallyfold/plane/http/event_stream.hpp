#pragma once
/// @file
/// Incremental parser of text/event-stream bodies. Pure; owns the event data read so far. The
/// caller feeds all bytes in order.

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tallyfold::http {

/// Value of a field line, without the optional space after the colon; nullopt for any other field.
/// @param name the field name with its colon, for example "data:"
std::optional<std::string_view> event_field(std::string_view line, std::string_view name);

/// Collects the data of all complete events. Input may be split at any byte.
class event_stream_reader {
  public:
    void feed(std::string_view bytes);
    /// Data of all complete events, each followed by a line feed.
    [[nodiscard]] const std::string& data() const { return data_; }
    [[nodiscard]] std::uint64_t events() const { return events_; }
    /// True when the input so far ends at an event boundary.
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
