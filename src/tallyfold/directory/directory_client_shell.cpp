#include "tallyfold/directory/directory_client_shell.hpp"

#include <algorithm>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/logging/event_log.hpp"
#include "tallyfold/messaging/link_log.hpp"

namespace tallyfold::directory {

namespace {

/// Silence of all directory nodes after which their loss is logged.
constexpr duration lost_after = std::chrono::milliseconds(1500);
/// Questions whose time of asking is remembered.
constexpr std::size_t most_open_questions = 64;
/// What was asked so short a time ago is fresh enough: callers with keys that nobody holds can't
/// make a node ask more often.
constexpr duration fresh_enough = std::chrono::milliseconds(50);

}  // namespace

directory_client::directory_client(net::node_process& process, directory_client_settings settings)
    : process_(process), settings_(settings) {}

void directory_client::start(configuration_handler on_configuration, stores_handler on_stores,
                             std::function<std::vector<store_report>()> describe_store) {
    on_configuration_ = std::move(on_configuration);
    on_stores_ = std::move(on_stores);
    describe_store_ = std::move(describe_store);
    heard_ = http::steady_now();
    use_seeds(process_.settings().seed_directories());
    process_.every(settings_.report_interval, [this] { report(); });
}

void directory_client::share_list(listing::list_memory& list,
                                  std::function<void(bool changed)> on_list) {
    list_ = &list;
    on_list_ = std::move(on_list);
}

void directory_client::use_seeds(const std::vector<std::string>& peers) {
    seeds_ = {peers.begin(), peers.end()};
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
        [this, address](const messaging::peer_message& message) {
            if (const auto* beat = std::get_if<directory_beat>(&message)) {
                on_beat(address, *beat);
            } else if (on_other_) {
                on_other_(message);
            }
        },
        [this, address](bool up, const std::string& reason) {
            if (up && version_ == routing::no_version) {
                report();
            }
            messaging::log_link(address, "directory", up, reason);
        });
}

void directory_client::report() {
    const instant now = http::steady_now();
    if (!lost_ && now - heard_ > lost_after) {
        lost_ = true;
        logging::write_event(logging::event_id::directory_lost,
                             "silent_ms=" + std::to_string(to_milliseconds(now - heard_)) +
                                 " version=" + std::to_string(version_));
    }
    node_report report;
    report.node = process_.settings().node;
    report.question = ++question_;
    asked_[question_] = now;
    if (asked_.size() > most_open_questions) {
        asked_.erase(asked_.begin());
    }
    report.configuration = version_;
    report.stores = stores_.epoch;
    report.wants_configuration = settings_.wants_configuration;
    report.wants_list = list_ != nullptr;
    if (list_ != nullptr) {
        report.list = list_->fingerprint();
        const duration age = http::steady_now() - list_->seen();
        report.list_age_ms = static_cast<std::uint32_t>(list_->known() ? to_milliseconds(age) : 0);
    }
    if (describe_store_) {
        report.store = describe_store_();
    }
    if (settings_.reports_to_all) {
        for (const auto& [address, link] : links_) {
            link->send(report);
        }
        return;
    }
    // The next connected one in turn.
    auto position = links_.upper_bound(last_asked_);
    for (std::size_t step = 0; step < links_.size(); ++step) {
        if (position == links_.end()) {
            position = links_.begin();
        }
        if (position->second->connected()) {
            last_asked_ = position->first;
            position->second->send(report);
            return;
        }
        ++position;
    }
}

void directory_client::on_beat(const node_name& from, const directory_beat& beat) {
    heard_ = http::steady_now();
    if (lost_) {
        lost_ = false;
        logging::write_event(logging::event_id::directory_regained,
                             "version=" + std::to_string(beat.configuration));
    }
    for (const std::string& address : beat.directory_addresses) {
        add_address(address);
    }
    learn_leader(beat.leader, beat.term);
    for (const turns::store_table& stores : beat.newer_stores) {
        if (stores_.take(stores)) {
            on_stores_(stores_);
        }
    }
    for (const listing::list_sight& sight : beat.list) {
        if (list_ != nullptr) {
            on_list_(list_->learn(sight, heard_));
        }
    }
    for (const routing::configuration& configuration : beat.newer_configuration) {
        if (configuration.version > version_) {
            version_ = configuration.version;
            on_configuration_(configuration);
        }
    }
    if (on_breaks_ && !beat.breaks.empty()) {
        on_breaks_(beat.breaks);
    }
    end_refreshes(from, beat);
}

void directory_client::learn_leader(const node_name& leader, consensus::term_number term) {
    if (!leader.empty() && term >= term_) {
        leader_ = leader;
        term_ = term;
    }
}

void directory_client::report_break(const backend_name& backend) {
    const listing::break_report report{process_.settings().node, backend};
    for (const auto& [address, link] : links_) {
        link->send(report);
    }
}

void directory_client::end_refreshes(const node_name& from, const directory_beat& beat) {
    const auto asked = asked_.find(beat.question);
    if (asked == asked_.end()) {
        return;
    }
    if (asked->second > proof_.asked) {
        proof_ = {from, beat.configuration, asked->second};
    }
    asked_.erase(asked_.begin(), std::next(asked));
    const auto end = refreshes_.upper_bound(beat.question);
    for (auto waiting = refreshes_.begin(); waiting != end; ++waiting) {
        waiting->second->cancel();
    }
    refreshes_.erase(refreshes_.begin(), end);
}

asio::awaitable<bool> directory_client::refresh(duration limit) {
    const instant began = http::steady_now();
    if (began - proof_.asked < fresh_enough) {
        co_return true;
    }
    // Who comes while others wait shares their question when it is young enough.
    const auto newest = asked_.find(question_);
    const bool shared = !refreshes_.empty() && newest != asked_.end() &&
                        http::steady_now() - newest->second < fresh_enough;
    if (!shared) {
        report();
    }
    const auto timer = std::make_shared<asio::steady_timer>(process_.loop(), limit);
    refreshes_.emplace(question_, timer);
    co_await timer->async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    std::erase_if(refreshes_, [&](const auto& entry) { return entry.second == timer; });
    // Whoever shared a question had it asked up to that long before.
    co_return proof_.asked + fresh_enough > began;
}

void directory_client::send_to(const node_name& address, const messaging::peer_message& message) {
    add_address(address);
    links_[address]->send(message);
}

void directory_client::learn_map(const turns::store_map& map) {
    if (stores_.take(map)) {
        on_stores_(stores_);
    }
}

}  // namespace tallyfold::directory
