#pragma once
/// @file
/// Filter that forwards a text/event-stream in whole events, so that a further response can resume
/// it: incomplete events are held back and repeated ones dropped. Pure; owns the incomplete event.
///
/// Detects repeated and missing events by their identifiers, where these are numbers.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tallyfold::http {

class event_boundary_filter {
  public:
    /// Bound of an incomplete event, which is held back. A longer event counts as missing.
    static constexpr std::size_t max_partial_bytes = 4U << 20U;

    /// Adds input, which may be split at any byte. @return the events that are complete now and
    /// haven't been returned before
    std::string feed(std::string_view bytes);
    /// Bytes of the incomplete event at the end of the input.
    [[nodiscard]] const std::string& partial() const { return partial_; }
    /// Drops the incomplete event, before the first bytes of a further response.
    void begin_response() { drop_partial(); }
    /// Memory of the incomplete event, in bytes.
    [[nodiscard]] std::size_t held_bytes() const { return partial_.capacity(); }
    /// Identifier of the last event returned; empty when none had an identifier.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    [[nodiscard]] std::uint64_t events_with_id() const { return events_with_id_; }
    /// False once an event is missing; no further events are returned then.
    [[nodiscard]] bool in_order() const { return in_order_; }

  private:
    /// Position in `partial_` after the next blank line that ends an event; npos when there is none
    /// yet. Searches only what no earlier call has searched.
    std::size_t find_event_end();
    /// True when the event is to be returned; updates the identifiers.
    bool accept_event(std::string_view event);
    /// Removes complete events of this size from the beginning of `partial_`.
    void remove_events(std::size_t size);
    void drop_partial();

    std::string partial_;
    /// Position in `partial_` of its last line, which is incomplete.
    std::size_t line_begin_ = 0;
    /// Number of bytes of `partial_` that were searched for the end of that line.
    std::size_t searched_ = 0;
    std::string last_id_;
    std::uint64_t events_with_id_ = 0;
    /// False once numeric identifiers have differed by more than one.
    bool ids_consecutive_ = true;
    bool in_order_ = true;
};

}  // namespace tallyfold::http
