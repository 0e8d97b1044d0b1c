#include "tallyfold/base/logging/line_sink.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace tallyfold::logging {

namespace {

/// Buffered bytes from which lines are written; about fifty lines per system call.
constexpr std::size_t write_threshold = 8U << 10U;

}  // namespace

line_sink::line_sink(line_sink_settings settings)
    : settings_(settings), available_tokens_(settings.burst) {
    // If this fails, writes may block. The failure can't be logged, since this is the log.
    const int flags = ::fcntl(settings_.descriptor, F_GETFL);
    if (flags >= 0) {
        ::fcntl(settings_.descriptor, F_SETFL, flags | O_NONBLOCK);
    }
}

void line_sink::add(std::string_view line, double now_seconds) {
    const double elapsed = std::max(0.0, now_seconds - last_seconds_);
    last_seconds_ = now_seconds;
    available_tokens_ =
        std::min(settings_.burst, available_tokens_ + elapsed * settings_.lines_per_second);
    if (available_tokens_ < 1 || buffer_.size() + line.size() + 1 > settings_.capacity) {
        ++dropped_lines_;
        return;
    }
    available_tokens_ -= 1;
    buffer_ += line;
    buffer_ += '\n';
    if (buffer_.size() >= write_threshold) {
        flush();
    }
}

void line_sink::flush() {
    while (!buffer_.empty()) {
        const ssize_t written = ::write(settings_.descriptor, buffer_.data(), buffer_.size());
        if (written <= 0) {
            // The reader is slow or gone: keep the lines; add() drops and counts what doesn't fit.
            return;
        }
        buffer_.erase(0, static_cast<std::size_t>(written));
    }
}

}  // namespace tallyfold::logging
