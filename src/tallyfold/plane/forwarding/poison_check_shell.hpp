#pragma once
/// @file
/// Decides whether one request may be sent to a back end: not when several back ends have ended
/// under its content. Owns the key of the content, which it computes on first use. Used on the loop
/// thread only.

#include <optional>

#include "tallyfold/plane/decisions/local_answer.hpp"
#include "tallyfold/plane/forwarding/forwarded_request.hpp"
#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tallyfold/plane/poison/content_key.hpp"

namespace tallyfold::forwarding {

class poison_check {
  public:
    /// @param request must outlive the check
    poison_check(forwarder_context& context, const forwarded_request& request)
        : context_(context), request_(request) {}

    /// Key of the request's content.
    [[nodiscard]] poison::content_key content();
    /// To be asked before each send.
    [[nodiscard]] bool may_send();
    /// Logs and counts that the request is not sent. Requires that may_send() is false.
    /// @param sends number of earlier sends
    /// @return the answer of a request that has not run
    local_answer refuse(std::uint32_t sends);
    /// Records that a back end has answered the request whole.
    void record_answer();
    /// Records that a back end ended under this client attempt.
    void record_end() { ++ended_; }

  private:
    forwarder_context& context_;
    const forwarded_request& request_;
    std::optional<poison::content_key> content_;
    /// Number of back ends that ended under this client attempt.
    std::size_t ended_ = 0;
};

}  // namespace tallyfold::forwarding
