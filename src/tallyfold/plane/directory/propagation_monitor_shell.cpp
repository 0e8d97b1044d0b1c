#include "tallyfold/plane/directory/propagation_monitor_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::directory {

void propagation_monitor::on_report(const node_report& report, instant now) {
    if (report.configuration != routing::no_version) {
        versions_.on_report(report.node, report.configuration, now);
    }
}

void propagation_monitor::on_applied(routing::configuration_version version, instant now) {
    versions_.on_applied(version, now);
}

void propagation_monitor::check(instant now) {
    if (const auto propagated = versions_.take_propagated(now)) {
        logging::write_event(
            logging::event_id::configuration_spread,
            "version=" + std::to_string(propagated->version) +
                " nodes=" + std::to_string(propagated->nodes) +
                " took_ms=" + std::to_string(to_milliseconds(propagated->duration_since_applied)));
    }
    metrics_.nodes_behind.Set(static_cast<double>(versions_.nodes_behind()));
}

}  // namespace tallyfold::directory
