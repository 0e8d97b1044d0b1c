#pragma once
/// @file
/// Writes log lines to a descriptor without ever waiting for its reader. What doesn't fit, or
/// comes faster than the bound, is left out and counted.

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace tallyfold::logging {

struct line_sink_settings {
    int descriptor = 1;
    /// Bytes held while the reader is slow.
    std::size_t capacity = 128U << 10U;
    /// Lines a second in the long run, and at once after a pause.
    double lines_per_second = 300;
    double burst = 1'500;
};

/// Not thread-safe: the loop thread owns it.
class line_sink {
  public:
    explicit line_sink(line_sink_settings settings);

    /// Takes one line, without its line feed.
    /// @param now_seconds steady time, for the bound on the rate
    void add(std::string_view line, double now_seconds);
    /// Hands over what the descriptor takes now.
    void flush();
    /// Lines left out so far.
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
