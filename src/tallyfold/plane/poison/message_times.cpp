#include "tallyfold/plane/poison/message_times.hpp"

#include <algorithm>

namespace tallyfold::poison {

namespace {

/// Bound of received ages, far above any lifetime of a crash; keeps times within their range.
constexpr duration max_age = std::chrono::hours(1);

std::uint64_t age_of(instant at, instant now) {
    return static_cast<std::uint64_t>(std::max(duration::zero(), now - at).count());
}

instant time_of(std::uint64_t age, instant now) {
    const auto bounded = std::min(age, static_cast<std::uint64_t>(max_age.count()));
    return now - duration(static_cast<duration::rep>(bounded));
}

}  // namespace

aged_crash to_aged(const crash& known, instant now) {
    return {known.backend, age_of(known.sent, now), age_of(known.ended, now)};
}

crash from_aged(const aged_crash& received, instant now) {
    return {received.backend, time_of(received.sent_us_ago, now),
            time_of(received.ended_us_ago, now)};
}

content_crashes to_message(content_key content, const crash_history& crashes, instant now) {
    content_crashes message;
    message.content = content;
    for (const crash& each : crashes.all()) {
        message.crashes.push_back(to_aged(each, now));
    }
    return message;
}

}  // namespace tallyfold::poison
