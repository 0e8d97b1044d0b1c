#pragma once
/// @file
/// Non-blocking writer of log lines to a file descriptor. Lines that exceed the buffer or the rate
/// limit are dropped and counted.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tallyfold::logging {

struct line_sink_settings {
    int descriptor = 1;
    /// Buffer size in bytes, for a slow reader.
    std::size_t capacity = 128U << 10U;
    /// Token bucket: sustained lines per second, and largest burst in lines.
    double lines_per_second = 300;
    double burst = 1'500;
};

/// Not thread-safe; owned by the event loop's thread.
class line_sink {
  public:
    explicit line_sink(line_sink_settings settings);

    /// Buffers a line, given without line feed.
    /// @param now_seconds monotonic time, for the rate limit
    void add(std::string_view line, double now_seconds);
    /// Writes as many buffered bytes as the descriptor accepts without blocking.
    void flush();
    /// Number of lines dropped so far.
    [[nodiscard]] std::uint64_t dropped_lines() const { return dropped_lines_; }
    [[nodiscard]] std::size_t buffered_bytes() const { return buffer_.size(); }

  private:
    line_sink_settings settings_;
    std::string buffer_;
    double available_tokens_;
    double last_seconds_ = 0;
    std::uint64_t dropped_lines_ = 0;
};

}  // namespace tallyfold::logging
