#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::logging {

namespace {

struct process_log {
    std::string node;
    line_writer writer;
};

process_log& log_of_process() {
    static process_log log;
    return log;
}

}  // namespace

void set_line_writer(const std::string& node, line_writer writer) {
    log_of_process() = {node, std::move(writer)};
}

event_level parse_level(const std::string& level) {
    if (level == "debug") {
        return event_level::debug;
    }
    if (level == "warning") {
        return event_level::warning;
    }
    return level == "error" ? event_level::error : event_level::info;
}

void write_event(const event_record& record) {
    const process_log& log = log_of_process();
    if (!log.writer) {
        return;
    }
    const event_entry& entry = find_event(record.id);
    std::string line = "event=" + std::to_string(static_cast<int>(entry.id)) +
                       " name=" + std::string(entry.name) + " node=" + log.node;
    if (!record.fields.empty()) {
        line += " " + record.fields;
    }
    log.writer(entry.level, line);
}

void write_event(event_id id, const std::string& fields) {
    write_event(event_record{id, fields});
}

}  // namespace tallyfold::logging
