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
    bool has_data_ = false;
    std::uint64_t events_ = 0;
};

/// Position of the last byte of a stream in its sequence of events.
enum class event_position : std::uint8_t {
    /// No event has begun; there may have been comments and blank lines.
    before_first_event,
    /// The last event is complete.
    after_event,
    /// In a field, in a line without its line feed, or before the blank line that ends an event.
    inside_event,
};

/// Name of the position in log lines.
[[nodiscard]] std::string_view name_of(event_position position);

/// Follows the position in a stream without keeping its bytes. Input may be split at any byte.
class event_position_tracker {
  public:
    void feed(std::string_view bytes);
    [[nodiscard]] event_position position() const;

  private:
    /// What is known of the current line.
    enum class line_state : std::uint8_t { empty, carriage_return, comment, field };

    /// @param part bytes of the current line, without its line feed; not empty
    void extend_line(std::string_view part);
    void end_line();

    /// Bytes of a byte order mark at the beginning of the stream that were skipped.
    std::size_t skipped_mark_bytes_ = 0;
    bool at_stream_begin_ = true;
    line_state line_ = line_state::empty;
    bool in_event_ = false;
    bool has_event_ = false;
};

}  // namespace tallyfold::http
