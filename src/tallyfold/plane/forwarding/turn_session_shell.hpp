#pragma once
/// @file
/// A request's turn of a program at the stores. Begins the turn before the request runs, which
/// reserves tokens and reads the conversation history, and settles it before the answer ends. The
/// rules are in turns/. Used on the loop thread only.

#include <asio/awaitable.hpp>
#include <string>

#include "tallyfold/plane/forwarding/forwarder_context.hpp"
#include "tallyfold/plane/tenants/tenant_scope.hpp"

namespace tallyfold::forwarding {

class turn_session {
  public:
    /// Time limit for beginning a turn at the stores; the request's deadline may end it earlier.
    /// Allows for two resends, after 250 and 750 ms (resend_schedule).
    static constexpr duration begin_timeout = std::chrono::milliseconds(1'500);
    /// Time limit for settling a turn whose answer waits for it. Longer than begin_timeout, because
    /// the tokens are spent and an unsettled answer is lost.
    static constexpr duration settle_timeout = std::chrono::milliseconds(2'500);

    /// @param facts and `route` must outlive the session
    /// @param tenant owner of the turn; empty when callers need no key
    turn_session(forwarder_context& context, const request_metadata& facts,
                 const routing::route& route, const tenants::tenant_name& tenant);

    /// Reserves the tokens that the turn may generate.
    /// @param history receives the inputs and outputs of the preceding turns, oldest first
    asio::awaitable<turns::begin_result> begin(instant deadline, std::string& history);
    /// Stores the end of a completely answered turn durably. @return false when no majority of the
    /// stores acknowledged it
    /// @param cached prefixes of the turn that the answering engine has cached
    asio::awaitable<bool> settle(token_count tokens, std::string input, std::string output,
                                 turns::cached_prompt cached);
    /// Settles an open turn that was not completely answered, in the background.
    void settle_unanswered(token_count tokens);
    /// True from begin() until the turn is settled.
    [[nodiscard]] bool open() const { return open_; }
    /// Tokens that the program had used before this turn.
    [[nodiscard]] token_count used_tokens() const { return used_tokens_; }
    /// Store fields for the log line of the request.
    [[nodiscard]] std::string log_fields() const;

  private:
    [[nodiscard]] turns::turn_settlement settlement(token_count tokens) const;
    [[nodiscard]] std::uint32_t retention_ms() const;
    void log_refusal(const turns::begin_decision& begun) const;

    forwarder_context& context_;
    const request_metadata& facts_;
    const routing::route& route_;
    /// Scopes program and request identifiers to the tenant.
    tenants::tenant_scope scope_;
    bool open_ = false;
    duration store_time_{};
    std::size_t store_answers_ = 0;
    /// Store group of the program, and epoch of the store map when the turn began.
    turns::group_number store_group_ = 0;
    turns::map_epoch store_epoch_ = 0;
    token_count used_tokens_ = 0;
    /// History read from another store group, which the settlement writes to this turn's group.
    std::vector<turns::turn_record> adopted_history_;
    std::size_t adopted_turns_ = 0;
};

}  // namespace tallyfold::forwarding
