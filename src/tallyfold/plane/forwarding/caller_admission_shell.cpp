/// @file
/// Who calls, by which route, and whether its tenant's limit lets the call in: the members of
/// request_relay that come before anything is sent.

#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/forwarding/request_relay_shell.hpp"

namespace tallyfold::forwarding {

namespace {

/// A node that may be behind waits this long for a newer configuration before it says that there
/// is no such route or key. Far above a question's way between zones; far inside the time within
/// which a configuration has to be in force.
constexpr duration refresh_limit = std::chrono::milliseconds(100);
/// Part of the time for a key's removal after which a node without proof that it holds the newest
/// configuration trusts no key any more.
constexpr double stale_share = 0.8;

}  // namespace

asio::awaitable<bool> request_relay::refresh_table() {
    const bool confirmed = co_await context_.directory.refresh(refresh_limit);
    table_ = context_.routes;
    co_return confirmed;
}

const routing::route* request_relay::known_route() const {
    const std::string* host = request_.head.headers.find("Host");
    return table_->find(host != nullptr ? *host : std::string{}, request_.head.path());
}

std::string request_relay::describe_proof(duration waited) const {
    const directory::configuration_proof& proof = context_.directory.proof();
    const duration age = http::steady_now() - proof.asked;
    return "version=" + std::to_string(table_->version()) +
           " waited_ms=" + std::to_string(to_milliseconds(waited)) +
           " proof_node=" + (proof.node.empty() ? std::string("-") : proof.node) +
           " proof_version=" + std::to_string(proof.version) +
           " proof_age_ms=" + (proof.node.empty() ? "-" : std::to_string(to_milliseconds(age)));
}

asio::awaitable<bool> request_relay::find_route() {
    route_ = known_route();
    if (route_ != nullptr) {
        co_return true;
    }
    const instant began = http::steady_now();
    const bool confirmed = co_await refresh_table();
    route_ = known_route();
    if (route_ != nullptr) {
        co_return true;
    }
    outcome_ = confirmed ? "no_route" : "refused";
    logging::write_event(logging::event_id::route_unknown,
                         "request=" + facts_.request + " status=" + (confirmed ? "404" : "503") +
                             " " + describe_proof(http::steady_now() - began));
    if (confirmed) {
        co_await answer(404, "no route", retry_after::never());
    } else {
        co_await answer(503, "no route known, and the directory is silent",
                        retry_after::after_recovery());
    }
    co_return false;
}

asio::awaitable<bool> request_relay::identify_caller() {
    if (!table_->keys().required() || route_->is_public) {
        co_return true;
    }
    const settings::node_settings& settings = context_.process.settings();
    const duration stale_after =
        std::chrono::duration_cast<duration>(settings.revocation * stale_share);
    if (settings.refuses_stale_keys &&
        http::steady_now() - context_.directory.proof().asked > stale_after) {
        co_await refuse_caller(503, "stale_keys", retry_after::after_recovery(), duration::zero());
        co_return false;
    }
    tenant_ = table_->keys().find(facts_.credential);
    if (tenant_ != nullptr) {
        co_return true;
    }
    const instant began = http::steady_now();
    const bool confirmed = co_await refresh_table();
    if (!co_await find_route()) {
        co_return false;
    }
    tenant_ = table_->keys().find(facts_.credential);
    if (tenant_ != nullptr || !table_->keys().required() || route_->is_public) {
        co_return true;
    }
    const duration waited = http::steady_now() - began;
    if (confirmed) {
        co_await refuse_caller(401, "unknown_key", retry_after::never(), waited);
    } else {
        co_await refuse_caller(503, "unconfirmed_key", retry_after::after_recovery(), waited);
    }
    co_return false;
}

asio::awaitable<bool> request_relay::take_permit() {
    if (tenant_ == nullptr || !tenant_->is_limited()) {
        co_return true;
    }
    // A turn whose program has used nothing yet may well be its first.
    const bool begins = turn_ && turn_->used_tokens() == 0;
    const auto need = begins ? tenants::permit_need::new_program : tenants::permit_need::under_way;
    const tenants::permit_decision decision = co_await context_.quotas.acquire(tenant_->name, need);
    context_.metrics.permitted(decision);
    if (decision.state == tenants::permit_state::granted) {
        holds_permit_ = true;
        co_return true;
    }
    const bool over_limit = decision.state == tenants::permit_state::over_limit;
    co_await refuse_caller(over_limit ? 429 : 503, over_limit ? "over_limit" : "limit_unknown",
                           retry_after{decision.room_after}, decision.waited);
    co_return false;
}

void request_relay::give_back_unused_permit() {
    const bool ran = outcome_ == "answered" || (policy_ && policy_->runs() > 0);
    if (holds_permit_ && !ran) {
        context_.quotas.give_back(tenant_->name);
    }
    holds_permit_ = false;
}

tenants::tenant_name request_relay::tenant_name() const {
    return tenant_ != nullptr ? tenant_->name : tenants::tenant_name{};
}

asio::awaitable<void> request_relay::refuse_caller(unsigned status, std::string reason,
                                                   retry_after again, duration waited) {
    outcome_ = "refused";
    logging::write_event(logging::event_id::caller_refused,
                         "request=" + facts_.request + " status=" + std::to_string(status) +
                             " reason=" + reason +
                             " key=" + tenants::loggable_key(facts_.credential) +
                             " tenant=" + (tenant_ != nullptr ? tenant_->name : std::string("-")) +
                             " route=" + route_->name + " " + describe_proof(waited));
    co_await answer(status, std::move(reason), again);
}

}  // namespace tallyfold::forwarding
