#pragma once
/// @file
/// Logic of one caller that runs one program: makes the calls in order, retries them with the same
/// identity on retryable errors and lost connections, and checks every answer. Performs no I/O.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/program_script.hpp"
#include "tallyfold/program_api/transport/messages.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::stand_ins {

using caller_token = std::uint64_t;

/// A request to send to any gateway.
struct caller_action {
    caller_token token = 0;
    protocol::scheduler_call call;
    /// Parent program; set only in open requests of sub-agents.
    program_id parent;
};

/// Claim by the system, received at `told`, that a request had not run. It covers the time until
/// the caller's retry at `retried_at`.
struct not_run_claim {
    program_id program;
    sequence_number sequence = 0;
    instant told{};
    instant retried_at{};
};

/// Results recorded by a caller; input of the checkers.
struct caller_report {
    std::string program_class;
    program_id program;
    token_count budget = 0;
    bool completed = false;
    bool abandoned = false;
    std::uint64_t calls = 0;
    /// Calls that the system failed without allowing a retry.
    std::uint64_t failed_calls = 0;
    /// Answers that were truncated or belonged to another call.
    std::uint64_t wrong_answers = 0;
    /// Calls that never received an answer.
    std::uint64_t lost = 0;
    /// Responses with an unknown outcome, and lost connections.
    std::uint64_t disturbances = 0;
    std::uint64_t refusals = 0;
    instant started{};
    instant ended{};
    std::vector<duration> first_pieces;
    std::vector<not_run_claim> claims;
    /// Programs of this tree with the time at which each was closed or abandoned.
    std::map<program_id, instant> members;
    std::vector<std::string> notes;
};

class caller_core {
  public:
    struct settings {
        /// Prefix that makes request identities unique to this run.
        std::string run;
        /// Time without a response after which a request is resent. Must be below the classes' idle
        /// timeout, after which the system closes the caller's program as abandoned.
        duration stall_timeout = std::chrono::seconds(8);
        /// Time after which a request counts as lost.
        duration lost_after = std::chrono::seconds(180);
    };

    caller_core(settings options, program_script script, std::string identity, program_id parent,
                program_id root);

    void start(instant now);
    void on_pieces(caller_token token, const std::vector<std::string>& pieces, instant now);
    void on_answer(caller_token token, const journal::outcome& result, instant now);
    /// The connection was refused; the gateway did not receive the request.
    void on_refused(caller_token token, instant now);
    /// The connection was lost after the request was sent.
    void on_disconnected(caller_token token, instant now);
    void tick(instant now);
    std::vector<caller_action> take_actions();

    [[nodiscard]] bool done() const { return phase_ == phase::done; }
    /// Report of this program, including its sub-agents.
    [[nodiscard]] const caller_report& report() const { return report_; }

  private:
    enum class phase : std::uint8_t { idle, opening, pausing, calling, joining, closing, done };

    void send(instant now);
    void next_step(instant now);
    void begin_step(instant now);
    void begin_children(const script_step& step, instant now);
    void join_children(instant now);
    void finish(instant now);
    void on_ok(const journal::outcome& result, instant now);
    void on_error(const journal::outcome& result, instant now);
    /// Handles a failure that is not retried: the program continues with its next step or ends.
    void on_call_failed(const journal::outcome& result, instant now);
    void retry_at(instant when) { retry_at_ = when; }
    protocol::scheduler_call current_call() const;

    settings settings_;
    program_script script_;
    std::string identity_;
    program_id parent_;
    program_id root_;
    program_id program_;

    phase phase_ = phase::idle;
    std::size_t step_ = 0;
    sequence_number sequence_ = 0;
    std::uint32_t submission_ = 0;
    bool unanswered_ = false;
    scheduling::prefix_point history_;
    caller_token current_ = 0;
    std::vector<std::string> pieces_;
    instant first_sent_{};
    instant last_response_at_{};
    instant retry_at_{};
    bool waiting_ = false;
    bool has_not_run_claim_ = false;
    instant not_run_claim_at_{};
    std::vector<std::unique_ptr<caller_core>> children_;
    std::vector<caller_action> actions_;
    caller_report report_;
};

}  // namespace tallyfold::stand_ins
