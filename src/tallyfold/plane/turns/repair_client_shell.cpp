#include "tallyfold/plane/turns/repair_client_shell.hpp"

#include <algorithm>
#include <asio/post.hpp>
#include <memory>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "tallyfold/base/common/steady_clock.hpp"
#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::turns {

namespace {

/// Format of the messages between members.
constexpr auto required_format = protocol::format_version::v7;

}  // namespace

repair_client::repair_client(asio::io_context& loop, store_fsm& store,
                             std::function<void()> on_records)
    : loop_(loop), store_(store), on_records_(std::move(on_records)), repair_(store.self()) {}

void repair_client::connect(const store_member& member) {
    messaging::link_pointer& link = links_[member.address];
    if (link) {
        return;
    }
    link = std::make_shared<messaging::peer_link>(loop_, member.address);
    // A lost connection is not logged: the timeout ends the exchange, and rounds go on without the
    // member until it is back.
    link->start([this](const messaging::peer_message& message) { on_message(message); },
                [](bool, const std::string&) {});
}

void repair_client::update_group() {
    repair_.set_group(store_.map(), store_.group_count(), steady_now());
    std::set<std::string> addresses;
    for (const store_member& member : repair_.members()) {
        addresses.insert(member.address);
        connect(member);
    }
    std::erase_if(links_, [&](const auto& entry) { return !addresses.contains(entry.first); });
}

bool repair_client::is_reachable(const store_member& member) const {
    const auto link = links_.find(member.address);
    return link != links_.end() && link->second->connected() &&
           link->second->peer_format() >= required_format;
}

void repair_client::send_due_request() {
    const auto order = repair_.next(
        [this](const store_member& member) { return is_reachable(member); }, steady_now());
    if (!order.has_value()) {
        return;
    }
    const auto link = links_.find(order->source.address);
    if (link != links_.end()) {
        std::visit([&](const auto& request) { link->second->send(request); }, order->request);
    }
}

void repair_client::on_message(const messaging::peer_message& message) {
    if (const auto* compared = std::get_if<comparison_reply>(&message)) {
        repair_.on_reply(*compared, store_.turns(), steady_now());
        send_due_request();
    } else if (const auto* records = std::get_if<records_reply>(&message)) {
        if (repair_.on_reply(*records, steady_now())) {
            store_.receive(*records);
            on_records_();
        }
    }
}

void repair_client::on_written() {
    repair_.on_records_written(store_.turns(), steady_now());
    if (repair_.repaired_count() > logged_count_ && repair_.missing_count() == 0) {
        logging::write_event(
            logging::event_id::store_repaired,
            "requests=" + std::to_string(repair_.repaired_count() - logged_count_));
        logged_count_ = repair_.repaired_count();
    }
    send_due_request();
}

}  // namespace tallyfold::turns
