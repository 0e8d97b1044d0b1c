#pragma once
/// @file
/// The turn of a program that one request is, at the stores: begun before the request runs, which
/// reserves its tokens and reads the conversation history, and settled before its answer ends.
/// Belongs to the loop thread; turns/ decides.

#include <asio/awaitable.hpp>
#include <string>

#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tallyfold/plane/tenants/tenant_scope.hpp"

namespace tallyfold::forwarding {

class turn_session {
  public:
    /// Time that the stores get to begin a turn. Chosen, not measured: room for two resends, after
    /// 250 and 750 ms (resend_schedule); the request's own deadline ends it earlier.
    static constexpr duration begin_limit = std::chrono::milliseconds(1'500);
    /// Time that they get to settle one whose answer waits for it. Chosen, not measured: longer
    /// than to begin, since the tokens have been spent and only a settled answer is kept.
    static constexpr duration settle_limit = std::chrono::milliseconds(2'500);

    /// @param facts and `route` have to outlive the session
    /// @param tenant whose turn it is; empty where callers need no key
    turn_session(forwarder_context& context, const request_facts& facts,
                 const routing::route& route, const tenants::tenant_name& tenant);

    /// Reserves the tokens that the turn may generate.
    /// @param history gets the inputs and outputs of the turns before it, oldest first
    asio::awaitable<turns::begin_result> begin(instant deadline, std::string& history);
    /// Makes the end of a turn that was answered whole durable. @return false when no majority of
    /// the stores has taken it
    /// @param held what the engine that answered holds of the turn now
    asio::awaitable<bool> settle(token_count tokens, std::string input, std::string output,
                                 turns::cached_prompt held);
    /// Settles in the background what was begun and not settled: the turn was not answered whole.
    void settle_unanswered(token_count tokens);
    /// True between begin() and the end.
    [[nodiscard]] bool open() const { return open_; }
    /// What the program had used before the turn began.
    [[nodiscard]] token_count used_tokens() const { return used_tokens_; }
    /// For the request's log line.
    [[nodiscard]] std::string log_fields() const;

  private:
    [[nodiscard]] turns::turn_settlement settlement(token_count tokens) const;
    [[nodiscard]] std::uint32_t retention_ms() const;
    void log_refusal(const turns::begun_turn& begun) const;

    forwarder_context& context_;
    const request_facts& facts_;
    const routing::route& route_;
    /// Of the identifiers that the stores know.
    tenants::tenant_scope scope_;
    bool open_ = false;
    duration store_time_{};
    std::size_t store_answers_ = 0;
    /// The group that keeps the program, and the epoch of its map at the decision.
    turns::group_number store_group_ = 0;
    turns::map_epoch store_epoch_ = 0;
    token_count used_tokens_ = 0;
    /// The history before the turn when another group of stores keeps it, until this turn's group
    /// gets it with the settlement.
    std::vector<turns::turn_record> adopted_;
    std::size_t adopted_turns_ = 0;
};

}  // namespace tallyfold::forwarding
