#include "tallyfold/plane/directory/backend_list_sharing_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/discovery/poller_election.hpp"

namespace tallyfold::directory {

namespace {

/// Number of changed entries up to which differences can be sent; enough for some minutes of
/// replacing back ends. A node that lags further gets the full list.
constexpr std::size_t max_journal_entries = 4'096;

std::uint32_t age_in_ms(instant polled_at, instant now) {
    return static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_milliseconds(now - polled_at)));
}

}  // namespace

backend_list_sharing::backend_list_sharing(net::node_process& process,
                                           const discovery::backend_list_codec& codec,
                                           const std::unique_ptr<directory_core>& core)
    : process_(process),
      core_(core),
      poller_(process, codec),
      list_(max_journal_entries),
      fetch_(list_),
      earlier_format_(list_),
      started_at_(http::steady_now()) {}

void backend_list_sharing::start() {
    poller_.start(
        [this](const discovery::polled_list& polled) {
            const auto changes = list_.record_poll(polled, http::steady_now());
            return changes ? std::string{} : text_of(changes.error());
        },
        [this] { return is_poller(); });
}

bool backend_list_sharing::is_poller() const {
    discovery::poller_election election;
    election.leads = core_ && core_->leads();
    election.known = list_.known();
    election.age = http::steady_now() - (list_.known() ? list_.last_polled_at() : started_at_);
    election.rank = core_ ? core_->rank_behind_leader() : 0;
    election.pages = list_.pages();
    return election.should_poll();
}

discovery::list_status backend_list_sharing::status(std::size_t active_nodes, instant now) const {
    discovery::list_status status;
    status.list = list_.fingerprint();
    status.age_ms = list_.known() ? age_in_ms(list_.last_polled_at(), now) : 0;
    status.pages = static_cast<std::uint32_t>(list_.pages());
    status.active_nodes = static_cast<std::uint32_t>(active_nodes);
    return status;
}

discovery::list_part backend_list_sharing::answer(const discovery::list_request& request,
                                                  instant now) {
    return source_.answer(request, list_, now);
}

std::vector<discovery::list_update> backend_list_sharing::changes_for(const node_report& report,
                                                                      instant now) {
    if (!report.wants_list) {
        return {};
    }
    return earlier_format_.update_for(report.list, std::chrono::milliseconds(report.list_age_ms),
                                      now);
}

std::optional<node_report> backend_list_sharing::leader_report(protocol::format_version format) {
    if (!core_ || core_->leads() || core_->leader_address().empty()) {
        return std::nullopt;
    }
    node_report report;
    report.node = process_.settings().node;
    // Requests the list only: store groups and the configuration arrive through the log.
    report.stores = core_->state().stores().epoch;
    if (list_.known()) {
        const bool is_earlier = format < protocol::format_version::v3;
        report.list = is_earlier ? earlier_format_.fingerprint() : list_.fingerprint();
        report.list_age_ms = age_in_ms(list_.last_polled_at(), http::steady_now());
    }
    return report;
}

std::optional<discovery::list_request> backend_list_sharing::on_leader_status(
    const node_name& leader, const discovery::list_status& status) {
    return fetch_.on_status(leader, status, http::steady_now());
}

std::optional<discovery::list_request> backend_list_sharing::on_leader_part(
    const node_name& leader, const discovery::list_part& part) {
    discovery::list_fetch::progress progress = fetch_.receive(leader, part, http::steady_now());
    if (!progress.problem.empty()) {
        logging::write_event(logging::event_id::backend_list_fetch_failed,
                             "from=" + leader + " reason=\"" + progress.problem + "\"");
    }
    return progress.next;
}

void backend_list_sharing::on_leader_answer(const node_report_answer& answer) {
    for (const discovery::list_update& update : answer.list) {
        earlier_format_.receive(update, http::steady_now());
    }
}

}  // namespace tallyfold::directory
