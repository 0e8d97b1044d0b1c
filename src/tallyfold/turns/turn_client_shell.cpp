#include "tallyfold/turns/turn_client_shell.hpp"

#include <algorithm>
#include <asio/co_spawn.hpp>
#include <asio/detached.hpp>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/logging/event_log.hpp"
#include "tallyfold/messaging/link_log.hpp"

namespace tallyfold::turns {

namespace {

/// Another store is asked for texts that are missing after this time.
constexpr duration chain_interval = std::chrono::milliseconds(250);
/// The nearest store may be this much later than the majority before another sends the texts.
constexpr duration chain_patience = std::chrono::milliseconds(15);
/// A store that says nothing for this long while it is asked gets a new connection.
constexpr duration silence_limit = std::chrono::milliseconds(900);
/// A settlement that nobody waits for is tried for this long.
constexpr duration background_limit = std::chrono::seconds(6);

}  // namespace

turn_client::turn_client(net::node_process& process,
                         std::function<void(const store_map&)> on_newer_map)
    : process_(process), newer_map_handler_(std::move(on_newer_map)) {}

void turn_client::use_map(const store_map& map) {
    if (map.epoch <= map_.epoch) {
        return;
    }
    map_ = map;
    std::erase_if(stores_, [&](const auto& entry) { return !map.holds(entry.first); });
    for (const store_member& member : map.all()) {
        known_store& store = stores_[member.id];
        if (store.link && store.link->address() == member.address) {
            continue;
        }
        store.link = std::make_shared<messaging::peer_link>(process_.loop(), member.address);
        store.heard = http::steady_now();
        const store_id id = member.id;
        store.link->start(
            [this, id](const messaging::peer_message& message) { on_message(id, message); },
            [this, id, address = member.address](bool up, const std::string& reason) {
                messaging::log_link(address, "store", up, reason);
                // What was asked over the lost connection is asked again at once.
                for (const auto& [number, waiting] : operations_) {
                    if (up) {
                        waiting->schedule.ask_at_once();
                    }
                    waiting->timer.cancel();
                }
            });
    }
}

void turn_client::on_newer_map(waiting_operation& waiting, const std::vector<store_map>& maps) {
    for (const store_map& map : maps) {
        newer_map_handler_(map);
        waiting.schedule.ask_at_once();
    }
}

void turn_client::on_message(store_id store, const messaging::peer_message& message) {
    const auto known = stores_.find(store);
    if (known != stores_.end()) {
        known->second.heard = http::steady_now();
    }
    const auto find = [this](operation_number number) {
        const auto found = operations_.find(number);
        return found == operations_.end() ? nullptr : found->second;
    };
    std::shared_ptr<waiting_operation> waiting;
    if (const auto* begun = std::get_if<begin_reply>(&message)) {
        waiting = find(begun->operation);
        if (waiting && waiting->begin != nullptr) {
            on_newer_map(*waiting, begun->newer_map);
            if (begun->newer_map.empty()) {
                waiting->begin->on_reply(*begun);
            }
        }
    } else if (const auto* chain = std::get_if<chain_reply>(&message)) {
        waiting = find(chain->operation);
        if (waiting && waiting->begin != nullptr) {
            waiting->begin->on_chain(*chain);
        }
    } else if (const auto* settled = std::get_if<settle_reply>(&message)) {
        waiting = find(settled->operation);
        if (waiting && waiting->settle != nullptr) {
            on_newer_map(*waiting, settled->newer_map);
            waiting->settle->on_reply(*settled);
        }
    }
    if (waiting) {
        waiting->timer.cancel();
    }
}

store_id turn_client::nearest(const store_map& map) const {
    store_id chosen = 0;
    for (const store_member& member : map.current) {
        const auto known = stores_.find(member.id);
        const bool connected = known != stores_.end() && known->second.link->connected();
        if (connected && (chosen == 0 || member.zone == process_.settings().zone)) {
            chosen = member.id;
        }
    }
    return chosen;
}

void turn_client::send(const store_member& member, const messaging::peer_message& message,
                       instant first_sent) {
    const auto known = stores_.find(member.id);
    if (known == stores_.end()) {
        return;
    }
    const instant now = http::steady_now();
    const bool silent = now - std::max(first_sent, known->second.heard) > silence_limit;
    if (silent) {
        known->second.heard = now;
        known->second.link->reconnect("silent");
        return;
    }
    known->second.link->send(message);
}

asio::awaitable<void> turn_client::wait(std::shared_ptr<waiting_operation> waiting, instant until) {
    waiting->timer.expires_at(std::chrono::steady_clock::time_point(until.time_since_epoch()));
    co_await waiting->timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
}

std::shared_ptr<turn_client::waiting_operation> turn_client::enlist(operation_number number) {
    auto waiting = std::make_shared<waiting_operation>(process_.loop());
    operations_[number] = waiting;
    return waiting;
}

asio::awaitable<begun_turn> turn_client::begin(turn_question question, instant deadline) {
    const operation_number number = next_operation_++;
    begin_operation operation(map_, question.reservation, question.previous, question.budget);
    const auto waiting = enlist(number);
    waiting->begin = &operation;
    const instant started = http::steady_now();
    instant next_chain{};
    std::set<store_id> chain_asked;
    while (operation.outcome() == begin_outcome::pending) {
        const instant now = http::steady_now();
        if (now >= deadline) {
            break;
        }
        if (waiting->schedule.takes_turn(now)) {
            operation.use_map(map_);
            const store_id source = nearest(operation.map());
            chain_asked = {source};
            for (const store_member& member : operation.unanswered()) {
                begin_request request;
                request.operation = number;
                request.epoch = operation.map().epoch;
                request.reservation = question.reservation;
                request.previous = question.previous;
                request.wants_chain = member.id == source;
                if (request.wants_chain) {
                    request.prompt = question.prompt;
                }
                send(member, request, started);
            }
        }
        const std::string missing = operation.missing_turn();
        const bool reserved = operation.reserved() && !missing.empty();
        if (reserved && next_chain == instant{}) {
            next_chain = now + chain_patience;
        }
        if (reserved && now >= next_chain) {
            for (const store_member& member : operation.map().current) {
                if (chain_asked.insert(member.id).second) {
                    send(member, chain_request{number, missing}, started);
                    break;
                }
            }
            next_chain = now + chain_interval;
        }
        instant until = std::min(deadline, waiting->schedule.next());
        if (reserved) {
            until = std::min(until, next_chain);
        }
        co_await wait(waiting, until);
    }
    operations_.erase(number);
    begun_turn begun;
    begun.used_tokens = operation.used_tokens();
    begun.store_answers = operation.answers();
    begun.epoch = operation.map().epoch;
    begun.holders = operation.holders();
    switch (operation.outcome()) {
        case begin_outcome::admitted:
            begun.result = begin_result::admitted;
            for (const turn_record* record : operation.chain()) {
                begun.chain.push_back(*record);
            }
            break;
        case begin_outcome::over_budget:
            begun.result = begin_result::over_budget;
            break;
        case begin_outcome::unknown_previous:
            begun.result = begin_result::unknown_previous;
            break;
        case begin_outcome::pending:
            begun.result = begin_result::unavailable;
            break;
    }
    co_return begun;
}

asio::awaitable<bool> turn_client::settle(turn_settlement settlement, held_prompt held,
                                          instant deadline) {
    const operation_number number = next_operation_++;
    settle_operation operation(map_);
    const auto waiting = enlist(number);
    waiting->settle = &operation;
    const instant started = http::steady_now();
    while (!operation.done()) {
        const instant now = http::steady_now();
        if (now >= deadline) {
            break;
        }
        if (waiting->schedule.takes_turn(now)) {
            operation.use_map(map_);
            for (const store_member& member : operation.unanswered()) {
                settle_request request;
                request.operation = number;
                request.epoch = operation.map().epoch;
                request.settlement = settlement;
                request.held = held;
                send(member, request, started);
            }
        }
        co_await wait(waiting, std::min(deadline, waiting->schedule.next()));
    }
    operations_.erase(number);
    co_return operation.done();
}

void turn_client::settle_later(turn_settlement settlement) {
    ++settling_;
    asio::co_spawn(
        process_.loop(),
        [this, settlement = std::move(settlement)]() mutable -> asio::awaitable<void> {
            const instant deadline = http::steady_now() + background_limit;
            const std::string request = settlement.request;
            held_prompt held_nowhere;
            const bool done =
                co_await settle(std::move(settlement), std::move(held_nowhere), deadline);
            --settling_;
            if (!done) {
                logging::write_event(logging::event_id::turn_unsettled, "request=" + request);
            }
        },
        asio::detached);
}

}  // namespace tallyfold::turns
