#include "tallyfold/base/logging/bounded_log.hpp"

#include <array>
#include <chrono>
#include <ctime>
#include <memory>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/base/logging/line_sink.hpp"

namespace tallyfold::logging {

namespace {

struct bounded_log {
    line_sink sink{line_sink_settings{}};
    event_level minimum_level = event_level::info;
    std::uint64_t reported_dropped_lines = 0;
};

std::unique_ptr<bounded_log>& log_of_process() {
    static std::unique_ptr<bounded_log> log;
    return log;
}

std::string time_text() {
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() %
        1000;
    std::tm parts{};
    ::gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    const std::string fraction = std::to_string(1000 + milliseconds);
    return std::string(text.data(), length) + "." + fraction.substr(1);
}

std::string_view level_text(event_level level) {
    switch (level) {
        case event_level::debug:
            return "DEBUG";
        case event_level::info:
            return "INFO";
        case event_level::warning:
            return "WARN";
        case event_level::error:
            return "ERROR";
    }
    return "ERROR";
}

void write_line(bounded_log& log, event_level level, const std::string& line) {
    if (level < log.minimum_level) {
        return;
    }
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    const std::string full_line =
        "time=" + time_text() + " level=" + std::string(level_text(level)) + " " + line;
    log.sink.add(full_line, seconds);
}

}  // namespace

void open_bounded_log(const std::string& node, const std::string& level) {
    log_of_process() = std::make_unique<bounded_log>();
    log_of_process()->minimum_level = parse_level(level);
    set_line_writer(node, [](event_level event, const std::string& line) {
        write_line(*log_of_process(), event, line);
    });
}

void flush_bounded_log() {
    const auto& log = log_of_process();
    if (!log) {
        return;
    }
    const std::uint64_t dropped_lines = log->sink.dropped_lines();
    if (dropped_lines > log->reported_dropped_lines) {
        const std::uint64_t since = dropped_lines - log->reported_dropped_lines;
        log->reported_dropped_lines = dropped_lines;
        write_event(event_id::lines_left_out, "count=" + std::to_string(since));
    }
    log->sink.flush();
}

}  // namespace tallyfold::logging
