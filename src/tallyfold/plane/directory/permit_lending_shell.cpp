#include "tallyfold/plane/directory/permit_lending_shell.hpp"

#include <algorithm>

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::directory {

permit_lending::permit_lending(const settings::node_settings& settings,
                               const std::unique_ptr<directory_core>& core)
    : core_(core),
      lender_({settings.quota_window, settings.quota_overshoot, settings.quota_slack,
               settings.quota_lease}) {}

void permit_lending::tick(instant now) {
    handle_leadership_change(now);
    lender_.expire(now);
}

void permit_lending::handle_leadership_change(instant now) {
    if (!core_ || !core_->leads()) {
        lending_version_.reset();
        return;
    }
    const routing::configuration& in_force = core_->state().configuration();
    if (lending_version_ == in_force.version) {
        return;
    }
    if (!lending_version_) {
        lender_.start(now);
        lending_since_ = now;
        logging::write_event(logging::event_id::quota_keeper_started,
                             "version=" + std::to_string(in_force.version) +
                                 " tenants=" + std::to_string(in_force.tenants.size()));
    }
    lender_.use(in_force.tenants);
    lending_version_ = in_force.version;
}

void permit_lending::log_first_report(const tenants::permit_report& report, instant now) const {
    std::uint64_t recent = 0;
    std::uint64_t lent = 0;
    for (const tenants::permit_use& use : report.uses) {
        recent += use.spent_in_window;
        lent += use.spent_limit - std::min(use.spent_limit, use.spent);
    }
    logging::write_event(
        logging::event_id::permit_node_heard,
        "peer=" + report.node + " life=" + std::to_string(report.process_id) +
            " lending_ms=" + std::to_string(to_milliseconds(now - lending_since_)) +
            " tenants=" + std::to_string(report.uses.size()) + " recent=" + std::to_string(recent) +
            " lent=" + std::to_string(lent));
}

tenants::permit_answer permit_lending::answer(const tenants::permit_report& report, instant now) {
    tenants::permit_answer answer;
    if (lending_version_) {
        const bool known = lender_.has_report_from(report.node, report.process_id);
        answer = lender_.answer(report, now);
        if (!known && lender_.has_report_from(report.node, report.process_id)) {
            log_first_report(report, now);
        }
    } else {
        answer.sequence = report.sequence;
        answer.outcome = tenants::permit_outcome::not_lender;
    }
    answer.leader = core_->leader_address();
    answer.term = core_->term();
    return answer;
}

}  // namespace tallyfold::directory
