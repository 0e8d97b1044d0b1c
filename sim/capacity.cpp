#include "sim/capacity.hpp"

#include <malloc.h>

#include <ctime>
#include <deque>
#include <fstream>
#include <functional>
#include <memory>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/common/random.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/program_api/control/control_core.hpp"
#include "tallyfold/program_api/gateway/commands/parse_request.hpp"
#include "tallyfold/program_api/gateway/queries/render_answer.hpp"
#include "tallyfold/program_api/membership/control_session.hpp"
#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"
#include "tallyfold/scheduling/placement.hpp"

namespace tallyfold::sim {

namespace {

constexpr duration tick = std::chrono::milliseconds(10);
constexpr double microseconds_per_second = 1e6;
constexpr std::uint32_t shard_count = 1024;
constexpr std::uint32_t journal_groups = 4;
constexpr std::size_t control_nodes = 3;

/// Processor time of this thread, in seconds.
double processor_seconds() {
    timespec now{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
    constexpr double nanoseconds_per_second = 1e9;
    return static_cast<double>(now.tv_sec) +
           static_cast<double>(now.tv_nsec) / nanoseconds_per_second;
}

/// Heap in use, in bytes.
double heap_bytes() {
    return static_cast<double>(mallinfo2().uordblks) + static_cast<double>(mallinfo2().hblkhd);
}

class stopwatch {
  public:
    void start() { started_ = processor_seconds(); }
    void stop() { total_ += processor_seconds() - started_; }
    [[nodiscard]] double total() const { return total_; }

  private:
    double started_ = 0;
    double total_ = 0;
};

/// Three control nodes and many sessions, joined by queues; every message is encoded and decoded
/// as it is on a connection.
class control_plane {
  public:
    explicit control_plane(std::size_t nodes) {
        consensus::membership members;
        for (std::size_t number = 1; number <= control_nodes; ++number) {
            names_.push_back("control-" + std::to_string(number));
            members.members[number] = {names_.back(), false};
        }
        for (std::size_t number = 1; number <= control_nodes; ++number) {
            control::control_settings settings;
            settings.node = names_[number - 1];
            settings.peers = names_;
            settings.journal_groups = journal_groups;
            settings.shard_count = shard_count;
            settings.seed = number;
            consensus::recovered_node empty;
            empty.identity = number;
            controls_.push_back(std::make_unique<control::control_core>(settings, empty, now_));
            control_work_.emplace_back();
            control_bytes_.push_back(0);
            (void)controls_.back()->initialise(members);
        }
        for (std::size_t number = 0; number < nodes; ++number) {
            membership::session_settings settings;
            settings.node = "node-" + std::to_string(number);
            settings.role =
                number % 2 == 0 ? protocol::node_role::scheduler : protocol::node_role::gateway;
            settings.address = "10.0.0.1:7200";
            settings.zone = "zone-1";
            settings.control_nodes = names_;
            index_of_[settings.node] = number;
            sessions_.push_back(std::make_unique<membership::control_session>(settings));
            silent_.push_back(false);
        }
    }

    void run(duration length) {
        const instant end = now_ + length;
        while (now_ < end) {
            now_ += tick;
            step();
        }
    }

    void submit(const configuration::change_command& command) {
        for (auto& control : controls_) {
            control->request(1, control::admin_change{command}, now_);
        }
    }

    void silence(std::size_t node) { silent_[node] = true; }
    void reset() {
        node_bytes_ = 0;
        node_work_ = stopwatch();
        for (std::size_t index = 0; index < control_nodes; ++index) {
            control_work_[index] = stopwatch();
            control_bytes_[index] = 0;
        }
    }
    [[nodiscard]] double node_bytes() const { return node_bytes_; }
    [[nodiscard]] double node_seconds() const { return node_work_.total(); }
    [[nodiscard]] double max_control_seconds() const {
        double most = 0;
        for (const stopwatch& work : control_work_) {
            most = std::max(most, work.total());
        }
        return most;
    }
    [[nodiscard]] double max_control_bytes() const {
        return *std::max_element(control_bytes_.begin(), control_bytes_.end());
    }

  private:
    struct in_flight {
        node_name from;
        node_name to;
        std::string bytes;
    };

    void step() {
        for (std::size_t index = 0; index < sessions_.size(); ++index) {
            if (silent_[index]) {
                continue;
            }
            node_work_.start();
            for (const auto& message : sessions_[index]->tick(now_)) {
                queue("node-" + std::to_string(index), message);
            }
            node_work_.stop();
        }
        for (std::size_t index = 0; index < control_nodes; ++index) {
            control_work_[index].start();
            controls_[index]->tick(now_);
            control_work_[index].stop();
            emit(index);
        }
        while (!flying_.empty()) {
            const in_flight message = std::move(flying_.front());
            flying_.pop_front();
            deliver(message);
        }
    }

    void queue(const node_name& from, const protocol::outbound_message& message) {
        flying_.push_back({from, message.to, protocol::encode(message.message)});
    }

    void deliver(const in_flight& message) {
        const auto control = std::find(names_.begin(), names_.end(), message.to);
        const double size = static_cast<double>(message.bytes.size());
        const bool between_controls = message.from.starts_with("control-");
        if (control != names_.end()) {
            const auto index = static_cast<std::size_t>(control - names_.begin());
            control_bytes_[index] += size;
            node_bytes_ += between_controls ? 0 : size;
            control_work_[index].start();
            const auto decoded = protocol::decode<protocol::internal_message>(message.bytes);
            controls_[index]->receive(message.from, *decoded, now_);
            control_work_[index].stop();
            emit(index);
            return;
        }
        const std::size_t node = index_of_.at(message.to);
        node_bytes_ += size;
        if (silent_[node]) {
            return;
        }
        node_work_.start();
        const auto decoded = protocol::decode<protocol::internal_message>(message.bytes);
        if (const auto* update = std::get_if<protocol::configuration_update>(&*decoded)) {
            sessions_[node]->on_configuration(*update);
        } else if (const auto* leases = std::get_if<protocol::lease_update>(&*decoded)) {
            sessions_[node]->on_leases(*leases);
        } else if (const auto* lease = std::get_if<protocol::lease_confirmation>(&*decoded)) {
            sessions_[node]->on_confirmation(*lease);
        }
        node_work_.stop();
    }

    void emit(std::size_t index) {
        control_work_[index].start();
        for (;;) {
            control::control_output output = controls_[index]->take_output();
            for (const auto& message : output.messages) {
                control_bytes_[index] += send(index, message);
            }
            if (!output.batch.has_value()) {
                break;
            }
            for (const auto& message : output.batch->messages_after) {
                control_bytes_[index] += send(index, message);
            }
            controls_[index]->persisted(output.batch->number);
        }
        control_work_[index].stop();
    }

    double send(std::size_t index, const protocol::outbound_message& message) {
        queue(names_[index], message);
        return static_cast<double>(flying_.back().bytes.size());
    }

    instant now_{std::chrono::seconds(1000)};
    std::vector<node_name> names_;
    std::vector<std::unique_ptr<control::control_core>> controls_;
    std::vector<std::unique_ptr<membership::control_session>> sessions_;
    std::map<node_name, std::size_t> index_of_;
    std::vector<bool> silent_;
    std::deque<in_flight> flying_;
    std::vector<stopwatch> control_work_;
    std::vector<double> control_bytes_;
    stopwatch node_work_;
    double node_bytes_ = 0;
};

configuration::change_command change_number(int number) {
    configuration::change_command command;
    command.command_identity = "change-" + std::to_string(number);
    command.key = {configuration::item_kind::tenant, "tenant-" + std::to_string(number)};
    command.body = configuration::tenant_settings{};
    return command;
}

}  // namespace

control_point measure_control(std::size_t nodes) {
    constexpr duration warm_up = std::chrono::seconds(8);
    constexpr duration measured = std::chrono::seconds(5);
    const double seconds = 5.0;
    control_plane plane(nodes);
    plane.run(warm_up);
    plane.reset();
    plane.run(measured);
    control_point point;
    const auto count = static_cast<double>(nodes);
    point.nodes = nodes;
    point.node_bytes_per_second = plane.node_bytes() / count / seconds;
    point.node_core_percent = 100 * plane.node_seconds() / count / seconds;
    point.control_core_percent = 100 * plane.max_control_seconds() / seconds;
    point.control_bytes_per_second = plane.max_control_bytes() / seconds;
    const double quiet = plane.node_bytes() / count;
    plane.reset();
    constexpr int changes = 20;
    for (int number = 0; number < changes; ++number) {
        plane.submit(change_number(number));
    }
    plane.run(measured);
    point.change_bytes_per_node = (plane.node_bytes() / count - quiet) / changes;
    plane.reset();
    plane.silence(0);
    plane.run(measured);
    point.takeover_bytes_per_node = plane.node_bytes() / count - quiet;
    return point;
}

journal_point measure_journal(std::size_t programs) {
    constexpr std::size_t messages = 8;
    constexpr std::size_t message_bytes = 400;
    journal_point point;
    point.programs = programs;
    const double before = heap_bytes();
    journal::journal_state_machine machine;
    std::uint64_t index = 0;
    double log_bytes = 0;
    stopwatch work;
    const auto apply = [&](const journal::journal_command& command) {
        const std::string bytes = protocol::encode(command);
        log_bytes += static_cast<double>(bytes.size());
        work.start();
        (void)machine.apply(bytes, ++index);
        work.stop();
    };
    for (shard_id shard = 0; shard < shard_count; ++shard) {
        apply(journal::assign_shard{shard, 0, "scheduler-1"});
    }
    log_bytes = 0;
    work = stopwatch();
    for (std::size_t number = 0; number < programs; ++number) {
        const program_id id = gateway::identifier_of_program("t", std::to_string(number));
        const shard_id shard = journal::shard_of(id, shard_count);
        const auto change = [&](journal::program_change body) {
            apply(journal::owner_command{shard, 1, std::move(body)});
        };
        change(journal::open_program{id, id, "tenant", "class", "identity", 1'000'000});
        journal::begin_attempt begin;
        begin.program = id;
        begin.sequence = 1;
        begin.attempt = 1;
        begin.request_identity = "request identity";
        begin.target = "engine-1";
        begin.reservation = 100;
        change(begin);
        journal::end_call end{id, 1, 1, 90, {}, {}};
        end.result.answer = std::string(message_bytes, 'a');
        end.appended_history.assign(messages, {"user", std::string(message_bytes, 'm'), 100});
        change(std::move(end));
    }
    constexpr double commands_per_program = 3;
    const auto count = static_cast<double>(programs);
    point.bytes_per_program = (heap_bytes() - before) / count;
    point.microseconds_per_command =
        microseconds_per_second * work.total() / count / commands_per_program;
    point.log_bytes_per_call = log_bytes / count;
    stopwatch saving;
    saving.start();
    const std::string saved = machine.save();
    saving.stop();
    point.snapshot_seconds = saving.total();
    return point;
}

placement_point measure_placement(std::size_t replicas, const std::string& policy_text) {
    placement_point point;
    point.replicas = replicas;
    const double before = heap_bytes();
    scheduling::backend_pool pool;
    scheduling::cache_map cache;
    std::vector<scheduling::backend_member> members(replicas);
    for (std::size_t number = 0; number < replicas; ++number) {
        members[number].name = "engine-" + std::to_string(number);
        members[number].address = "10.0.0.1:8000";
        members[number].zone = "zone-1";
        members[number].model = "default";
    }
    pool.update(members);
    for (const scheduling::backend_member& member : members) {
        pool.add_clock_sample(member.name, duration(0));
    }
    point.bytes_per_replica = (heap_bytes() - before) / static_cast<double>(replicas);
    const auto policy = scheduling::policy::compile(policy_text);
    scheduling::placement placement(scheduling::strategy::policy);
    std::vector<scheduling::prefix_point> prompt(20);
    random_source random(1);
    constexpr int decisions = 20'000;
    stopwatch work;
    for (int number = 0; number < decisions; ++number) {
        for (std::size_t turn = 0; turn < prompt.size(); ++turn) {
            prompt[turn] = {combine_hash(random.below(2'000), turn), 100 * (turn + 1)};
        }
        scheduling::placement_request request;
        request.model = "default";
        request.prompt = &prompt;
        request.prompt_tokens = prompt.back().tokens;
        const instant now(std::chrono::seconds(10));
        work.start();
        const auto choice =
            placement.choose(request, pool, cache, policy ? policy->get() : nullptr, now);
        work.stop();
        if (choice) {
            pool.started(choice->engine, request.prompt_tokens);
            cache.stored(choice->engine, prompt.back());
            pool.finished(members[random.below(replicas)].name);
        }
    }
    point.microseconds_per_decision = microseconds_per_second * work.total() / decisions;
    scheduler::status_answered status;
    point.status_bytes = static_cast<double>(scheduler::render_status(status).size());
    return point;
}

token_point measure_tokens(std::size_t streams) {
    constexpr std::size_t tokens = 200;
    token_point point;
    point.streams = streams;
    gateway::caller_request request;
    protocol::program_call call;
    call.program = gateway::identifier_of_program("t", "i");
    request.call = call;
    stopwatch scheduling_work;
    stopwatch gateway_work;
    double bytes = 0;
    for (std::size_t stream = 0; stream < streams; ++stream) {
        const scheduler::attempt_key key{call.program, 1, 1};
        for (std::size_t token = 0; token < tokens; ++token) {
            const std::string event =
                scheduler::render_stream_event(scheduler::stream_pieces{key, token, {" token"}});
            scheduling_work.start();
            scheduler::event_stream_splitter splitter;
            const auto texts = splitter.add(event);
            const auto report = scheduler::parse_stream_event(key, texts.front());
            const auto& pieces = std::get<scheduler::stream_pieces>(*report);
            const std::string message = protocol::encode(
                protocol::internal_message(protocol::answer_pieces{stream, token, pieces.pieces}));
            scheduling_work.stop();
            gateway_work.start();
            const auto decoded = protocol::decode<protocol::internal_message>(message);
            const auto& forwarded = std::get<protocol::answer_pieces>(*decoded);
            const std::string frame = gateway::render_piece(request, forwarded.pieces.front());
            gateway_work.stop();
            bytes += static_cast<double>(event.size() + message.size() + frame.size());
        }
    }
    const auto count = static_cast<double>(streams * tokens);
    point.scheduler_microseconds_per_token =
        microseconds_per_second * scheduling_work.total() / count;
    point.gateway_microseconds_per_token = microseconds_per_second * gateway_work.total() / count;
    point.bytes_per_token = bytes / count;
    return point;
}

}  // namespace tallyfold::sim
