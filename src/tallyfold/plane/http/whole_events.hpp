#pragma once
/// @file
/// Passes a text/event-stream on event by event, so that it can be continued by a further answer:
/// what breaks off inside an event is held back, and an event isn't passed twice. Pure.
///
/// Owns the bytes of the event that isn't whole. Relies on events' identifiers, where they are
/// numbers, to tell a repeated or a missing one.

#include <cstdint>
#include <string>
#include <string_view>

namespace tallyfold::http {

class whole_events {
  public:
    /// Takes bytes as they come, split anywhere. @return those of the events that are whole now and
    /// haven't been passed before
    std::string feed(std::string_view bytes);
    /// What has come of an event that isn't whole.
    [[nodiscard]] const std::string& partial() const { return partial_; }
    /// The stream broke off: a further answer begins.
    void begin_anew() { partial_.clear(); }
    /// Identifier of the last event that was passed; empty while none had one.
    [[nodiscard]] const std::string& last_id() const { return last_id_; }
    [[nodiscard]] std::uint64_t passed() const { return passed_; }
    /// False once an event has come that doesn't follow the last one: a piece is missing.
    [[nodiscard]] bool in_order() const { return in_order_; }

  private:
    /// True when the event is to be passed.
    bool accept_event(std::string_view event);

    std::string partial_;
    std::string last_id_;
    std::uint64_t passed_ = 0;
    /// The identifiers so far are numbers, each one more than the one before.
    bool ids_consecutive_ = true;
    bool in_order_ = true;
};

}  // namespace tallyfold::http
