#include "tallyfold/logging/event_log.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include <array>
#include <chrono>
#include <ctime>
#include <memory>

#include "tallyfold/logging/line_sink.hpp"

namespace tallyfold::logging {

namespace {

std::string& node_of_process() {
    static std::string node;
    return node;
}

struct bounded_log {
    line_sink sink{line_sink_settings{}};
    event_level lowest = event_level::info;
    std::uint64_t reported_left_out = 0;
};

std::unique_ptr<bounded_log>& bounded_log_of_process() {
    static std::unique_ptr<bounded_log> log;
    return log;
}

std::string time_text() {
    const auto now = std::chrono::system_clock::now();
    const std::time_t seconds = std::chrono::system_clock::to_time_t(now);
    const auto milliseconds =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count() % 1000;
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

event_level parse_event_level(const std::string& level) {
    if (level == "debug") {
        return event_level::debug;
    }
    if (level == "warning") {
        return event_level::warning;
    }
    return level == "error" ? event_level::error : event_level::info;
}

void write_bounded(bounded_log& log, const event_entry& entry, const std::string& line) {
    if (entry.level < log.lowest) {
        return;
    }
    const double seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
    log.sink.add("time=" + time_text() + " level=" + std::string(level_text(entry.level)) + " " +
                     line,
                 seconds);
}

log4cplus::LogLevel to_log4cplus(event_level level) {
    switch (level) {
        case event_level::debug:
            return log4cplus::DEBUG_LOG_LEVEL;
        case event_level::info:
            return log4cplus::INFO_LOG_LEVEL;
        case event_level::warning:
            return log4cplus::WARN_LOG_LEVEL;
        case event_level::error:
            return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::ERROR_LOG_LEVEL;
}

log4cplus::LogLevel parse_level(const std::string& level) {
    if (level == "debug") {
        return log4cplus::DEBUG_LOG_LEVEL;
    }
    if (level == "warning") {
        return log4cplus::WARN_LOG_LEVEL;
    }
    if (level == "error") {
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

}  // namespace

void open_log(const std::string& node, const std::string& level) {
    static const log4cplus::Initializer initializer;
    node_of_process() = node;
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(true, true));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(console);
    root.setLogLevel(parse_level(level));
}

void open_bounded_log(const std::string& node, const std::string& level) {
    node_of_process() = node;
    bounded_log_of_process() = std::make_unique<bounded_log>();
    bounded_log_of_process()->lowest = parse_event_level(level);
}

void flush_bounded_log() {
    const auto& log = bounded_log_of_process();
    if (!log) {
        return;
    }
    const std::uint64_t left_out = log->sink.left_out();
    if (left_out > log->reported_left_out) {
        const std::uint64_t since = left_out - log->reported_left_out;
        log->reported_left_out = left_out;
        write_event(event_id::lines_left_out, "count=" + std::to_string(since));
    }
    log->sink.flush();
}

void write_event(const event_record& record) {
    const event_entry& entry = find_event(record.id);
    std::string line = "event=" + std::to_string(static_cast<int>(entry.id)) +
                       " name=" + std::string(entry.name) + " node=" + node_of_process();
    if (!record.fields.empty()) {
        line += " " + record.fields;
    }
    if (const auto& bounded = bounded_log_of_process()) {
        write_bounded(*bounded, entry, line);
        return;
    }
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    const log4cplus::LogLevel level = to_log4cplus(entry.level);
    if (root.isEnabledFor(level)) {
        root.forcedLog(level, line);
    }
}

void write_event(event_id id, const std::string& fields) {
    write_event(event_record{id, fields});
}

}  // namespace tallyfold::logging
