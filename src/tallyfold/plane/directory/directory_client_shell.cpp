#include "tallyfold/plane/directory/directory_client_shell.hpp"

#include <algorithm>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/messaging/link_log.hpp"

namespace tallyfold::directory {

namespace {

/// Silence of all directory nodes after which their loss is logged. Longer than an election,
/// which takes 0.5 to 1 s.
constexpr duration loss_timeout = std::chrono::milliseconds(1500);

}  // namespace

directory_client::directory_client(net::node_process& process, directory_client_settings settings)
    : process_(process), settings_(settings) {}

void directory_client::start(configuration_handler on_configuration, stores_handler on_stores,
                             std::function<std::vector<store_report>()> describe_store) {
    on_configuration_ = std::move(on_configuration);
    on_stores_ = std::move(on_stores);
    describe_store_ = std::move(describe_store);
    last_answer_at_ = http::steady_now();
    add_seeds(process_.settings().seed_directories());
    process_.run_every(settings_.report_interval, [this] { report(); });
}

void directory_client::share_list(discovery::backend_list& list,
                                  std::function<void(const discovery::list_changes&)> on_list) {
    list_.emplace(list);
    list_->on_list = std::move(on_list);
}

void directory_client::add_seeds(const std::vector<std::string>& peers) {
    for (const std::string& peer : peers) {
        add_address(peer);
    }
}

void directory_client::add_address(const std::string& address) {
    if (links_.contains(address)) {
        return;
    }
    auto link = std::make_shared<messaging::peer_link>(process_.loop(), address);
    links_[address] = link;
    link->start(
        [this, address](const messaging::peer_message& message) { on_message(address, message); },
        [this, address](bool up, const std::string& reason) {
            on_link_state(address, up, reason);
        });
}

void directory_client::on_message(const node_name& from, const messaging::peer_message& message) {
    if (const auto* answer = std::get_if<node_report_answer>(&message)) {
        on_answer(from, *answer);
    } else if (const auto* part = std::get_if<configuration_part>(&message)) {
        on_part(from, *part);
    } else if (const auto* status = std::get_if<discovery::list_status>(&message)) {
        on_list_status(from, *status);
    } else if (const auto* list_part = std::get_if<discovery::list_part>(&message)) {
        on_list_part(from, *list_part);
    } else if (const auto* evacuations = std::get_if<evacuation_status>(&message)) {
        on_evacuations(*evacuations);
    } else {
        for (const other_message_handler& handler : other_message_handlers_) {
            handler(from, message);
        }
    }
}

void directory_client::on_evacuations(const evacuation_status& status) {
    // A directory node that lags may still hold an older status.
    if (status.revision > evacuation_revision_ && on_evacuated_zones_) {
        evacuation_revision_ = status.revision;
        on_evacuated_zones_(status.zones);
    }
}

void directory_client::on_link_state(const node_name& address, bool up, const std::string& reason) {
    if (up && version() == routing::no_version) {
        report();
    }
    if (up && on_connected_) {
        on_connected_(address);
    }
    if (!up) {
        fetch_.on_disconnect(address);
    }
    if (!up && list_) {
        list_->fetch.on_disconnect(address);
    }
    messaging::log_link_state(address, "directory", up, reason);
}

void directory_client::on_list_status(const node_name& from, const discovery::list_status& status) {
    active_nodes_ = status.active_nodes;
    if (!list_) {
        return;
    }
    const instant before = list_->list.last_polled_at();
    const auto request = list_->fetch.on_status(from, status, http::steady_now());
    if (request) {
        send_to(from, *request);
    } else if (list_->list.last_polled_at() != before) {
        list_->on_list({});
    }
}

void directory_client::on_list_part(const node_name& from, const discovery::list_part& part) {
    if (!list_) {
        return;
    }
    const discovery::list_fetch::progress progress =
        list_->fetch.receive(from, part, http::steady_now());
    if (progress.next) {
        send_to(from, *progress.next);
    }
    if (!progress.problem.empty()) {
        logging::write_event(logging::event_id::backend_list_fetch_failed,
                             "from=" + from + " reason=\"" + progress.problem + "\"");
    }
    if (progress.changes) {
        list_->on_list(*progress.changes);
    }
}

node_report directory_client::make_report(protocol::format_version format) {
    node_report report;
    report.node = process_.settings().node;
    report.stores = stores_.epoch;
    report.configuration = version();
    report.wants_configuration = settings_.wants_configuration;
    report.wants_list = list_.has_value();
    if (list_ && list_->list.known()) {
        const bool is_earlier = format < protocol::format_version::v3;
        report.list = is_earlier ? list_->earlier_format.fingerprint() : list_->list.fingerprint();
        const duration age = http::steady_now() - list_->list.last_polled_at();
        report.list_age_ms = static_cast<std::uint32_t>(to_milliseconds(age));
    }
    if (describe_store_) {
        report.store = describe_store_();
    }
    return report;
}

void directory_client::log_loss(instant now) {
    if (!is_loss_logged_ && now - last_answer_at_ > loss_timeout) {
        is_loss_logged_ = true;
        logging::write_event(logging::event_id::directory_lost,
                             "silent_ms=" + std::to_string(to_milliseconds(now - last_answer_at_)) +
                                 " version=" + std::to_string(version()));
    }
}

void directory_client::log_recovery(routing::configuration_version version) {
    if (is_loss_logged_) {
        is_loss_logged_ = false;
        logging::write_event(logging::event_id::directory_regained,
                             "version=" + std::to_string(version));
    }
}

void directory_client::report() {
    const instant now = http::steady_now();
    log_loss(now);
    renew_proof(now);
    if (settings_.reports_to_all) {
        for (const auto& [address, link] : links_) {
            link->send(make_report(link->peer_format()));
        }
    } else if (const messaging::link_pointer link = next_link(protocol::oldest_format)) {
        link->send(make_report(link->peer_format()));
    }
}

messaging::link_pointer directory_client::next_link(protocol::format_version format) {
    auto position = links_.upper_bound(last_asked_);
    for (std::size_t step = 0; step < links_.size(); ++step) {
        if (position == links_.end()) {
            position = links_.begin();
        }
        if (position->second->connected() && position->second->peer_format() >= format) {
            last_asked_ = position->first;
            return position->second;
        }
        ++position;
    }
    return nullptr;
}

void directory_client::renew_proof(instant now) {
    const duration interval = settings_.proof_interval;
    const bool due = proofs_.needs_renewal(interval, now) && now >= next_question_;
    if (interval > duration::zero() && due) {
        next_question_ = now + configuration_proofs::share_window;
        ask_for_proof();
    }
}

void directory_client::ask_for_proof() {
    // Nodes that support only format v1 cannot give proofs.
    const messaging::link_pointer link = next_link(protocol::format_version::v2);
    if (!link) {
        return;
    }
    node_report report = make_report(link->peer_format());
    report.question = proofs_.start_question(http::steady_now());
    link->send(report);
}

void directory_client::on_answer(const node_name& from, const node_report_answer& answer) {
    last_answer_at_ = http::steady_now();
    log_recovery(answer.configuration);
    for (const std::string& address : answer.directory_addresses) {
        add_address(address);
    }
    update_leader(answer.leader, answer.term);
    merge_stores_and_list(answer);
    if (settings_.wants_configuration) {
        on_configuration_report(from, answer);
    }
    if (on_relayed_failures_ && !answer.backend_failures.empty()) {
        on_relayed_failures_(answer.backend_failures);
    }
    if (answer.question != 0) {
        proofs_.on_answer(from, answer.question, answer.configuration);
        wake_waiters();
    }
}

void directory_client::on_configuration_report(const node_name& from,
                                               const node_report_answer& answer) {
    const auto link = links_.find(from);
    if (link != links_.end() && link->second->peer_format() >= protocol::format_version::v2) {
        fetch(from, fetch_.on_version_report(from, answer.configuration, last_answer_at_));
        return;
    }
    // A node that supports only format v1 sends the full configuration in its answer, not in parts.
    for (const configuration_pointer& newer : answer.newer_configuration) {
        if (fetch_.accept_full_configuration(newer)) {
            on_new_configuration(from, 0, duration::zero());
        }
    }
}

void directory_client::on_new_configuration(const node_name& from, std::uint64_t bytes,
                                            duration taken) {
    logging::write_event(logging::event_id::configuration_fetched,
                         "from=" + from + " version=" + std::to_string(version()) +
                             " bytes=" + std::to_string(bytes) +
                             " took_ms=" + std::to_string(to_milliseconds(taken)));
    proofs_.set_held_version(version());
    on_configuration_(fetch_.held());
    wake_waiters();
}

void directory_client::merge_stores_and_list(const node_report_answer& answer) {
    for (const turns::store_table& stores : answer.newer_stores) {
        if (stores_.merge_newer(stores)) {
            on_stores_(stores_);
        }
    }
    for (const discovery::list_update& update : answer.list) {
        if (list_) {
            list_->on_list(list_->earlier_format.receive(update, last_answer_at_));
        }
    }
}

void directory_client::fetch(const node_name& from,
                             const std::optional<configuration_request>& request) {
    const auto link = links_.find(from);
    if (request && link != links_.end()) {
        link->second->send(*request);
    }
}

void directory_client::on_part(const node_name& from, const configuration_part& part) {
    const instant now = http::steady_now();
    const duration taken = fetch_.fetch_duration(now).value_or(duration::zero());
    const configuration_fetch::progress progress = fetch_.receive(from, part, now);
    fetch(from, progress.next);
    if (progress.problem.has_value()) {
        logging::write_event(logging::event_id::configuration_fetch_failed,
                             "from=" + from + " version=" + std::to_string(part.version) +
                                 " held=" + std::to_string(version()) + " reason=\"" +
                                 progress.problem->detail + "\"");
    }
    if (progress.new_configuration) {
        on_new_configuration(from, part.size, taken);
    }
}

void directory_client::update_leader(const node_name& leader, consensus::term_number term) {
    if (!leader.empty() && term >= term_) {
        leader_ = leader;
        term_ = term;
    }
}

void directory_client::report_failure(const backend_name& backend) {
    const discovery::failure_report report{process_.settings().node, backend};
    for (const auto& [address, link] : links_) {
        link->send(report);
    }
}

void directory_client::wake_waiters() {
    for (const auto& timer : waiting_) {
        timer->cancel();
    }
}

bool directory_client::peers_support_only_first_format() const {
    const auto connected = [](const auto& entry) { return entry.second->connected(); };
    const auto has_later = [](const auto& entry) {
        return entry.second->peer_format() > protocol::oldest_format;
    };
    return std::any_of(links_.begin(), links_.end(), connected) &&
           std::none_of(links_.begin(), links_.end(), has_later);
}

asio::awaitable<bool> directory_client::refresh(duration limit) {
    if (peers_support_only_first_format()) {
        // No connected node can give a proof, so waiting is pointless.
        co_return false;
    }
    const instant began = http::steady_now();
    const instant end = began + limit;
    const auto timer = std::make_shared<asio::steady_timer>(process_.loop());
    waiting_.insert(timer);
    for (instant now = began; now < end && !proofs_.proved_since(began); now = http::steady_now()) {
        if (now >= next_question_) {
            next_question_ = now + configuration_proofs::share_window;
            ask_for_proof();
        }
        timer->expires_after(std::min(end, next_question_) - now);
        co_await timer->async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
    waiting_.erase(timer);
    co_return proofs_.proved_since(began);
}

void directory_client::send_to(const node_name& address, const messaging::peer_message& message) {
    add_address(address);
    links_[address]->send(message);
}

std::vector<node_name> directory_client::addresses() const {
    std::vector<node_name> addresses;
    addresses.reserve(links_.size());
    for (const auto& entry : links_) {
        addresses.push_back(entry.first);
    }
    return addresses;
}

bool directory_client::supports(const node_name& address, protocol::format_version format) const {
    const auto found = links_.find(address);
    return found != links_.end() && found->second->connected() &&
           found->second->peer_format() >= format;
}

void directory_client::merge_map(const turns::store_map& map) {
    if (stores_.merge_newer(map)) {
        on_stores_(stores_);
    }
}

}  // namespace tallyfold::directory
