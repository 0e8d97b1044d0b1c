#pragma once
/// @file
/// The typed form of what the platform's headers say about a request, and the interface through
/// which alone the forwarder reads and writes them. platform/replica_calls implements it; the codec
/// decides nothing.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/http/message.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::forwarding {

/// What a caller's request says beside its method, path and body. Fields that the caller left out,
/// or that can't be read, are empty or 0.
struct request_facts {
    /// Identifier that the caller gave the request.
    std::string request;
    /// Time that the caller waits; nothing when it doesn't say.
    std::optional<duration> caller_timeout;
    /// Identifier of the program that the request is a turn of; empty for none.
    std::string program;
    /// Until the whole program should have ended; nothing when it has no objective.
    std::optional<duration> program_time_left;
    /// Tokens that the whole program may generate; 0 sets no bound.
    token_count budget = 0;
    /// Tokens of the prompt, as the caller counts them.
    token_count prompt_tokens = 0;
    /// Tokens that this request generates at most.
    token_count max_tokens = 0;
    /// Request identifier of the turn that it continues; empty for none.
    std::string previous_turn;
    /// The caller's key; empty for none, or for several. Never logged, never passed on.
    std::string credential;
    /// What the request is about, when the caller says so: back ends work faster on what they know.
    std::string object;
    /// Ends of the prompt's parts, shortest first: the prefixes that an engine may have cached.
    std::vector<scheduling::prefix_point> prompt;
};

/// What the forwarder tells a back end in the headers of one attempt.
struct attempt_marks {
    /// Until the request's deadline; above zero.
    duration time_left{};
    /// The incarnation that alone may run the request.
    std::string incarnation;
    /// Level at which the engine ranks the request; 0 goes first.
    std::int32_t urgency = 0;
    /// Only engines are told the urgency.
    bool is_engine = false;
    /// Whose request it is; empty where callers need no key.
    std::string tenant;
    /// Identifier of the last event that the caller has, after which the back end resumes; empty
    /// for a stream from its beginning.
    std::string last_event;
};

/// What the head of a back end's answer says.
struct answer_facts {
    /// The request that it answers; empty when it doesn't say.
    std::string request;
    /// The back end signed the answer: it is the result of a run.
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
    /// Never fails: what can't be read is left out.
    [[nodiscard]] virtual request_facts read_request(const http::message_head& head) const = 0;
    /// Header fields for a back end, without those that frame the body. Fields that the system
    /// alone sets are dropped from what the caller sent.
    [[nodiscard]] virtual http::header_list backend_headers(const http::message_head& head,
                                                            const attempt_marks& marks) const = 0;
    [[nodiscard]] virtual answer_facts read_answer(const http::message_head& head) const = 0;
};

}  // namespace tallyfold::forwarding
