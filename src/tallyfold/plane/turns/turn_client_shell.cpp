#include "tallyfold/plane/turns/turn_client_shell.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/messaging/link_log.hpp"
#include "tallyfold/plane/turns/request_number.hpp"

namespace tallyfold::turns {

namespace {

/// Time without a message from a store with open requests after which its connection is replaced.
/// Leaves time for another attempt within the time limit of a begin.
constexpr duration silence_timeout = std::chrono::milliseconds(900);
/// Time limit of a settlement in the background: the silence after which the directory replaces a
/// store.
constexpr duration background_settle_timeout = std::chrono::seconds(6);

}  // namespace

turn_client::turn_client(net::node_process& process,
                         std::function<void(const store_map&)> on_newer_map)
    : process_(process), newer_map_handler_(std::move(on_newer_map)) {}

void turn_client::update_stores(const store_table& stores) {
    if (!table_.merge_newer(stores)) {
        return;
    }
    std::erase_if(stores_, [&](const auto& entry) { return !table_.contains(entry.first); });
    for (const store_member& member : table_.all()) {
        store_connection& store = stores_[member.id];
        if (store.link && store.link->address() == member.address) {
            continue;
        }
        store.link = std::make_shared<messaging::peer_link>(process_.loop(), member.address);
        store.last_received = steady_now();
        const store_id id = member.id;
        store.link->start(
            [this, id](const messaging::peer_message& message) { on_message(id, message); },
            [this, id, address = member.address](bool up, const std::string& reason) {
                messaging::log_link_state(address, "store", up, reason);
                if (up) {
                    resend_to(id);
                }
            });
    }
}

void turn_client::resend_to(store_id store) {
    // Requests sent over the lost connection may not have arrived.
    for (const auto& [number, pending] : operations_) {
        if (pending->begin != nullptr) {
            pending->begin->on_store_connected(store);
            pending->timer.cancel();
        } else if (pending->settle != nullptr && pending->settle->map().contains(store)) {
            pending->backoff.resend_now();
            pending->timer.cancel();
        }
    }
}

std::shared_ptr<turn_client::pending_operation> turn_client::find_operation(
    operation_number number) const {
    const auto found = operations_.find(number);
    return found == operations_.end() ? nullptr : found->second;
}

void turn_client::report_newer_maps(const std::vector<store_map>& newer) {
    for (const store_map& map : newer) {
        newer_map_handler_(map);
    }
}

template <class Reply>
void turn_client::on_begin_reply(const Reply& reply) {
    const auto pending = find_operation(operation_of(reply.operation));
    if (pending && pending->begin != nullptr) {
        pending->begin->on_reply(reply);
        pending->timer.cancel();
    }
}

void turn_client::on_settle_reply(const settle_reply& reply) {
    const auto pending = find_operation(operation_of(reply.operation));
    if (!pending || pending->settle == nullptr) {
        return;
    }
    const store_map& known = pending->settle->map();
    for (const store_map& newer : reply.newer_map) {
        if (newer.group == known.group && newer.epoch > known.epoch) {
            pending->backoff.resend_now();
        }
    }
    pending->settle->on_reply(reply);
    pending->timer.cancel();
}

void turn_client::on_message(store_id store, const messaging::peer_message& message) {
    const auto connection = stores_.find(store);
    if (connection != stores_.end()) {
        connection->second.last_received = steady_now();
    }
    if (const auto* begun = std::get_if<begin_reply>(&message)) {
        report_newer_maps(begun->newer_map);
        on_begin_reply(*begun);
    } else if (const auto* history = std::get_if<history_reply>(&message)) {
        on_begin_reply(*history);
    } else if (const auto* found = std::get_if<find_reply>(&message)) {
        report_newer_maps(found->newer_map);
        on_begin_reply(*found);
    } else if (const auto* settled = std::get_if<settle_reply>(&message)) {
        report_newer_maps(settled->newer_map);
        on_settle_reply(*settled);
    } else if (const auto* origin = std::get_if<streams::origin_answer>(&message)) {
        if (origin_answer_handler_) {
            origin_answer_handler_(*origin);
        }
    }
}

std::vector<store_member> turn_client::members_for(const std::string& key) const {
    return table_.groups[table_.group_of(key)].all();
}

bool turn_client::is_connected(store_id store) const {
    const auto connection = stores_.find(store);
    return connection != stores_.end() && connection->second.link->connected();
}

bool turn_client::supports(store_id store, protocol::format_version format) const {
    return is_connected(store) && stores_.at(store).link->peer_format() >= format;
}

bool turn_client::send_message(store_id store, const messaging::peer_message& message,
                               protocol::format_version format) {
    if (!supports(store, format)) {
        return false;
    }
    stores_.at(store).link->send(message);
    return true;
}

store_id turn_client::nearest(const store_map& map) const {
    store_id chosen = 0;
    for (const store_member& member : map.current) {
        const auto connection = stores_.find(member.id);
        const bool connected = connection != stores_.end() && connection->second.link->connected();
        if (connected && (chosen == 0 || member.zone == process_.settings().zone)) {
            chosen = member.id;
        }
    }
    return chosen;
}

void turn_client::send(const store_member& member, const messaging::peer_message& message,
                       instant first_sent) {
    const auto connection = stores_.find(member.id);
    if (connection == stores_.end()) {
        return;
    }
    const instant now = steady_now();
    const bool silent =
        now - std::max(first_sent, connection->second.last_received) > silence_timeout;
    if (silent) {
        connection->second.last_received = now;
        connection->second.link->reconnect("silent");
        return;
    }
    connection->second.link->send(message);
}

asio::awaitable<void> turn_client::wait(std::shared_ptr<pending_operation> pending, instant until) {
    pending->timer.expires_at(std::chrono::steady_clock::time_point(until.time_since_epoch()));
    co_await pending->timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
}

std::shared_ptr<turn_client::pending_operation> turn_client::register_operation(
    operation_number number) {
    auto pending = std::make_shared<pending_operation>(process_.loop());
    operations_[number] = pending;
    return pending;
}

asio::awaitable<begin_decision> turn_client::begin(begin_parameters question, instant deadline) {
    const operation_number number = next_operation_++;
    begin_coordinator beginning(number, std::move(question), table_);
    const auto pending = register_operation(number);
    pending->begin = &beginning;
    const instant started = steady_now();
    const auto choose = [this](const store_map& map) { return nearest(map); };
    while (beginning.is_undecided() && !beginning.cannot_be_decided()) {
        const instant now = steady_now();
        if (now >= deadline) {
            break;
        }
        for (const addressed_request& due_request :
             beginning.take_due_requests(now, table_, choose)) {
            std::visit([&](const auto& body) { send(due_request.store, body, started); },
                       due_request.body);
        }
        co_await wait(pending, std::min(deadline, beginning.next_due()));
    }
    operations_.erase(number);
    co_return beginning.outcome();
}

asio::awaitable<bool> turn_client::settle(turn_settlement settlement, cached_prompt held,
                                          instant deadline) {
    const operation_number number = next_operation_++;
    const group_number group = table_.group_of(settlement.program);
    settle_operation operation(table_.groups[group]);
    const auto pending = register_operation(number);
    pending->settle = &operation;
    const instant started = steady_now();
    while (!operation.is_durable()) {
        const instant now = steady_now();
        if (now >= deadline) {
            break;
        }
        if (pending->backoff.take_due(now)) {
            operation.switch_to_map(table_.groups[group]);
            for (const store_member& member : operation.unanswered()) {
                settle_request request;
                request.operation = request_number(number, operation.map().epoch);
                request.epoch = operation.map().epoch;
                request.settlement = settlement;
                request.held = held;
                send(member, request, started);
            }
        }
        co_await wait(pending, std::min(deadline, pending->backoff.next_send_at()));
    }
    operations_.erase(number);
    if (!operation.is_durable()) {
        logging::write_event(logging::event_id::turn_unsettled,
                             "request=" + settlement.request + " program=" + settlement.program +
                                 " " + describe(operation.answers()) +
                                 " group=" + std::to_string(group) +
                                 " epoch=" + std::to_string(operation.map().epoch));
    }
    co_return operation.is_durable();
}

void turn_client::settle_in_background(turn_settlement settlement) {
    ++background_settlement_count_;
    asio::co_spawn(
        process_.loop(),
        [this, settlement = std::move(settlement)]() mutable -> asio::awaitable<void> {
            // settle() logs a failure; no caller waits for the result.
            const instant deadline = steady_now() + background_settle_timeout;
            cached_prompt no_cached_prompt;
            co_await settle(std::move(settlement), std::move(no_cached_prompt), deadline);
            --background_settlement_count_;
        },
        asio::detached);
}

}  // namespace tallyfold::turns
