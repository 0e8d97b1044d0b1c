#pragma once
/// @file
/// Typed form of the platform's request and answer headers, and the only interface through which
/// the forwarder reads and writes them. Implemented by platform/replica_calls. The codec only
/// translates and makes no decisions.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/http/message.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::forwarding {

/// Metadata of a caller's request from its headers. Fields that are missing or malformed are empty
/// or 0.
struct request_metadata {
    /// Request identifier assigned by the caller.
    std::string request;
    /// Timeout requested by the caller, if any.
    std::optional<duration> caller_timeout;
    /// Identifier of the program that the request belongs to; empty for none.
    std::string program;
    /// Time left until the program's deadline objective; nothing without one.
    std::optional<duration> program_time_left;
    /// Maximum number of tokens that the whole program may generate; 0 for no limit.
    token_count budget = 0;
    /// Number of prompt tokens as counted by the caller.
    token_count prompt_tokens = 0;
    /// Maximum number of tokens that this request generates.
    token_count max_tokens = 0;
    /// Request identifier of the preceding turn; empty for the first turn.
    std::string previous_turn;
    /// Identifier of the request that brought the first event of the stream that this one resumes;
    /// empty when it names none.
    std::string resumed_request;
    /// Identifier of the last event that the caller has of that stream; empty for a new stream.
    std::string last_event;
    /// The caller's key; empty when there is none or more than one. Must not be logged or
    /// forwarded.
    std::string credential;
    /// Key of the object that the request concerns, used for affinity to a back end that has it
    /// cached; empty when the caller names none.
    std::string object;
    /// Prefixes of the prompt that an engine may have cached, shortest first.
    std::vector<scheduling::prefix_point> prompt;
};

/// Values that the forwarder sends to a back end in the headers of one attempt.
struct attempt_headers {
    /// Time left until the request's deadline; greater than zero.
    duration time_left{};
    /// The only incarnation that may run the request.
    std::string incarnation;
    /// Priority level of the request at the engine; 0 is the highest.
    std::int32_t urgency = 0;
    /// The urgency is sent to engines only.
    bool is_engine = false;
    /// Name of the caller's tenant; empty when callers need no key.
    std::string tenant;
    /// Identifier of the last event relayed to the caller, after which the back end resumes the
    /// stream; empty to start from the beginning.
    std::string last_event;
};

/// Metadata of a back end's answer from its headers.
struct answer_metadata {
    /// Identifier of the answered request; empty when missing.
    std::string request;
    /// The answer is signed by the back end, so it is the result of a run.
    bool is_signed = false;
    /// The answer proves that the back end did not run the request.
    bool not_run = false;
    /// The answer comes from another incarnation than the requested one.
    bool wrong_incarnation = false;
    /// Idle timeout of the connection announced by the back end, if any.
    std::optional<duration> idle_timeout;
};

class request_codec {
  public:
    virtual ~request_codec() = default;
    /// Never fails: malformed fields are treated as missing.
    [[nodiscard]] virtual request_metadata read_request(const http::message_head& head) const = 0;
    /// Header fields for a back end, without those that frame the body. Fields reserved to the
    /// system are removed from the caller's headers.
    [[nodiscard]] virtual http::header_list backend_headers(const http::message_head& head,
                                                            const attempt_headers& marks) const = 0;
    [[nodiscard]] virtual answer_metadata read_answer(const http::message_head& head) const = 0;
};

}  // namespace tallyfold::forwarding
