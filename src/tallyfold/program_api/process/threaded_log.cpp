#include "tallyfold/program_api/process/threaded_log.hpp"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::logging {

namespace {

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

}  // namespace

void open_log(const std::string& node, const std::string& level) {
    static const log4cplus::Initializer initializer;
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(true, true));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>(
        LOG4CPLUS_TEXT("time=%D{%Y-%m-%dT%H:%M:%S.%q} level=%p %m%n")));
    log4cplus::Logger root = log4cplus::Logger::getRoot();
    root.removeAllAppenders();
    root.addAppender(console);
    root.setLogLevel(to_log4cplus(parse_level(level)));
    set_line_writer(node, [](event_level event, const std::string& line) {
        log4cplus::Logger logger = log4cplus::Logger::getRoot();
        if (logger.isEnabledFor(to_log4cplus(event))) {
            logger.forcedLog(to_log4cplus(event), line);
        }
    });
}

}  // namespace tallyfold::logging
