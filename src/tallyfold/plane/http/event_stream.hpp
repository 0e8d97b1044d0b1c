#pragma once
/// @file
/// Incremental parser of text/event-stream bodies. Pure; owns the event data kept so far. The
/// caller feeds all bytes in order.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace tallyfold::http {

/// Value of a field line, without the optional space after the colon; nullopt for any other field.
/// @param name the field name with its colon, for example "data:"
std::optional<std::string_view> event_field(std::string_view line, std::string_view name);

/// Counts the complete events, and keeps their data up to a bound. Input may be split at any byte.
class event_stream_reader {
  public:
    /// @param max_data_bytes bound of the data that is kept, and of an incomplete line; 0 keeps
    /// none
    explicit event_stream_reader(std::size_t max_data_bytes) : max_data_bytes_(max_data_bytes) {}

    void feed(std::string_view bytes);
    /// Data of all complete events, each followed by a line feed; incomplete after an overflow.
    [[nodiscard]] const std::string& data() const { return data_; }
    /// True once the data has exceeded a bound that isn't 0. Events are still counted.
    [[nodiscard]] bool overflowed() const { return max_data_bytes_ > 0 && overflowed_; }
    /// Bytes held for the data kept and the incomplete event.
    [[nodiscard]] std::size_t held_bytes() const {
        return data_.size() + event_data_.size() + line_.size();
    }
    [[nodiscard]] std::uint64_t events() const { return events_; }
    /// True when the input so far ends at an event boundary.
    [[nodiscard]] bool at_boundary() const { return line_.empty() && !in_event_; }

  private:
    void end_line();
    void append_to_line(std::string_view part);
    /// Adds a line of data to the current event, unless the bound is exceeded.
    void keep_data(std::string_view value);

    std::size_t max_data_bytes_;
    bool overflowed_ = false;
    /// The current line; only its beginning when it exceeds the bound.
    std::string line_;
    std::string event_data_;
    std::string data_;
    bool in_event_ = false;
    bool has_data_ = false;
    std::uint64_t events_ = 0;
};

}  // namespace tallyfold::http
