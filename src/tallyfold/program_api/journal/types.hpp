#pragma once
/// @file
/// Durable program data: records, calls, outcomes, and the journal commands that change them.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "tallyfold/base/common/types.hpp"

namespace tallyfold::journal {

/// Whether a back end executed a request.
enum class ran_state : std::uint8_t { no, yes, unknown };

/// Result codes of requests. Their texts are part of the public API and must not change.
enum class answer_code : std::uint8_t {
    ok,
    malformed,
    too_large,
    unauthorized,
    unknown_tenant,
    unknown_class,
    program_not_found,
    program_closed,
    sequence_out_of_order,
    identity_conflict,
    over_budget,
    too_many_turns,
    overloaded,
    no_owner,
    owner_changed,
    configuration_stale,
    stopping,
    deadline_exceeded,
    no_backend,
    backend_failed,
    outcome_unknown,
    answer_expired,
    cancelled,
};

std::string_view to_string(answer_code code);
std::string_view to_string(ran_state state);

enum class call_kind : std::uint8_t {
    /// Completion by a model engine.
    model,
    /// Request to an app service replica.
    app,
    /// Request to a tool service; the program waits for the result.
    tool,
};

std::string_view to_string(call_kind kind);

/// One message of a conversation.
struct message {
    std::string role;
    std::string content;
    token_count tokens = 0;

    bool operator==(const message&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(role, content, tokens);
    }
};

/// Final result of one request.
struct outcome {
    answer_code code = answer_code::ok;
    ran_state ran = ran_state::no;
    /// Sentence that tells the caller what to do.
    std::string detail;
    /// Suggested delay before a retry, in milliseconds; 0 if a retry does not help.
    std::uint32_t retry_after_ms = 0;
    std::string answer;
    token_count prompt_tokens = 0;
    token_count completion_tokens = 0;
    token_count cached_tokens = 0;

    bool operator==(const outcome&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(code, ran, detail, retry_after_ms, answer, prompt_tokens, completion_tokens,
                cached_tokens);
    }
};

enum class call_phase : std::uint8_t {
    /// Begun at `target`; the journal has no outcome yet.
    begun,
    /// Known not to have run; the next attempt may begin.
    released,
    ended,
};

struct call_record {
    sequence_number sequence = 0;
    std::string request_identity;
    std::uint64_t request_hash = 0;
    call_kind kind = call_kind::model;
    bool repeatable = true;
    call_phase phase = call_phase::begun;
    std::uint32_t attempt = 0;
    /// True if an attempt was abandoned and may have run.
    bool maybe_ran = false;
    backend_name target;
    /// Tokens reserved by the current attempt.
    token_count reserved = 0;
    outcome result;

    bool operator==(const call_record&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(sequence, request_identity, request_hash, kind, repeatable, phase, attempt,
                maybe_ran, target, reserved, result);
    }
};

struct program_record {
    program_id id;
    program_id root;
    std::string tenant;
    std::string program_class;
    std::string request_identity;
    /// Token budget; 0 in a sub-agent, which uses the budget of its root.
    token_count budget = 0;
    token_count charged = 0;
    token_count reserved = 0;
    sequence_number last_sequence = 0;
    bool closed = false;
    std::string close_reason;
    /// Engines that may hold cache entries of the program.
    std::set<backend_name> engines;
    std::vector<message> history;
    /// Most recent calls; older ones are removed.
    std::map<sequence_number, call_record> calls;

    bool operator==(const program_record&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, root, tenant, program_class, request_identity, budget, charged, reserved,
                last_sequence, closed, close_reason, engines, history, calls);
    }
};

/// Maximum number of calls kept per program to answer repeated requests.
constexpr std::size_t kept_calls_per_program = 16;
/// Maximum number of closed programs kept per shard to answer late repeated requests.
constexpr std::size_t kept_closed_programs_per_shard = 512;

/// Assigns a shard to `holder` if its lease still has `expected_epoch`. Proposed by the leader.
struct assign_shard {
    shard_id shard = 0;
    lease_epoch expected_epoch = 0;
    node_name holder;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(shard, expected_epoch, holder);
    }
};

struct open_program {
    program_id id;
    program_id root;
    std::string tenant;
    std::string program_class;
    std::string request_identity;
    token_count budget = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, root, tenant, program_class, request_identity, budget);
    }
};

struct begin_attempt {
    program_id program;
    sequence_number sequence = 0;
    std::uint32_t attempt = 0;
    std::string request_identity;
    std::uint64_t request_hash = 0;
    call_kind kind = call_kind::model;
    bool repeatable = true;
    backend_name target;
    token_count reservation = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, sequence, attempt, request_identity, request_hash, kind, repeatable,
                target, reservation);
    }
};

/// Records a failed attempt. The reservation is returned if `ran` is no, and charged otherwise.
struct fail_attempt {
    program_id program;
    sequence_number sequence = 0;
    std::uint32_t attempt = 0;
    ran_state ran = ran_state::unknown;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, sequence, attempt, ran);
    }
};

struct end_call {
    program_id program;
    sequence_number sequence = 0;
    std::uint32_t attempt = 0;
    token_count charged = 0;
    outcome result;
    std::vector<message> appended_history;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, sequence, attempt, charged, result, appended_history);
    }
};

struct close_program {
    program_id program;
    std::string reason;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, reason);
    }
};

using program_change =
    std::variant<open_program, begin_attempt, fail_attempt, end_call, close_program>;

/// Change made by a shard's owner; rejected unless `epoch` is the current lease epoch.
struct owner_command {
    shard_id shard = 0;
    lease_epoch epoch = 0;
    program_change change;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(shard, epoch, change);
    }
};

/// Releases the owner's lease after its calls have finished.
struct release_shard {
    shard_id shard = 0;
    lease_epoch epoch = 0;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(shard, epoch);
    }
};

using journal_command = std::variant<assign_shard, release_shard, owner_command>;

enum class journal_error : std::uint8_t {
    none,
    stale_epoch,
    program_not_found,
    program_exists,
    program_closed,
    sequence_out_of_order,
    identity_conflict,
    attempt_out_of_order,
    already_ended,
    not_repeatable,
    over_budget,
    malformed,
};

std::string_view to_string(journal_error error);

struct shard_lease {
    lease_epoch epoch = 0;
    /// Empty if the shard is unassigned.
    node_name holder;

    bool operator==(const shard_lease&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, holder);
    }
};

}  // namespace tallyfold::journal
