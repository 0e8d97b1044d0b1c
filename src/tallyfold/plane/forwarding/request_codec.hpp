#pragma once
/// @file
/// How callers and back ends spell what the forwarder decides by. The forwarder sees their headers
/// through this interface only.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/http/message.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::forwarding {

/// What a caller's request says beside its method, path and body.
struct request_facts {
    std::string request;
    /// Time that the caller waits; nothing when it doesn't say.
    std::optional<duration> patience;
    std::string program;
    /// Until the whole program should have ended; nothing when it has no objective.
    std::optional<duration> program_time_left;
    /// Tokens that the whole program may generate; 0 sets no bound.
    token_count budget = 0;
    token_count prompt_tokens = 0;
    /// Tokens that this request generates at most.
    token_count max_tokens = 0;
    /// The turn that it continues; empty for none.
    std::string previous_turn;
    /// The caller's key; empty for none, or for several. Never logged, never passed on.
    std::string credential;
    /// What the request is about, when the caller says so: back ends work faster on what they know.
    std::string object;
    /// Ends of the prompt's parts, shortest first.
    std::vector<scheduling::prefix_point> prompt;
};

/// What the forwarder tells a back end.
struct attempt_marks {
    duration time_left{};
    /// The incarnation that alone may run the request.
    std::string incarnation;
    /// Level at which the engine ranks the request; 0 goes first.
    std::int32_t urgency = 0;
    bool is_engine = false;
    /// Whose request it is; empty where callers need no key.
    std::string tenant;
    /// Identifier of the last event that the caller has; empty for a stream from its beginning.
    std::string last_event;
};

/// What the head of a back end's answer says.
struct answer_facts {
    /// The request that it answers; empty when it doesn't say.
    std::string request;
    /// The back end vouches for the answer.
    bool is_signed = false;
    /// The back end proves that it did not run the request.
    bool not_run = false;
    /// Another incarnation than the one asked for answered.
    bool wrong_incarnation = false;
    /// Time for which the connection may be idle; nothing when it isn't said.
    std::optional<duration> idle_limit;
};

class request_codec {
  public:
    virtual ~request_codec() = default;
    [[nodiscard]] virtual request_facts read_request(const http::message_head& head) const = 0;
    /// Header fields for a back end, without those that frame the body.
    [[nodiscard]] virtual http::header_list backend_headers(const http::message_head& head,
                                                            const attempt_marks& marks) const = 0;
    [[nodiscard]] virtual answer_facts read_answer(const http::message_head& head) const = 0;
};

}  // namespace tallyfold::forwarding
