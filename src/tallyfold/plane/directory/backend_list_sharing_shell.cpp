#include "tallyfold/plane/directory/backend_list_sharing_shell.hpp"

#include "tallyfold/plane/discovery/poller_election.hpp"

namespace tallyfold::directory {

namespace {

/// Number of earlier lists from which differences can be sent. A reporting node rarely lags by more
/// than one list.
constexpr std::size_t earlier_list_count = 8;

}  // namespace

backend_list_sharing::backend_list_sharing(net::node_process& process,
                                           const discovery::backend_list_codec& codec,
                                           const std::unique_ptr<directory_core>& core)
    : process_(process), core_(core), poller_(process, codec), list_(earlier_list_count) {}

void backend_list_sharing::start() {
    poller_.start(
        [this](const std::vector<discovery::listed_backend>& backends) {
            list_.record_poll(backends, http::steady_now());
        },
        [this] { return is_poller(); });
}

bool backend_list_sharing::is_poller() const {
    discovery::poller_election election;
    election.leads = core_ && core_->leads();
    election.known = list_.known();
    election.age = http::steady_now() - list_.last_polled_at();
    election.rank = core_ ? core_->rank_behind_leader() : 0;
    return election.should_poll();
}

void backend_list_sharing::on_leader_answer(const node_report_answer& answer) {
    for (const discovery::list_update& update : answer.list) {
        list_.apply_update(update, http::steady_now());
    }
}

std::vector<discovery::list_update> backend_list_sharing::changes_for(const node_report& report,
                                                                      instant now) {
    if (!report.wants_list) {
        return {};
    }
    return list_.update_for(report.list, std::chrono::milliseconds(report.list_age_ms), now);
}

std::optional<node_report> backend_list_sharing::list_request() const {
    if (!core_ || core_->leads() || core_->leader_address().empty()) {
        return std::nullopt;
    }
    node_report report;
    report.node = process_.settings().node;
    // Requests the list only: store groups and the configuration arrive through the log.
    report.stores = core_->state().stores().epoch;
    report.list = list_.fingerprint();
    const duration age = http::steady_now() - list_.last_polled_at();
    report.list_age_ms = static_cast<std::uint32_t>(list_.known() ? to_milliseconds(age) : 0);
    return report;
}

}  // namespace tallyfold::directory
