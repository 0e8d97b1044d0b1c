#pragma once
/// @file
/// Logic of an emulated model engine: continuous batching, a prefix cache of limited size,
/// priorities, resumable streams, delayed and lossy cache events, delayed load reports, export and
/// import of cached prefixes, and fenced orders. Single-threaded; performs no I/O.

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "stand_ins/backend_ledger.hpp"
#include "tallyfold/base/common/random.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"

namespace tallyfold::stand_ins {

struct engine_settings {
    backend_name name;
    std::string model = "default";
    std::string zone;
    /// Maximum number of sequences in a step.
    std::uint32_t batch_limit = 8;
    /// Capacity of the cache in tokens.
    token_count cache_tokens = 200'000;
    /// Fixed time of a step.
    duration step_base = std::chrono::microseconds(12'000);
    /// Additional time per decoding sequence in the step.
    duration step_per_sequence = std::chrono::microseconds(600);
    /// Additional time per prompt token computed in the step.
    duration prefill_per_token = std::chrono::microseconds(50);
    /// Maximum number of prompt tokens computed in a step (chunked prefill).
    token_count prefill_chunk = 1024;
    /// Age of the published load report.
    duration load_lag = std::chrono::milliseconds(200);
    /// Delay until a cache event is published.
    duration event_lag = std::chrono::milliseconds(100);
    /// Fraction of cache events that are dropped.
    double event_loss = 0.001;
    /// Time after which a stream without a reader is stopped.
    duration orphan_limit = std::chrono::seconds(5);
    /// Time for which a finished stream can be resumed.
    duration finished_retention = std::chrono::seconds(10);
    std::uint64_t seed = 0;
};

/// Counts computed prompt tokens and how many of them had been computed before.
class prefill_ledger {
  public:
    void record(scheduling::prefix_hash hash, token_count tokens);
    [[nodiscard]] token_count prefilled() const { return prefilled_; }
    [[nodiscard]] token_count rebuilt() const { return rebuilt_; }

  private:
    std::unordered_set<scheduling::prefix_hash> seen_;
    token_count prefilled_ = 0;
    token_count rebuilt_ = 0;
};

enum class engine_refusal : std::uint8_t {
    stale_epoch,
    stale_order,
    leaving,
    wrong_model,
    unknown,
    /// The attempt is past its start limit or sealed.
    too_late,
};

/// An order to the engine itself. An order with a fence lower than the last one is refused.
struct engine_order {
    std::uint64_t fence = 0;
    std::string model;
    std::string adapter;
    std::string version;
    std::string role;
};

/// A cached prefix for import by another engine.
struct exported_prefix {
    struct node {
        scheduling::prefix_hash parent = 0;
        scheduling::prefix_point point;
        token_count tokens = 0;
    };
    program_id program;
    std::vector<node> nodes;
};

class engine_core {
  public:
    engine_core(engine_settings settings, std::shared_ptr<prefill_ledger> ledger, instant now);

    tl::expected<void, engine_refusal> start(const scheduler::start_stream& request, instant now);
    /// Resends the stream's pieces from `offset` on and continues with new pieces.
    tl::expected<void, engine_refusal> resume(const scheduler::resume_stream& request, instant now);
    void cancel(const scheduler::attempt_key& key, instant now);
    /// Marks the stream as having no reader.
    void detach(const scheduler::attempt_key& key, instant now);
    void retain(const scheduler::retain_cache& hint, instant now);
    void release(const program_id& program, instant now);
    [[nodiscard]] exported_prefix export_prefix(const program_id& program) const;
    void import_prefix(const exported_prefix& prefix, instant now);
    tl::expected<void, engine_refusal> apply(const engine_order& order);
    void leave() { leaving_ = true; }

    [[nodiscard]] scheduler::status_answered status(std::uint64_t after_event, instant now);
    /// Runs the due steps. @return the time of the next step
    instant tick(instant now);
    std::vector<scheduler::backend_report> take_reports();

    [[nodiscard]] bool idle() const { return running_.empty() && waiting_.empty(); }
    [[nodiscard]] const std::vector<ledger_entry>& entries() const { return entries_; }
    [[nodiscard]] token_count cached_tokens() const { return cached_tokens_; }
    [[nodiscard]] token_count cached_tokens_of(const program_id& program) const;
    /// Programs with cached tokens, and the number of these tokens.
    [[nodiscard]] std::map<program_id, token_count> held_programs() const;
    [[nodiscard]] const engine_settings& settings() const { return settings_; }

  private:
    struct cache_node {
        scheduling::prefix_hash parent = 0;
        scheduling::prefix_point point;
        token_count tokens = 0;
        program_id program;
        double value = 0;
        instant value_until{};
        instant used{};
        std::uint32_t users = 0;
        std::uint32_t children = 0;
    };
    struct stream {
        scheduler::start_stream request;
        std::vector<scheduling::prefix_point> points;
        std::size_t cached_points = 0;
        /// Number of leading points whose cache nodes the sequence holds a reference to.
        std::size_t held_points = 0;
        token_count prompt_tokens = 0;
        token_count cached_tokens = 0;
        token_count prefilled = 0;
        std::vector<std::string> pieces;
        std::uint64_t sent = 0;
        bool attached = true;
        bool admitted = false;
        bool finished = false;
        instant changed{};
        std::uint64_t order = 0;
        std::size_t entry = 0;
    };
    using wait_key = std::tuple<std::int32_t, std::uint64_t>;

    void admit(instant now);
    void drop_late(instant now);
    duration run_step(instant now);
    token_count prefill_step(instant now);
    void decode_step(instant now);
    void finish(stream& target, instant now);
    void hold_cached(stream& target, instant now);
    void store_prefilled(stream& target, instant now);
    void release_holds(stream& target);
    void send_pieces(stream& target);
    bool make_room(token_count needed, instant now);
    void insert_node(scheduling::prefix_hash parent, const scheduling::prefix_point& point,
                     token_count tokens, const program_id& program, instant now);
    void remove_node(scheduling::prefix_hash hash);
    void index_if_evictable(const cache_node& node);
    void unindex(const cache_node& node);
    void publish(bool stored, const scheduling::prefix_point& point, instant now);
    void expire(instant now);
    [[nodiscard]] bool fits(const stream& target) const;
    [[nodiscard]] scheduling::load_report current_load() const;

    engine_settings settings_;
    std::shared_ptr<prefill_ledger> ledger_;
    random_source random_;
    bool leaving_ = false;
    std::uint64_t order_fence_ = 0;
    std::map<shard_id, lease_epoch> epochs_;

    std::map<scheduler::attempt_key, stream> streams_;
    /// Attempts that must not start, since they were cancelled, or resumed before their start
    /// arrived; with the time of the seal.
    std::map<scheduler::attempt_key, instant> sealed_;
    std::map<wait_key, scheduler::attempt_key> waiting_;
    std::vector<scheduler::attempt_key> running_;
    std::uint64_t next_order_ = 1;
    instant step_due_{};
    instant next_expiry_{};

    std::unordered_map<scheduling::prefix_hash, cache_node> cache_;
    /// Unreferenced leaves by value, then by last use.
    std::set<std::tuple<double, instant, scheduling::prefix_hash>> evictable_;
    std::map<program_id, std::set<scheduling::prefix_hash>> nodes_of_program_;
    token_count cached_tokens_ = 0;

    struct dated_event {
        instant visible{};
        scheduler::cache_event event;
    };
    std::deque<dated_event> events_;
    std::uint64_t next_event_ = 1;
    std::deque<std::pair<instant, scheduling::load_report>> loads_;

    std::vector<ledger_entry> entries_;
    std::vector<scheduler::backend_report> reports_;
};

}  // namespace tallyfold::stand_ins
