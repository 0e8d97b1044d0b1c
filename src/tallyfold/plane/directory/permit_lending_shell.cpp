#include "tallyfold/plane/directory/permit_lending_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::directory {

permit_lending::permit_lending(const settings::node_settings& settings,
                               const std::unique_ptr<directory_core>& core)
    : core_(core),
      lender_({settings.quota_window, settings.quota_overshoot, settings.quota_slack,
               settings.quota_lease}) {}

void permit_lending::tick(instant now) {
    follow_leadership(now);
    lender_.expire(now);
}

void permit_lending::follow_leadership(instant now) {
    if (!core_ || !core_->leads()) {
        lending_by_.reset();
        return;
    }
    const routing::configuration& in_force = core_->state().configuration();
    if (lending_by_ == in_force.version) {
        return;
    }
    if (!lending_by_) {
        lender_.start(now);
        logging::write_event(logging::event_id::quota_keeper_started,
                             "version=" + std::to_string(in_force.version) +
                                 " tenants=" + std::to_string(in_force.tenants.size()));
    }
    lender_.use(in_force.tenants);
    lending_by_ = in_force.version;
}

tenants::permit_answer permit_lending::answer(const tenants::permit_report& report, instant now) {
    tenants::permit_answer answer;
    if (lending_by_) {
        answer = lender_.answer(report, now);
    } else {
        answer.question = report.question;
        answer.outcome = tenants::permit_outcome::not_lender;
    }
    answer.leader = core_->leader_address();
    answer.term = core_->term();
    return answer;
}

}  // namespace tallyfold::directory
