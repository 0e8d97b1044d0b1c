#include "tallyfold/plane/poison/crash_client_shell.hpp"

#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/plane/poison/message_times.hpp"

namespace tallyfold::poison {

namespace {

/// Format of the messages to directory nodes; a node of an earlier one knows no crashes.
constexpr auto required_format = protocol::format_version::v6;
/// Interval at which expired crashes are removed.
constexpr duration expiry_interval = std::chrono::seconds(5);

}  // namespace

crash_client::crash_client(net::node_process& process, directory::directory_client& directory)
    : process_(process), directory_(directory) {}

void crash_client::start() {
    directory_.on_other_messages(
        [this](const node_name& from, const messaging::peer_message& message) {
            if (const auto* status = std::get_if<crash_status>(&message)) {
                on_status(from, *status);
            }
        });
    process_.run_every(expiry_interval, [this] { crashes_.expire(steady_now()); });
}

std::set<node_name> crash_client::send(const crash_report& report) {
    std::set<node_name> receivers;
    for (const node_name& address : directory_.addresses()) {
        if (directory_.supports(address, required_format)) {
            directory_.send_to(address, report);
            receivers.insert(address);
        }
    }
    return receivers;
}

asio::awaitable<report_outcome> crash_client::report(content_key content, crash added) {
    const instant now = steady_now();
    const instant deadline = now + report_timeout;
    report_outcome outcome;
    if (answered_.contains(content, now)) {
        co_return outcome;
    }
    crashes_.record(content, added, now);
    crash_report report;
    report.report = next_report_++;
    report.reported = {content, {to_aged(added, now)}};
    const auto pending = std::make_shared<pending_report>(process_.loop());
    pending->unanswered = send(report);
    pending->majority = pending->unanswered.empty() ? 0 : pending->unanswered.size() / 2 + 1;
    outcome.told = pending->unanswered.size();
    reports_[report.report] = pending;
    while (pending->answered < pending->majority && steady_now() < deadline) {
        pending->timer.expires_at(
            std::chrono::steady_clock::time_point(deadline.time_since_epoch()));
        co_await pending->timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
    reports_.erase(report.report);
    outcome.answered = pending->answered;
    outcome.consecutive = crashes_.consecutive(content, steady_now());
    co_return outcome;
}

bool crash_client::record_answer(content_key content) {
    answered_.record(content, steady_now());
    const bool known = crashes_.release(content);
    if (known) {
        send_release(content);
    }
    return known;
}

void crash_client::send_release(content_key content) {
    crash_report report;
    report.reported.content = content;
    send(report);
}

void crash_client::on_status(const node_name& from, const crash_status& status) {
    const instant now = steady_now();
    for (const content_crashes& told : status.contents) {
        merge(told, now);
    }
    const auto found = reports_.find(status.report);
    if (found != reports_.end() && found->second->unanswered.erase(from) > 0) {
        ++found->second->answered;
        found->second->timer.cancel();
    }
}

void crash_client::merge(const content_crashes& told, instant now) {
    if (told.crashes.empty()) {
        crashes_.release(told.content);
        return;
    }
    if (answered_.contains(told.content, now)) {
        send_release(told.content);
        return;
    }
    for (const aged_crash& received : told.crashes) {
        crashes_.record(told.content, from_aged(received, now), now);
    }
}

}  // namespace tallyfold::poison
