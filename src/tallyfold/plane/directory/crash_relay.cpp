#include "tallyfold/plane/directory/crash_relay.hpp"

#include <algorithm>

#include "tallyfold/plane/poison/message_times.hpp"

namespace tallyfold::directory {

using poison::crash_status;

crash_status crash_relay::status_of(poison::content_key content, instant now) const {
    crash_status status;
    if (const poison::crash_history* known = crashes_.find(content, now)) {
        status.contents.push_back(poison::to_message(content, *known, now));
    }
    return status;
}

bool crash_relay::may_tell(std::size_t consecutive, instant now) {
    if (consecutive < poison::told_crashes) {
        return false;
    }
    if (consecutive >= poison::max_crashes) {
        return true;
    }
    const double elapsed = std::chrono::duration<double>(now - refilled_at_).count();
    allowance_ = std::min(told_burst, allowance_ + elapsed * told_per_second);
    refilled_at_ = now;
    if (allowance_ < 1) {
        return false;
    }
    allowance_ -= 1;
    return true;
}

crash_relay::decision crash_relay::release(poison::content_key content, instant now) {
    decision made;
    const bool was_told = crashes_.consecutive(content, now) >= poison::told_crashes;
    crashes_.release(content);
    released_.record(content, now);
    if (was_told) {
        made.told.emplace();
        made.told->contents.push_back({content, {}});
    }
    return made;
}

crash_relay::decision crash_relay::receive(const poison::crash_report& report, instant now) {
    const poison::content_key content = report.reported.content;
    if (report.reported.crashes.empty()) {
        return release(content, now);
    }
    decision made;
    if (released_.contains(content, now)) {
        made.answer.report = report.report;
        made.answer.contents.push_back({content, {}});
        return made;
    }
    const std::size_t before = crashes_.consecutive(content, now);
    for (const poison::aged_crash& each : report.reported.crashes) {
        crashes_.record(content, poison::from_aged(each, now), now);
    }
    made.answer = status_of(content, now);
    made.answer.report = report.report;
    const std::size_t consecutive = crashes_.consecutive(content, now);
    if (consecutive > before && may_tell(consecutive, now)) {
        made.told = status_of(content, now);
    }
    return made;
}

std::optional<crash_status> crash_relay::all_told(instant now) const {
    crash_status status;
    const auto add = [&](poison::content_key content, const poison::crash_history& known) {
        const bool expired = now - known.last() > poison::crash_table::lifetime;
        if (!expired && status.contents.size() < max_told_at_once) {
            status.contents.push_back(poison::to_message(content, known, now));
        }
    };
    // Those that must not be sent again come first, in case not all fit.
    crashes_.for_each(poison::max_crashes, add);
    crashes_.for_each(poison::told_crashes,
                      [&](poison::content_key content, const poison::crash_history& known) {
                          if (known.consecutive() < poison::max_crashes) {
                              add(content, known);
                          }
                      });
    return status.contents.empty() ? std::nullopt : std::optional(std::move(status));
}

}  // namespace tallyfold::directory
