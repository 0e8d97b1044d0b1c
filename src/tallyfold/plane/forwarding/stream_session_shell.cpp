#include "tallyfold/plane/forwarding/stream_session_shell.hpp"

#include <algorithm>
#include <asio/use_awaitable.hpp>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/decisions/time_budget.hpp"

namespace tallyfold::forwarding {

namespace {

/// Time limit of a lookup: longer than stores take whose disk or processor is busy, and half of the
/// least time for which callers wait for an event.
constexpr duration lookup_timeout = std::chrono::seconds(1);
/// Time that a record outlives the caller's own timeout, for clocks and for messages under way.
constexpr duration lifetime_margin = std::chrono::seconds(2);

}  // namespace

stream_session::stream_session(forwarder_context& context, const request_metadata& facts,
                               poison::content_key content, const routing::route& route,
                               const tenants::tenant_name& tenant, instant received)
    : context_(context),
      facts_(facts),
      content_(content),
      route_(route),
      scope_(tenant),
      received_(received) {}

asio::awaitable<std::optional<local_answer>> stream_session::find_origin() {
    if (!resumes_stream(route_, {facts_.resumed_request, facts_.last_event})) {
        co_return std::nullopt;
    }
    const instant started = http::steady_now();
    tl::expected<streams::stream_origin, refusal> decided = co_await determine_origin();
    if (decided && !is_served(*decided)) {
        decided = tl::unexpected(refusal::stream_version_gone);
    }
    log_decision(decided, http::steady_now() - started);
    if (!decided) {
        co_return answer_to(decided.error());
    }
    required_ = *decided;
    co_return std::nullopt;
}

asio::awaitable<tl::expected<streams::stream_origin, refusal>> stream_session::determine_origin() {
    if (!context_.turns.has_store_table()) {
        co_return tl::unexpected(refusal::no_store);
    }
    const bool is_named = !facts_.resumed_request.empty();
    // Not within the co_await expression: GCC 12 destroys such a conditional temporary twice.
    const std::string name = is_named ? facts_.resumed_request : content_name();
    lookup_ =
        co_await context_.origins.find(scope_.scoped(name), http::steady_now() + lookup_timeout);
    co_return origin_of_resumed(route_, lookup_.state, lookup_.origin);
}

streams::stream_id stream_session::content_name() const {
    // Requests of two programs may have the same content.
    const std::uint64_t hash = combine_hash(content_, stable_hash(facts_.program));
    return std::string("#").append(poison::to_string(hash));
}

bool stream_session::is_served(const streams::stream_origin& origin) const {
    const std::vector<std::string> versions = context_.backends.versions_of(origin.service);
    return std::find(versions.begin(), versions.end(), origin.version) != versions.end();
}

duration stream_session::lifetime() const {
    // The route's timeout ends one attempt; the caller may resume for as long as it waits itself.
    const duration timeout = facts_.caller_timeout.value_or(time_budget::default_caller_timeout);
    return timeout - (http::steady_now() - received_) + lifetime_margin;
}

void stream_session::first_event(const streams::stream_origin& origin) {
    if (recorded_) {
        return;
    }
    recorded_ = true;
    const std::string& named = facts_.resumed_request;
    const std::string& stream = named.empty() ? facts_.request : named;
    if (origin.version.empty() || !context_.turns.has_store_table()) {
        return;
    }
    if (!stream.empty()) {
        context_.origins.record(scope_.scoped(stream), origin, lifetime());
    }
    context_.origins.record(scope_.scoped(content_name()), origin, lifetime());
}

void stream_session::log_decision(const tl::expected<streams::stream_origin, refusal>& decided,
                                  duration waited) const {
    const std::string outcome = decided ? "resumed" : answer_to(decided.error()).reason;
    context_.metrics.count_resumed_stream(decided ? "resumed" : "refused");
    logging::write_event(
        logging::event_id::stream_resumed,
        "request=" + facts_.request +
            " stream=" + (facts_.resumed_request.empty() ? "-" : facts_.resumed_request) +
            " content=" + poison::to_string(content_) +
            " after_event=" + (facts_.last_event.empty() ? "-" : facts_.last_event) +
            " route=" + route_.name + " service=" + (decided ? decided->service : "-") +
            " backend_version=" + (decided ? decided->version : "-") +
            " stores=" + std::to_string(lookup_.stores) +
            " unanswered=" + std::to_string(lookup_.unanswered) + " list_age_ms=" +
            std::to_string(to_milliseconds(http::steady_now() - context_.backends.listed_at())) +
            " waited_ms=" + std::to_string(to_milliseconds(waited)) + " outcome=\"" + outcome +
            "\"");
}

}  // namespace tallyfold::forwarding
