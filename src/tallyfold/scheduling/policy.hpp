#pragma once
/// @file
/// Operators' policies: short Lua programs, run with limited instructions and memory and without
/// access to files, processes, clocks or random numbers.

#include <cstdint>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace tallyfold::scheduling {

/// Time left, in milliseconds, of a program without a time objective.
constexpr double no_time_objective_ms = 3'600'000;

/// Features of a call that are passed to a policy.
struct call_features {
    std::string program_class;
    double priority = 0;
    /// Tokens used so far by the whole program, root and sub-agents.
    double attained_tokens = 0;
    double turns = 0;
    /// Time of the program's first call at this scheduler, in milliseconds on the scheduler's
    /// clock; lower is older.
    double started_ms = 0;
    double prompt_tokens = 0;
    double max_tokens = 0;
    double budget_left = 0;
    /// The tenant's running calls at this scheduler.
    double tenant_running = 0;
    bool is_sub_agent = false;
    /// Time until the whole program should have ended, in milliseconds; negative after that.
    double time_left_ms = no_time_objective_ms;
    /// Current mean duration of a call of this kind from its first sending to its end, in
    /// milliseconds; 0 while unknown.
    double call_ms = 0;
    /// Priority of the tenant, 0 first; 0 when callers need no key.
    double tenant_priority = 0;
};

/// Features of an engine for one call that are passed to a policy.
struct engine_features {
    /// Tokens of the call's prompt that the engine is estimated to hold.
    double cached_tokens = 0;
    double uncached_tokens = 0;
    /// Calls running there: this scheduler's own, plus the others' as last reported.
    double outstanding = 0;
    double slots = 1;
    /// Prompt tokens sent there for calls without a first output token yet.
    double pending_prefill_tokens = 0;
    /// Time to process the uncached tokens, and the pending ones, on an idle engine, in
    /// milliseconds.
    double read_ms = 0;
    double pending_read_ms = 0;
    /// Time between two events of a stream, currently and on an idle engine, in milliseconds; 0
    /// while unknown.
    double gap_ms = 0;
    double idle_gap_ms = 0;
    /// Share of the cache that is in use, 0 to 1.
    double cache_fill = 0;
    bool same_zone = false;
};

/// Features of a program, after one of its calls, that are passed to a policy.
struct program_features {
    std::string program_class;
    double priority = 0;
    double history_tokens = 0;
    double turns = 0;
    /// As in call_features.
    double started_ms = 0;
    double attained_tokens = 0;
    /// Mean pause between the program's calls so far, in milliseconds.
    double mean_pause_ms = 0;
    bool is_sub_agent = false;
};

/// Reason why a policy was rejected or failed.
struct policy_error {
    /// Line in the policy; 0 when the failure has none.
    int line = 0;
    std::string reason;
};

/// One compiled policy. Not thread-safe.
class policy {
  public:
    static constexpr int instruction_limit = 20'000;
    static constexpr std::size_t memory_limit = 1U << 20U;

    /// Compiles `text` and runs each function on sample features.
    static tl::expected<std::unique_ptr<policy>, policy_error> compile(const std::string& text);
    ~policy();
    policy(const policy&) = delete;
    policy& operator=(const policy&) = delete;

    /// Rank of a waiting call; lower goes first.
    tl::expected<double, policy_error> order(const call_features& call);
    /// Priority level of the call at engines, 0 first. Only for policies that define `urgency`.
    tl::expected<double, policy_error> urgency(const call_features& call);
    /// True when the policy defines the optional function `urgency`.
    [[nodiscard]] bool ranks_urgency() const { return ranks_urgency_; }
    /// Cost of running the call on the engine; lower is better.
    tl::expected<double, policy_error> place(const call_features& call,
                                             const engine_features& engine);
    /// Value of keeping the program's history cached; higher is kept longer.
    tl::expected<double, policy_error> retain(const program_features& program);

  private:
    struct runtime;
    explicit policy(std::unique_ptr<runtime> state);
    std::unique_ptr<runtime> runtime_;
    bool ranks_urgency_ = false;
};

}  // namespace tallyfold::scheduling
