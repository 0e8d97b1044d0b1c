#include "tallyfold/program_api/gateway/gateway_core.hpp"

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"

namespace tallyfold::gateway {

namespace {

using journal::answer_code;
using journal::outcome;
using journal::ran_state;

constexpr duration owner_search_interval = std::chrono::milliseconds(50);
constexpr std::uint32_t no_owner_retry_after_ms = 500;
constexpr std::uint32_t overloaded_retry_after_ms = 1000;
constexpr std::uint32_t stopping_retry_after_ms = 100;

outcome refusal(answer_code code, ran_state ran, std::string detail, std::uint32_t retry_after_ms) {
    outcome result;
    result.code = code;
    result.ran = ran;
    result.detail = std::move(detail);
    result.retry_after_ms = retry_after_ms;
    return result;
}

/// `ran` of an error for a request that is not forwarded: an earlier submission may have run.
ran_state ran_if_refused(const protocol::scheduler_call& call) {
    const auto* request = std::get_if<protocol::program_call>(&call);
    return request != nullptr && request->unanswered ? ran_state::unknown : ran_state::no;
}

program_id program_of(const protocol::scheduler_call& call) {
    return std::visit(
        [](const auto& body) {
            if constexpr (std::is_same_v<std::decay_t<decltype(body)>, protocol::open_call>) {
                return body.program.id;
            } else {
                return body.program;
            }
        },
        call);
}

}  // namespace

gateway_core::gateway_core(gateway_settings settings)
    : settings_(std::move(settings)),
      session_({settings_.node, protocol::node_role::gateway, settings_.address, settings_.zone,
                settings_.control_nodes, settings_.heartbeat_interval,
                settings_.configuration_lease}),
      next_correlation_(random_source(settings_.seed).next()) {}

bool gateway_core::ready(instant now) const {
    return !draining_ && session_.configuration_fresh(now) && !session_.schedulers().empty();
}

gateway_output gateway_core::take_output() {
    gateway_output taken;
    std::swap(taken, output_);
    return taken;
}

void gateway_core::answer(request_token token, outcome result) {
    ++counters_.answers;
    counters_.refusals += result.code == answer_code::ok ? 0 : 1;
    output_.answers.push_back({token, std::move(result)});
}

node_name gateway_core::owner_of(const program_id& program) const {
    const journal::shard_lease lease =
        session_.lease_of(journal::shard_of(program, settings_.shard_count));
    return session_.schedulers().contains(lease.holder) ? lease.holder : node_name{};
}

gateway_core::pending_request* gateway_core::find(protocol::correlation_id correlation) {
    const auto token = by_correlation_.find(correlation);
    return token == by_correlation_.end() ? nullptr : &pending_.at(token->second);
}

void gateway_core::submit(request_token token, protocol::scheduler_call call, instant now) {
    ++counters_.requests;
    const ran_state ran = ran_if_refused(call);
    if (draining_) {
        answer(token, refusal(answer_code::stopping, ran, "this gateway is stopping; use another",
                              stopping_retry_after_ms));
        return;
    }
    if (pending_.size() >= settings_.request_limit) {
        answer(token, refusal(answer_code::overloaded, ran, "too many requests are under way here",
                              overloaded_retry_after_ms));
        return;
    }
    const bool inspects = std::holds_alternative<protocol::inspect_call>(call);
    if (!session_.configuration_fresh(now) && !inspects) {
        answer(token, refusal(answer_code::configuration_stale, ran,
                              "the gateway cannot confirm that its configuration is current",
                              no_owner_retry_after_ms));
        return;
    }
    const program_id program = program_of(call);
    if (owner_of(program).empty()) {
        answer(token,
               refusal(answer_code::no_owner, ran, "no scheduler owns the program at the moment",
                       no_owner_retry_after_ms));
        return;
    }
    pending_request& request = pending_[token];
    request.token = token;
    request.program = program;
    request.call = std::move(call);
    forward(request, now);
}

void gateway_core::drop_request(request_token token) {
    const auto found = pending_.find(token);
    if (found == pending_.end()) {
        return;
    }
    by_correlation_.erase(found->second.correlation);
    pending_.erase(found);
}

void gateway_core::forward(pending_request& request, instant now) {
    const node_name owner = owner_of(request.program);
    if (owner.empty()) {
        request.next_try = now + owner_search_interval;
        return;
    }
    by_correlation_.erase(request.correlation);
    request.correlation = next_correlation_++;
    by_correlation_[request.correlation] = request.token;
    request.owner = owner;
    request.forwarded = true;
    request.searching_owner = false;
    if (auto* call = std::get_if<protocol::program_call>(&request.call)) {
        call->delivered = request.delivered;
    }
    output_.messages.push_back(
        {owner, protocol::scheduler_request{request.correlation, request.call}});
}

void gateway_core::start_owner_search(pending_request& request, instant now) {
    ++counters_.failovers;
    if (request.search_started == instant{}) {
        request.search_started = now;
    }
    by_correlation_.erase(request.correlation);
    request.searching_owner = true;
    request.next_try = now + owner_search_interval;
}

void gateway_core::fail_without_owner(pending_request& request) {
    const ran_state ran = request.maybe_ran ? ran_state::unknown : ran_if_refused(request.call);
    answer(request.token, refusal(answer_code::no_owner, ran,
                                  "the program's owner is gone and no other has taken over; "
                                  "repeat the request with the same identity",
                                  no_owner_retry_after_ms));
    drop_request(request.token);
}

void gateway_core::receive(const node_name& from, const protocol::internal_message& message,
                           instant now) {
    (void)from;
    if (const auto* pieces = std::get_if<protocol::answer_pieces>(&message)) {
        on_pieces(*pieces);
    } else if (const auto* reply = std::get_if<protocol::scheduler_reply>(&message)) {
        on_reply(*reply, now);
    } else if (const auto* configured = std::get_if<protocol::configuration_update>(&message)) {
        session_.on_configuration(*configured);
    } else if (const auto* leases = std::get_if<protocol::lease_update>(&message)) {
        if (session_.on_leases(*leases)) {
            on_leases_changed(now);
        }
    }
}

void gateway_core::on_leases_changed(instant now) {
    for (auto& [token, request] : pending_) {
        const node_name owner = owner_of(request.program);
        const bool moved = !request.searching_owner && !owner.empty() && owner != request.owner;
        if (moved) {
            // The old owner may have run the call; the new owner can tell from the journal.
            request.maybe_ran = true;
            start_owner_search(request, now);
        }
    }
}

void gateway_core::on_pieces(const protocol::answer_pieces& pieces) {
    pending_request* request = find(pieces.correlation);
    if (request == nullptr || pieces.offset > request->delivered.size()) {
        return;
    }
    request->search_started = {};
    const std::size_t known = request->delivered.size() - pieces.offset;
    if (known >= pieces.pieces.size()) {
        return;
    }
    client_pieces added;
    added.token = request->token;
    added.pieces.assign(pieces.pieces.begin() + static_cast<std::ptrdiff_t>(known),
                        pieces.pieces.end());
    request->delivered.insert(request->delivered.end(), added.pieces.begin(), added.pieces.end());
    output_.pieces.push_back(std::move(added));
}

void gateway_core::on_reply(const protocol::scheduler_reply& reply, instant now) {
    pending_request* request = find(reply.correlation);
    if (request == nullptr) {
        return;
    }
    if (reply.result.code == answer_code::owner_changed) {
        request->maybe_ran = request->maybe_ran || reply.result.ran != ran_state::no;
        start_owner_search(*request, now);
        return;
    }
    send_missing_text(*request, reply.result);
    answer(request->token, reply.result);
    drop_request(request->token);
}

void gateway_core::send_missing_text(pending_request& request, const outcome& result) {
    if (request.delivered.empty() || result.code != answer_code::ok) {
        return;
    }
    std::string delivered;
    for (const std::string& piece : request.delivered) {
        delivered += piece;
    }
    // Pieces can be lost with a connection; the final answer contains the whole text.
    if (result.answer.size() > delivered.size() && result.answer.starts_with(delivered)) {
        output_.pieces.push_back({request.token, {result.answer.substr(delivered.size())}});
    }
}

void gateway_core::peer_lost(const node_name& node, instant now) {
    for (auto& [token, request] : pending_) {
        if (request.owner == node && !request.searching_owner) {
            request.maybe_ran = true;
            start_owner_search(request, now);
        }
    }
}

void gateway_core::tick(instant now) {
    for (protocol::outbound_message& heartbeat : session_.tick(now)) {
        output_.messages.push_back(std::move(heartbeat));
    }
    std::vector<request_token> expired;
    for (auto& [token, request] : pending_) {
        if (!request.searching_owner) {
            continue;
        }
        if (now - request.search_started > settings_.failover_limit) {
            expired.push_back(token);
        } else if (now >= request.next_try) {
            forward(request, now);
        }
    }
    for (const request_token token : expired) {
        fail_without_owner(pending_.at(token));
    }
}

}  // namespace tallyfold::gateway
