#pragma once
/// @file
/// A directory node's part in what nodes know of crashes: merges the reports of all forwarders,
/// answers each with what is known of its content, and decides what all forwarders are told.
/// Remembers which contents were released, so that a popular one isn't held after the next crashes
/// either. In memory: after a restart the other directory nodes still know, and forwarders hold
/// what they were told. Pure; crash_sharing sends the messages.

#include <optional>

#include "tallyfold/plane/poison/answered_contents.hpp"
#include "tallyfold/plane/poison/crash_table.hpp"
#include "tallyfold/plane/poison/messages.hpp"

namespace tallyfold::directory {

class crash_relay {
  public:
    /// Number of contents below poison::max_crashes that are told at once, and that each second
    /// adds. Bounds the messages while many back ends end; nodes that aren't told learn of the
    /// crashes from the answers to their own reports.
    static constexpr double told_burst = 20;
    static constexpr double told_per_second = 1;
    /// Maximum number of contents in one message, some hundred bytes each.
    static constexpr std::size_t max_told_at_once = 256;

    struct decision {
        poison::crash_status answer;
        /// What all forwarders are to be told; nothing when this report changes nothing for them.
        std::optional<poison::crash_status> told;
    };

    decision receive(const poison::crash_report& report, instant now);
    /// What a forwarder that has just connected is told; nothing when no content needs it.
    [[nodiscard]] std::optional<poison::crash_status> all_told(instant now) const;
    void expire(instant now) { crashes_.expire(now); }
    [[nodiscard]] const poison::crash_table& crashes() const { return crashes_; }

  private:
    /// Forgets a content that some back end has answered.
    decision release(poison::content_key content, instant now);
    [[nodiscard]] poison::crash_status status_of(poison::content_key content, instant now) const;
    /// True when a content with so many consecutive crashes may be told now.
    bool may_tell(std::size_t consecutive, instant now);

    poison::crash_table crashes_;
    poison::answered_contents released_;
    /// Contents that may still be told, as of `refilled_at_`.
    double allowance_ = told_burst;
    instant refilled_at_{};
};

}  // namespace tallyfold::directory
