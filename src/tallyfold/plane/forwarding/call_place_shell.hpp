#pragma once
/// @file
/// The place of one request at an engine, over all attempts: builds the question for the
/// dispatcher, and reports and releases the place. dispatch_client exchanges the messages;
/// send_loop owns one for each request. Used on the loop thread only.

#include <asio/awaitable.hpp>
#include <optional>

#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tallyfold/plane/forwarding/stream_pace.hpp"

namespace tallyfold::forwarding {

class call_place {
  public:
    /// @param request must outlive the place
    /// @param used_tokens tokens that the program used before the request
    call_place(forwarder_context& context, const forwarded_request& request,
               token_count used_tokens);

    /// True when the request needs a place of a dispatcher.
    [[nodiscard]] bool is_needed() const;
    /// True when an earlier turn of the program has run.
    [[nodiscard]] bool program_running() const { return used_tokens_ > 0; }
    /// Number for an attempt whose engine this node selects without asking a dispatcher, which it
    /// is reported to when sent.
    [[nodiscard]] place_result without_dispatcher();
    /// Requests a place for the next attempt.
    asio::awaitable<place_result> acquire(const selection_request& question);
    /// Ends the wait of acquire().
    void cancel();
    /// Reports that the attempt is sent to the back end.
    /// @param place result of the latest acquire()
    void sent(const place_result& place, const backend_name& engine);
    /// Releases a place that is not used.
    void give_back(const place_result& place);
    /// Releases the place of the attempt that was sent, if it has not been released yet.
    void release(dispatch::release_outcome outcome, const stream_pace& pace,
                 token_count generated_tokens);

  private:
    [[nodiscard]] dispatch::place_request make_place_request(
        const selection_request& question) const;

    forwarder_context& context_;
    const forwarded_request& request_;
    token_count used_tokens_;
    /// Hash of the program's identifier; 0 without one.
    std::uint64_t program_;
    /// Number of the request for a place that acquire() waits for.
    std::optional<dispatch::call_number> waiting_;
    /// The attempt that holds a place.
    std::optional<dispatch::released_call> held_;
    instant sent_at_{};
};

}  // namespace tallyfold::forwarding
