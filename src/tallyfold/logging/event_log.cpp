#include "tallyfold/logging/event_log.hpp"

#include <log4cplus/configurator.h>
#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

namespace tallyfold::logging {

namespace {

std::string& node_of_process() {
    static std::string node;
    return node;
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

void write_event(const event_record& record) {
    const event_entry& entry = find_event(record.id);
    std::string line = "event=" + std::to_string(static_cast<int>(entry.id)) +
                       " name=" + std::string(entry.name) + " node=" + node_of_process();
    if (!record.fields.empty()) {
        line += " " + record.fields;
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
