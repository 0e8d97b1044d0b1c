#include "tallyfold/plane/forwarding/caller_admission_shell.hpp"

#include <asio/use_awaitable.hpp>

#include "tallyfold/base/logging/event_log.hpp"

namespace tallyfold::forwarding {

namespace {

/// Maximum wait for a newer configuration before an unknown route or key is refused. Covers two
/// queries to directory nodes, the second of which is sent after 50 ms.
constexpr duration refresh_timeout = std::chrono::milliseconds(100);

}  // namespace

caller_admission::caller_admission(forwarder_context& context, const http::message_head& head,
                                   const request_metadata& facts)
    : context_(context), head_(head), facts_(facts) {}

asio::awaitable<std::optional<local_answer>> caller_admission::identify() {
    table_ = context_.routes;
    if (!table_) {
        co_return answer_to(refusal::no_configuration);
    }
    std::optional<local_answer> refused = co_await find_route();
    if (!refused) {
        refused = co_await find_tenant();
    }
    co_return refused;
}

asio::awaitable<bool> caller_admission::refresh_table() {
    const bool confirmed = co_await context_.directory.refresh(refresh_timeout);
    table_ = context_.routes;
    co_return confirmed;
}

const routing::route* caller_admission::lookup_route() const {
    const std::string* host = head_.headers.find("Host");
    return table_->find(host != nullptr ? *host : std::string{}, head_.path());
}

asio::awaitable<std::optional<local_answer>> caller_admission::find_route() {
    route_ = lookup_route();
    if (route_ != nullptr) {
        co_return std::nullopt;
    }
    const instant refresh_started = http::steady_now();
    const bool confirmed = co_await refresh_table();
    route_ = lookup_route();
    if (route_ != nullptr) {
        co_return std::nullopt;
    }
    const local_answer refused = answer_to(refusal_of_unknown_route(confirmed));
    logging::write_event(logging::event_id::route_unknown,
                         "request=" + facts_.request + " status=" + std::to_string(refused.status) +
                             " " + describe_proof(http::steady_now() - refresh_started));
    co_return refused;
}

asio::awaitable<std::optional<local_answer>> caller_admission::find_tenant() {
    if (!table_->keys().required() || route_->is_public) {
        co_return std::nullopt;
    }
    const settings::node_settings& settings = context_.process.settings();
    if (settings.refuses_stale_keys && keys_are_stale(proof_age(), settings.revocation)) {
        const local_answer refused = answer_to(refusal::stale_keys);
        log_refusal(refused, duration::zero());
        co_return refused;
    }
    tenant_ = table_->keys().find(facts_.credential);
    if (tenant_ != nullptr) {
        co_return std::nullopt;
    }
    const instant refresh_started = http::steady_now();
    const bool confirmed = co_await refresh_table();
    // The refresh may have changed or removed the route.
    std::optional<local_answer> without_route = co_await find_route();
    if (without_route) {
        co_return without_route;
    }
    tenant_ = table_->keys().find(facts_.credential);
    if (tenant_ != nullptr || !table_->keys().required() || route_->is_public) {
        co_return std::nullopt;
    }
    const local_answer refused = answer_to(refusal_of_unknown_key(confirmed));
    log_refusal(refused, http::steady_now() - refresh_started);
    co_return refused;
}

asio::awaitable<std::optional<local_answer>> caller_admission::take_permit(
    tenants::permit_need need) {
    if (tenant_ == nullptr || !tenant_->is_limited()) {
        co_return std::nullopt;
    }
    const tenants::permit_decision decision = co_await context_.quotas.acquire(tenant_->name, need);
    context_.metrics.count_permit_decision(decision);
    if (decision.state == tenants::permit_state::granted) {
        permit_acquired_at_ = decision.taken;
        co_return std::nullopt;
    }
    const local_answer refused = answer_without_permit(decision);
    log_refusal(refused, decision.waited);
    co_return refused;
}

void caller_admission::return_permit() {
    if (!permit_acquired_at_) {
        return;
    }
    const bool free_again = context_.quotas.return_permit(tenant_->name, *permit_acquired_at_);
    const duration held = http::steady_now() - *permit_acquired_at_;
    logging::write_event(logging::event_id::permit_given_back,
                         "request=" + facts_.request + " tenant=" + tenant_->name +
                             " held_ms=" + std::to_string(to_milliseconds(held)) +
                             " free_again=" + (free_again ? "yes" : "no"));
    permit_acquired_at_.reset();
}

duration caller_admission::proof_age() const {
    return http::steady_now() - context_.directory.proof().requested_at;
}

std::string caller_admission::describe_proof(duration waited) const {
    const directory::configuration_proof& proof = context_.directory.proof();
    const bool proved = !proof.node.empty();
    return "version=" + std::to_string(table_->version()) +
           " waited_ms=" + std::to_string(to_milliseconds(waited)) +
           " proof_node=" + (proved ? proof.node : std::string("-")) +
           " proof_version=" + std::to_string(proof.version) +
           " proof_age_ms=" + (proved ? std::to_string(to_milliseconds(proof_age())) : "-");
}

void caller_admission::log_refusal(const local_answer& answer, duration waited) const {
    logging::write_event(logging::event_id::caller_refused,
                         "request=" + facts_.request + " status=" + std::to_string(answer.status) +
                             " reason=" + answer.reason +
                             " key=" + tenants::loggable_key(facts_.credential) +
                             " tenant=" + (tenant_ != nullptr ? tenant_->name : std::string("-")) +
                             " route=" + route_->name + " " + describe_proof(waited));
}

}  // namespace tallyfold::forwarding
