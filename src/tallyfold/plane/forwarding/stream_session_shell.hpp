#pragma once
/// @file
/// Origin of the resumable stream of one request: looks it up for a request that resumes a stream,
/// and records it when the first event is relayed. decisions/stream_continuation has the rules,
/// streams/origin_client the messages. Used on the loop thread only.
///
/// An origin is recorded under two names: the identifier of the stream's first request, and the
/// content that all requests of the stream have in common. The second one serves callers that do
/// not name the first request.

#include <asio/awaitable.hpp>
#include <optional>

#include "tallyfold/plane/decisions/stream_continuation.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tallyfold/plane/poison/content_key.hpp"
#include "tallyfold/plane/tenants/tenant_scope.hpp"

namespace tallyfold::forwarding {

class stream_session {
  public:
    /// @param facts, `route` must outlive the session
    /// @param content key of the request's content
    /// @param tenant empty when callers need no key
    /// @param received when the last byte of the request was read
    stream_session(forwarder_context& context, const request_metadata& facts,
                   poison::content_key content, const routing::route& route,
                   const tenants::tenant_name& tenant, instant received);

    /// Finds the origin of the stream that the request resumes, if it resumes one.
    /// @return the answer when the request is refused
    asio::awaitable<std::optional<local_answer>> find_origin();
    /// What the request may be sent to; nothing for a new stream.
    [[nodiscard]] const std::optional<streams::stream_origin>& required_origin() const {
        return required_;
    }
    /// Records the origin of the stream, once. Called before its first event is relayed.
    /// @param origin with an empty version when that is unknown; such a stream can't be resumed
    void first_event(const streams::stream_origin& origin);

  private:
    asio::awaitable<tl::expected<streams::stream_origin, refusal>> determine_origin();
    /// Name of the stream by its content.
    [[nodiscard]] streams::stream_id content_name() const;
    /// Checks that the back ends which may continue the stream are known here.
    [[nodiscard]] bool is_served(const streams::stream_origin& origin) const;
    [[nodiscard]] duration lifetime() const;
    void log_decision(const tl::expected<streams::stream_origin, refusal>& decided,
                      duration waited) const;

    forwarder_context& context_;
    const request_metadata& facts_;
    poison::content_key content_;
    const routing::route& route_;
    tenants::tenant_scope scope_;
    instant received_;
    std::optional<streams::stream_origin> required_;
    streams::lookup_result lookup_;
    bool recorded_ = false;
};

}  // namespace tallyfold::forwarding
