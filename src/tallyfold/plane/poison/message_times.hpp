#pragma once
/// @file
/// Converts crashes between a node's own times and the ages in messages. Pure.

#include "tallyfold/plane/poison/crash_history.hpp"
#include "tallyfold/plane/poison/messages.hpp"

namespace tallyfold::poison {

[[nodiscard]] aged_crash to_aged(const crash& known, instant now);
/// The delay of the message makes the times later by as much.
[[nodiscard]] crash from_aged(const aged_crash& received, instant now);
[[nodiscard]] content_crashes to_message(content_key content, const crash_history& crashes,
                                         instant now);

}  // namespace tallyfold::poison
