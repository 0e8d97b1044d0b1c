#include "tallyfold/plane/streams/origin_client_shell.hpp"

#include <algorithm>
#include <asio/experimental/as_tuple.hpp>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::streams {

namespace {

/// Format of the messages to stores. A store of an earlier format knows no stream.
constexpr auto required_format = protocol::format_version::v5;
/// Interval at which a query is sent again, in case a connection was lost; several round trips
/// between zones.
constexpr duration resend_interval = std::chrono::milliseconds(60);

/// Number of stores that a record is sent to.
std::size_t copies_among(std::size_t stores) {
    return stores / 2 + 1;
}

}  // namespace

origin_client::origin_client(net::node_process& process, turns::turn_client& stores)
    : process_(process), stores_(stores) {
    stores_.on_origin_answer([this](const origin_answer& answer) { on_answer(answer); });
}

void origin_client::record(const stream_id& stream, const stream_origin& origin,
                           duration lifetime) {
    origin_record record;
    record.stream = stream;
    record.origin = origin;
    record.lifetime_ms = static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(to_milliseconds(lifetime), 0, UINT32_MAX));
    const std::vector<turns::store_member> members = stores_.members_for(stream);
    const std::size_t copies = copies_among(members.size());
    // Starting at a different store for each stream spreads the records over the group.
    const std::size_t first = stable_hash(stream) % std::max<std::size_t>(1, members.size());
    std::size_t sent = 0;
    for (std::size_t step = 0; step < members.size() && sent < copies; ++step) {
        const turns::store_member& member = members[(first + step) % members.size()];
        sent += stores_.send_message(member.id, record, required_format) ? 1 : 0;
    }
}

void origin_client::send_query(const origin_query& query, pending_lookup& pending) {
    const std::set<turns::store_id> unanswered = pending.lookup.unanswered();
    for (const turns::store_id store : unanswered) {
        if (stores_.is_connected(store) && !stores_.supports(store, required_format)) {
            pending.lookup.on_answer(store, {});
        } else {
            stores_.send_message(store, query, required_format);
        }
    }
}

asio::awaitable<lookup_result> origin_client::find(stream_id stream, instant deadline) {
    origin_query query;
    query.query = next_query_++;
    query.stream = std::move(stream);
    std::set<turns::store_id> stores;
    for (const turns::store_member& member : stores_.members_for(query.stream)) {
        stores.insert(member.id);
    }
    const std::size_t copies = copies_among(stores.size());
    const auto pending = std::make_shared<pending_lookup>(process_.loop(), stores, copies);
    lookups_[query.query] = pending;
    instant next_send{};
    while (pending->lookup.state() == lookup_state::undecided) {
        const instant now = steady_now();
        if (now >= deadline) {
            break;
        }
        if (now >= next_send) {
            next_send = now + resend_interval;
            send_query(query, *pending);
            continue;
        }
        pending->timer.expires_at(std::chrono::steady_clock::time_point(
            std::min(deadline, next_send).time_since_epoch()));
        co_await pending->timer.async_wait(asio::experimental::as_tuple(asio::use_awaitable));
    }
    lookups_.erase(query.query);
    lookup_result result;
    result.state = pending->lookup.state();
    result.stores = stores.size();
    result.unanswered = pending->lookup.unanswered().size();
    if (result.state == lookup_state::found) {
        result.origin = pending->lookup.origin();
    }
    co_return result;
}

void origin_client::on_answer(const origin_answer& answer) {
    const auto found = lookups_.find(answer.query);
    if (found != lookups_.end()) {
        found->second->lookup.on_answer(answer.store, answer.origins);
        found->second->timer.cancel();
    }
}

}  // namespace tallyfold::streams
