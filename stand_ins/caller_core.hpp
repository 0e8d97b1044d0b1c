#pragma once
/// @file
/// One caller that runs one program, as pure logic: makes the calls in order, repeats them with
/// the same identity when told to or when the connection is lost, and checks every answer.

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "stand_ins/program_script.hpp"
#include "tallyfold/program_api/transport/messages.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::stand_ins {

using caller_token = std::uint64_t;

/// A request to send to some gateway.
struct caller_action {
    caller_token token = 0;
    protocol::scheduler_call call;
    /// Set for sub-agents' open requests.
    program_id parent;
};

/// The system said that a request was not run; the caller then asked again at `asked_again`.
struct not_run_claim {
    program_id program;
    sequence_number sequence = 0;
    instant told{};
    instant asked_again{};
};

/// What the caller saw, for the checkers.
struct caller_report {
    std::string program_class;
    program_id program;
    token_count budget = 0;
    bool completed = false;
    bool abandoned = false;
    std::uint64_t calls = 0;
    /// Calls that the system gave up on for good.
    std::uint64_t failed_calls = 0;
    /// Answers that were not whole or not this call's own.
    std::uint64_t wrong_answers = 0;
    /// Calls whose answer never came.
    std::uint64_t lost = 0;
    /// Answers with an open outcome, and connections that broke.
    std::uint64_t disturbances = 0;
    std::uint64_t refusals = 0;
    instant started{};
    instant ended{};
    std::vector<duration> first_pieces;
    std::vector<not_run_claim> claims;
    /// Programs of this tree, with the time at which each was closed or left.
    std::map<program_id, instant> members;
    std::vector<std::string> notes;
};

class caller_core {
  public:
    struct settings {
        /// Makes the identities of this run's requests unique.
        std::string run;
        /// A request without any sign of life for this long is sent again. Below the classes' idle
        /// timeout: a caller that is silent for longer has its programs closed as abandoned.
        duration stall_timeout = std::chrono::seconds(8);
        /// The caller calls a request lost after this long.
        duration lost_after = std::chrono::seconds(180);
    };

    caller_core(settings options, program_script script, std::string identity, program_id parent,
                program_id root);

    void start(instant now);
    void on_pieces(caller_token token, const std::vector<std::string>& pieces, instant now);
    void on_answer(caller_token token, const journal::outcome& result, instant now);
    /// The gateway was not reached: it did not get the request.
    void on_refused(caller_token token, instant now);
    /// The connection to the gateway broke after the request was sent.
    void on_disconnected(caller_token token, instant now);
    void tick(instant now);
    std::vector<caller_action> take_actions();

    [[nodiscard]] bool done() const { return phase_ == phase::done; }
    /// Reports of this program; sub-agents' findings are added in.
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
    /// The call has failed for good: the program goes on with its next step, or ends.
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
    instant last_sign_{};
    instant retry_at_{};
    bool waiting_ = false;
    bool claimed_not_run_ = false;
    instant told_not_run_{};
    std::vector<std::unique_ptr<caller_core>> children_;
    std::vector<caller_action> actions_;
    caller_report report_;
};

}  // namespace tallyfold::stand_ins
