#pragma once
/// @file
/// A whole deployment in one process and one thread under virtual time: the production logic of
/// every node, stand-ins for back ends and callers, and fault injection.

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sim/event_queue.hpp"
#include "sim/network.hpp"
#include "stand_ins/caller_core.hpp"
#include "stand_ins/engine_core.hpp"
#include "stand_ins/service_core.hpp"
#include "tallyfold/program_api/control/control_core.hpp"
#include "tallyfold/program_api/gateway/gateway_core.hpp"
#include "tallyfold/program_api/scheduler/scheduler_core.hpp"

namespace tallyfold::sim {

struct world_settings {
    stand_ins::workload_settings workload;
    std::size_t controls = 3;
    std::size_t schedulers = 2;
    std::size_t gateways = 2;
    std::size_t engines = 6;
    std::size_t apps = 4;
    std::size_t tools = 2;
    std::uint32_t shard_count = 16;
    std::uint32_t journal_groups = 2;
    stand_ins::engine_settings engine;
    double tool_hang_share = 0;
    /// Configuration that the operator submits at the start.
    std::map<std::string, std::string> policies;
    std::map<std::string, configuration::class_settings> classes;
    configuration::tenant_settings tenant;
    std::uint64_t snapshot_interval = 400;
    std::uint64_t seed = 1;
    /// Maximum duration of a run.
    duration limit = std::chrono::minutes(10);
    /// Time for engines to release the cached tokens of closed programs.
    duration settle = std::chrono::seconds(15);
    /// When set, receives a line for each message, order and fault.
    std::function<void(const std::string& line)> trace;
};

/// A configuration change and its result as an operator received it.
struct operator_record {
    configuration::change_command command;
    std::optional<configuration::change_result> result;
    instant accepted_at{};
};

/// Configuration version in use on one node at one time.
struct configuration_sample {
    std::string node;
    instant at{};
    configuration::configuration_version version = 0;
    bool serving = false;
};

/// Input of the checkers. Nothing in it comes from the system's own counters.
struct observations {
    std::vector<stand_ins::caller_report> callers;
    std::vector<stand_ins::ledger_entry> ledger;
    std::vector<operator_record> operators;
    std::vector<configuration_sample> configuration;
    configuration::configuration_view final_configuration;
    /// Time at which each back end began to leave.
    std::map<backend_name, instant> leaving;
    /// Tokens that engines still hold at the end for closed or abandoned programs.
    std::map<program_id, token_count> held_after_end;
    /// Final histories in the journal, by program.
    std::map<program_id, std::vector<journal::message>> histories;
    std::map<std::string, std::uint64_t> faults;
    bool only_planned_stops = false;
    bool finished = false;
    instant started{};
    instant ended{};
    std::vector<duration> leader_gaps;
};

class world {
  public:
    explicit world(world_settings settings);
    ~world();
    world(const world&) = delete;
    world& operator=(const world&) = delete;

    /// Forms the cluster, submits the configuration, and waits until the gateways are ready.
    /// @return false when a step does not complete in time
    bool boot();
    /// Runs until every caller is done or the time limit is reached.
    void run();
    /// Heals all links, restarts dead nodes, and collects the checkers' input.
    observations finish();

    // Faults; node names are those that names() returns.
    void kill(const std::string& node);
    void restart(const std::string& node);
    void lose_disk(const std::string& node);
    void freeze(const std::string& node);
    void thaw(const std::string& node);
    void cut(const std::string& from, const std::string& to, bool both_ways);
    void heal_links();
    void slow(const std::string& node, duration extra);
    void set_chaotic(bool chaotic);
    void jump_clock(const std::string& node, duration ahead);
    void drain(const std::string& node);
    void leave(const std::string& backend);
    void submit_change(configuration::change_command command);
    /// Counts an injected fault of the kind.
    void count(const std::string& kind) { ++seen_.faults[kind]; }

    // Queries for fault plans.
    [[nodiscard]] event_queue& events() { return events_; }
    [[nodiscard]] const world_settings& settings() const { return settings_; }
    [[nodiscard]] bool alive(const std::string& node) const;
    [[nodiscard]] bool frozen(const std::string& node) const;
    [[nodiscard]] std::string leader_of(group_id group) const;
    [[nodiscard]] bool is_voter_everywhere(const std::string& node) const;
    [[nodiscard]] bool callers_done() const;
    [[nodiscard]] std::vector<std::string> names(const std::string& prefix) const;
    /// True if every group has a leader that has committed an entry in its term.
    [[nodiscard]] bool control_serves() const;
    [[nodiscard]] bool drained(const std::string& node) const;

  private:
    struct node_base;
    struct control_node;
    struct scheduler_node;
    struct gateway_node;
    struct engine_node;
    struct service_node;
    struct caller_node;

    void build();
    void start_node(const std::string& name);
    void start_control(control_node& node, std::uint64_t seed);
    void start_scheduler(scheduler_node& node, std::uint64_t seed);
    void start_gateway(gateway_node& node, std::uint64_t seed);
    void start_engine(engine_node& node, std::uint64_t seed);
    void start_service(service_node& node, std::uint64_t seed);
    bool form_cluster();
    /// @return the number of changes, which is the version that gateways must reach
    std::uint64_t submit_configuration();
    [[nodiscard]] bool gateways_ready(configuration::configuration_version version);
    void start_callers();
    void tick_loop(const std::string& name, std::uint64_t generation);
    void tick_node(const std::string& name);
    void deliver(const std::string& from, const std::string& to,
                 protocol::internal_message message);
    void transmit(const std::string& from, const std::string& to,
                  protocol::internal_message message);
    void run_on(const std::string& node, std::function<void()> action);
    void pump_control(control_node& node);
    void answer_operator(control_node& node, const control::admin_reply& reply);
    /// Writes the batch to the node's disk and sends its messages after the sync latency.
    void sync_later(const control_node& node, control::storage_batch written);
    void pump_scheduler(scheduler_node& node);
    void pump_gateway(gateway_node& node);
    void pump_engine(engine_node& node);
    void pump_service(service_node& node);
    void wake_engine(engine_node& node, instant at);
    void wake_service(service_node& node, instant at);
    void send_order(scheduler_node& from, const scheduler::backend_order& order);
    void schedule_request_timeout(const std::string& scheduler, std::uint64_t generation,
                                  const scheduler::run_request& request);
    void deliver_order(const std::string& scheduler, std::uint64_t generation,
                       const std::string& target, const scheduler::backend_order& order);
    void report_to(const std::string& scheduler, std::uint64_t generation,
                   const std::string& backend, scheduler::backend_report report);
    void on_engine_order(engine_node& node, const scheduler::backend_order& order,
                         const std::string& scheduler, std::uint64_t generation);
    void on_service_order(service_node& node, const scheduler::backend_order& order,
                          const std::string& scheduler, std::uint64_t generation);
    void fail_order(const std::string& scheduler, std::uint64_t generation,
                    const std::string& backend, const scheduler::backend_order& order);
    void pump_callers();
    void caller_loop();
    void send_request(const stand_ins::caller_action& action);
    void answer_caller(stand_ins::caller_token token, const journal::outcome& result);
    void close_connections_of(const std::string& dead);
    void tell_lost(const std::string& name, const std::string& dead);
    void check_idle_links();
    void trace_message(const std::string& from, const std::string& to,
                       const protocol::internal_message& message);
    void trace_line(const std::string& text);
    void trace_replicas();
    void operator_loop(std::size_t record);
    void sample_configuration();
    void gather_ledger();
    /// Collects the configuration and the histories from the leaders of their groups.
    void gather_histories();
    void gather_held_tokens();
    [[nodiscard]] instant local_now(const node_base& node) const;
    [[nodiscard]] scheduler::members_answered member_list() const;
    template <class Node>
    Node& node_as(const std::string& name);

    world_settings settings_;
    event_queue events_;
    network network_;
    random_source random_;
    std::map<std::string, std::unique_ptr<node_base>> nodes_;
    std::shared_ptr<stand_ins::prefill_ledger> prefill_;
    /// Earliest arrival time of a link's next message; keeps messages of a link in order.
    std::map<std::pair<std::string, std::string>, instant> link_order_;
    /// Time since which a link drops all messages; used for connection timeouts.
    std::map<std::pair<std::string, std::string>, instant> blocked_since_;
    std::set<std::pair<std::string, std::string>> reported_lost_links_;

    std::vector<std::unique_ptr<stand_ins::caller_core>> callers_;
    struct open_request {
        std::string gateway;
        std::uint64_t generation = 0;
        std::size_t caller = 0;
    };
    std::map<stand_ins::caller_token, open_request> requests_;
    std::size_t next_gateway_ = 0;

    std::map<backend_name, instant> leave_listed_at_;
    std::vector<stand_ins::ledger_entry> dead_node_entries_;
    observations seen_;
    instant leaderless_since_{};
};

}  // namespace tallyfold::sim
