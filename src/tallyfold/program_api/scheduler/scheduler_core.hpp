#pragma once
/// @file
/// Scheduler logic without I/O: owns shards of programs and decides when and where each call runs.
/// Inputs are messages, back-end reports and the time; outputs are messages, orders and events.
///
/// Holds the copies of its shards, the active calls and the state of back ends. Durable data goes
/// through the journal (journal_client), leases and configuration come from
/// membership/control_session, ranking and placement from scheduling/. Not thread-safe.
///
/// Member functions are defined in commands/ (changes to programs), queries/ (reads) and this
/// folder (leases, configuration, back ends).

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/random.hpp"
#include "tallyfold/base/common/time.hpp"
#include "tallyfold/base/logging/event_catalogue.hpp"
#include "tallyfold/program_api/configuration/configuration_state.hpp"
#include "tallyfold/program_api/journal/shard_state.hpp"
#include "tallyfold/program_api/membership/control_session.hpp"
#include "tallyfold/program_api/scheduler/backend_messages.hpp"
#include "tallyfold/program_api/scheduler/journal_client.hpp"
#include "tallyfold/program_api/scheduler/retry_budget.hpp"
#include "tallyfold/program_api/transport/messages.hpp"
#include "tallyfold/scheduling/call_queue.hpp"
#include "tallyfold/scheduling/placement.hpp"

namespace tallyfold::scheduler {

struct scheduler_settings {
    node_name node;
    /// Listen address for internal messages, "ip:port".
    std::string address;
    std::string zone;
    std::vector<node_name> control_nodes;
    std::uint32_t journal_groups = 2;
    std::uint32_t shard_count = 64;
    scheduling::strategy placement = scheduling::strategy::policy;
    duration heartbeat_interval = std::chrono::milliseconds(400);
    /// Time without a confirmed configuration after which new work is refused.
    duration configuration_lease = std::chrono::milliseconds(3000);
    duration status_interval = std::chrono::milliseconds(250);
    duration members_interval = std::chrono::milliseconds(500);
    /// Time without a new piece after which a stream counts as broken.
    duration stream_stall = std::chrono::milliseconds(5000);
    /// Time after which a back end must not start an app or tool request.
    duration request_start_window = std::chrono::milliseconds(1000);
    /// Maximum number of attempts per call.
    std::uint32_t attempt_limit = 4;
    /// Maximum number of attempts whose back end was lost while it ran the call: a call that ends
    /// its back ends must not reach one after the other.
    std::uint32_t lost_run_limit = 3;
    std::uint64_t seed = 0;
};

struct gateway_message {
    node_name gateway;
    protocol::internal_message message;
};

struct scheduler_output {
    std::vector<protocol::outbound_message> messages;
    std::vector<backend_order> orders;
    std::vector<logging::event_record> events;
};

/// Counters since process start, for metrics.
struct scheduler_counters {
    std::uint64_t calls_accepted = 0;
    std::uint64_t calls_refused = 0;
    std::uint64_t calls_ended = 0;
    std::uint64_t attempts_begun = 0;
    std::uint64_t retries = 0;
    std::uint64_t resumes = 0;
    std::uint64_t programs_opened = 0;
    std::uint64_t programs_closed = 0;
    std::uint64_t programs_reaped = 0;
    std::uint64_t policy_failures = 0;
    std::uint64_t cache_releases_repeated = 0;
};

struct scheduler_gauges {
    std::size_t shards_serving = 0;
    std::size_t calls_active = 0;
    std::size_t calls_waiting = 0;
    std::size_t appends_pending = 0;
    configuration::configuration_version configuration = 0;
    bool configuration_fresh = false;
};

class scheduler_core {
  public:
    scheduler_core(scheduler_settings settings, instant now);

    void receive(const node_name& from, const protocol::internal_message& message, instant now);
    void report(const backend_report& report, instant now);
    void tick(instant now);
    /// Starts a drain: active calls finish and shards are handed over.
    void drain();
    /// True if a drain was started and has finished.
    [[nodiscard]] bool drained() const;

    scheduler_output take_output();
    [[nodiscard]] const scheduler_counters& counters() const { return counters_; }
    [[nodiscard]] scheduler_gauges gauges(instant now) const;

  private:
    static constexpr auto engine_kind = scheduling::backend_kind::engine;

    enum class shard_phase : std::uint8_t { loading, serving, handing_over };

    struct owned_shard {
        lease_epoch epoch = 0;
        shard_phase phase = shard_phase::loading;
        journal::shard_state state;
        instant read_requested_at{};
        bool release_sent = false;
    };

    struct waiter {
        node_name gateway;
        protocol::correlation_id correlation = 0;
    };

    enum class call_state : std::uint8_t {
        queued,
        beginning,
        running,
        /// The stream is about to be resumed at the same engine.
        resuming,
        /// The attempt failed; its journal command is pending.
        failing,
        /// Sending seal requests, to learn whether the attempt ran and to prevent a later start.
        resolving,
        /// The back end cannot be queried; waiting until it can no longer start the attempt.
        awaiting_start_deadline,
        ending,
    };

    struct active_call {
        scheduling::ticket id = 0;
        shard_id shard = 0;
        lease_epoch epoch = 0;
        program_id root;
        protocol::program_call request;
        std::vector<waiter> waiters;
        call_state state = call_state::queued;
        std::uint32_t attempt = 0;
        backend_name target;
        /// True if any attempt may have run; callers must then not be told that the call did not
        /// run.
        bool maybe_ran = false;
        bool slot_held = false;
        bool prefill_pending = false;
        token_count prefill_tokens = 0;
        token_count prompt_tokens = 0;
        token_count cached_tokens = 0;
        std::vector<scheduling::prefix_point> points;
        std::shared_ptr<const std::vector<journal::message>> prompt;
        std::vector<std::string> pieces;
        instant arrived{};
        instant last_progress{};
        instant next_try{};
        instant resolving_since{};
        /// Time from which the back end refuses to start the attempt.
        instant start_deadline{};
        /// True after the attempt is known to have started.
        bool start_confirmed = false;
        std::uint32_t resumes = 0;
        /// Number of attempts whose back end was lost while it may have run the call.
        std::uint32_t lost_runs = 0;
        std::uint32_t seal_tries = 0;
        /// Result code for the waiters if the failed attempt cannot be retried.
        journal::answer_code failure = journal::answer_code::backend_failed;
        /// True if the next retry does not count against the retry budget of the class.
        bool skip_retry_budget = false;
    };

    struct decision {
        instant at{};
        sequence_number sequence = 0;
        std::string text;
    };

    /// Newest submission of a call that was reported to the caller as not run.
    struct refusal_record {
        sequence_number sequence = 0;
        std::uint32_t submission = 0;
        journal::outcome result;
    };

    /// Volatile state of a program besides its record; discarded if the shard is lost.
    struct program_runtime {
        instant first_seen{};
        instant last_activity{};
        instant last_end{};
        duration pause_total{};
        std::uint32_t pauses = 0;
        std::vector<scheduling::prefix_point> points;
        std::size_t hashed_messages = 0;
        std::deque<decision> decisions;
        refusal_record refused;
        std::vector<waiter> open_waiters;
        std::vector<waiter> close_waiters;
    };

    struct cache_release {
        instant next{};
        std::uint32_t tries = 0;
    };

    // Leases, configuration and back ends (scheduler_core.cpp).
    void on_leases(const node_name& from, const protocol::lease_update& update, instant now);
    void on_contents(const protocol::shard_contents& contents, instant now);
    void on_configuration(const protocol::configuration_update& update);
    void lose_shard(shard_id shard);
    /// Drops a call of a lost shard and tells its callers that the program has moved.
    void drop_moved_call(scheduling::ticket id);
    /// Removes the programs of a lost shard and answers the callers that open or close them.
    void remove_programs(shard_id shard);
    void load_shards(instant now);
    void release_idle_shards(instant now);
    void compile_policies();
    scheduling::policy* policy_for(const configuration::class_settings& settings);
    [[nodiscard]] const configuration::configuration_view& configuration() const {
        return session_.configuration();
    }
    void poll_backends(instant now);
    void on_status(const status_answered& status, instant now);
    void on_members(const members_answered& list);
    void repeat_cache_releases(instant now);
    void check_running_calls(instant now);
    void reset_activity_after_pause(instant now);
    void reap_programs(instant now);

    // Commands (commands/*.cpp).
    void on_request(const node_name& from, const protocol::scheduler_request& request, instant now);
    void run_command(const waiter& requester, const protocol::scheduler_call& command,
                     owned_shard& shard, shard_id number, instant now);
    /// True if `call` repeats an active call, so that it may wait for the same outcome.
    bool repeats_active(const protocol::scheduler_call& call);
    void record_activity(const program_id& id, instant now);
    void on_open(const waiter& requester, const protocol::open_call& call, owned_shard& shard,
                 shard_id number, instant now);
    /// Refusal of an opening by the configuration alone, without regard to the shard's state.
    [[nodiscard]] std::optional<journal::outcome> refuse_open(
        const journal::open_program& wanted) const;
    void on_call(const waiter& requester, const protocol::program_call& call, owned_shard& shard,
                 shard_id number, instant now);
    void on_close(const waiter& requester, const protocol::close_call& call, owned_shard& shard,
                  shard_id number, instant now);
    bool answer_from_record(const waiter& requester, const protocol::program_call& call,
                            const journal::program_record& program);
    bool join_active(const waiter& requester, const protocol::program_call& call);
    void store_refusal(const protocol::program_call& call, const journal::outcome& result);
    bool resend_refusal(const waiter& requester, const protocol::program_call& call);
    std::optional<journal::outcome> refuse_call(const protocol::program_call& call,
                                                const journal::program_record& program,
                                                instant now);
    /// Refusal of a new call by turn, budget or queue limits; not applied to repeated calls.
    std::optional<journal::outcome> refuse_over_limit(const protocol::program_call& call,
                                                      const journal::program_record& program,
                                                      const configuration::class_settings& settings,
                                                      const configuration::tenant_settings& tenant);
    void admit(const waiter& requester, const protocol::program_call& call,
               const journal::program_record& program, shard_id number, instant now);
    /// Adds the time since the program's previous call ended to its pauses.
    void add_pause(const program_id& id, instant now);
    /// Builds the prompt of a model call from the program's history and the new messages.
    void set_prompt(active_call& active, const journal::program_record& program);
    void enqueue(active_call& call);
    void close_program(const program_id& id, shard_id number, const std::string& reason,
                       instant now);
    void on_program_closed(const journal::close_program& change, shard_id number, instant now);

    // Dispatch (commands/dispatch.cpp).
    void dispatch_queued(instant now);
    bool dispatch_next(journal::call_kind kind, instant now);
    bool try_begin(active_call& call, instant now);
    std::optional<backend_name> choose_backend(active_call& call, instant now);
    void begin(active_call& call, const backend_name& target, instant now);
    void credit_retry_budget(const active_call& call);
    void dispatch(active_call& call, instant now);
    void expire_queued(instant now);

    // Progress of attempts (commands/attempt_progress.cpp).
    void on_append_finished(const finished_append& finished, instant now);
    /// Handles a change that the journal has applied or finally refused.
    void on_change_journalled(const finished_append& finished,
                              const journal::program_change& change, instant now);
    void on_program_opened(const journal::open_program& opened, journal::journal_error refused);
    void on_attempt_begun(const finished_append& finished, const journal::begin_attempt& change,
                          instant now);
    void on_call_ended(const journal::end_call& change, instant now);
    void on_pieces(const stream_pieces& pieces, instant now);
    void on_stream_finished(const stream_finished& finished, instant now);
    void on_request_answered(const request_answered& answered, instant now);
    void finish_call(active_call& call, journal::outcome result,
                     std::vector<journal::message> appended, token_count charged, instant now);
    void release_slot(active_call& call);
    void drop_call(scheduling::ticket id);

    // Failed attempts (commands/attempt_failure.cpp).
    void on_attempt_failed(const attempt_failed& failed, instant now);
    /// Counts a failure of the attempt's back end and logs if the back end is ejected.
    void count_backend_failure(const active_call& call, instant now);
    /// True if the call's stream may be resumed at its engine.
    [[nodiscard]] bool may_resume(const active_call& call, failure_kind kind);
    void on_attempt_failed_journalled(const journal::fail_attempt& change, instant now);
    void on_seal_answered(const seal_answered& answered, instant now);
    void resolve(active_call& call, instant now);
    void start_resolving(active_call& call, instant now);
    void resume_inherited_attempt(active_call& call, instant now);
    void set_start_deadline(active_call& call, instant now);
    [[nodiscard]] backend_clock backend_start_deadline(const active_call& call);
    void journal_failure(active_call& call, journal::ran_state ran, instant now);
    void retry_or_fail(active_call& call, instant now);

    // Queries (queries/inspect_program.cpp).
    void on_inspect(const waiter& requester, const protocol::inspect_call& call,
                    const owned_shard& shard, instant now);

    // Helpers.
    [[nodiscard]] shard_id shard_number(const program_id& id) const;
    active_call* find_call(const attempt_key& key);
    active_call* call_of(const program_id& id);
    [[nodiscard]] const journal::program_record* record_of(const program_id& id) const;
    [[nodiscard]] token_count attained(const journal::program_record& program) const;
    [[nodiscard]] token_count budget_left(const journal::program_record& program) const;
    [[nodiscard]] attempt_key key_of(const active_call& call) const;
    [[nodiscard]] append_key append_key_of(const active_call& call) const;
    void reply(const waiter& requester, journal::outcome result);
    void reply_all(active_call& call, const journal::outcome& result);
    void record_decision(const program_id& id, sequence_number sequence, std::string text,
                         instant now);
    void event(logging::event_id id, std::string fields);
    void order(backend_order item) { output_.orders.push_back(std::move(item)); }
    [[nodiscard]] std::uint32_t retry_after();
    scheduling::backend_pool& pool(scheduling::backend_kind kind);
    scheduling::backend_pool& pool_for(journal::call_kind kind);
    scheduling::call_queue& queue_for(journal::call_kind kind);
    const std::vector<scheduling::prefix_point>& program_points(
        const journal::program_record& program);
    scheduling::call_features features_of(const active_call& call,
                                          const journal::program_record& program,
                                          const configuration::class_settings& settings) const;
    void update_retention(const active_call& call, const journal::program_record& program);
    void queue_cache_release(const program_id& id, instant now);

    scheduler_settings settings_;
    random_source random_;
    journal_client journal_;
    membership::control_session session_;
    std::map<std::string, std::unique_ptr<scheduling::policy>> policies_;
    std::map<std::string, std::uint64_t> policy_versions_;
    scheduling::placement placement_;
    scheduling::cache_map cache_;
    std::array<scheduling::backend_pool, 3> pools_;
    std::array<scheduling::call_queue, 3> queues_;
    std::map<backend_name, std::uint64_t> last_cache_event_;

    std::map<shard_id, owned_shard> shards_;
    std::set<shard_id> shards_to_hand_over_;
    std::map<program_id, program_runtime> programs_;
    std::map<scheduling::ticket, active_call> calls_;
    std::map<program_id, scheduling::ticket> call_of_program_;
    std::map<std::string, std::size_t> waiting_of_class_;
    std::map<std::string, std::size_t> running_of_tenant_;
    std::map<std::string, retry_budget> retry_budgets_;
    std::map<std::pair<backend_name, program_id>, cache_release> cache_releases_;
    scheduling::ticket next_ticket_ = 1;

    bool draining_ = false;
    bool lease_expiry_logged_ = false;
    instant next_status_poll_{};
    instant next_members_poll_{};
    instant next_housekeeping_{};
    instant last_tick_{};

    scheduler_counters counters_;
    scheduler_output output_;
};

}  // namespace tallyfold::scheduler
