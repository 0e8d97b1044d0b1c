#include "tests/plane/dispatch/load_replay.hpp"

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <random>
#include <set>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/plane/dispatch/dispatcher.hpp"
#include "tallyfold/scheduling/rendezvous.hpp"

namespace tallyfold::tests {

namespace {

using namespace std::chrono_literals;

constexpr int engine_count = 8;
constexpr std::uint32_t slots = 6;
constexpr int tenants = 82;
constexpr double short_per_second = 9;
constexpr double long_per_second = 5.5;
constexpr double shared_tokens = 512;
constexpr double prefill_tokens_per_ms = 78.6;
constexpr double first_token_ms = 18;
constexpr double tokens_per_event = 13;
constexpr std::uint32_t max_answer_tokens = 130;
constexpr std::uint32_t longest_wait_ms = 1'200;
constexpr duration patience = 2s;
constexpr duration call_deadline = 4s;
constexpr duration arrivals_end = 20s;
constexpr duration replay_end_time = 28s;

instant at(duration since_start) {
    // Not at the clock's origin, which the components take for an unset time.
    return instant(100s + since_start);
}

double step_ms(std::size_t running) {
    return 3.13 + 0.018 * (static_cast<double>(running) - 1);
}

double prompt_tokens(const replayed_program& program, std::size_t turn) {
    if (!program.is_long) {
        return shared_tokens + 654;
    }
    double tokens = shared_tokens + 327.0 * static_cast<double>(turn + 1);
    for (std::size_t earlier = 0; earlier < turn; ++earlier) {
        tokens += program.answers[earlier];
    }
    return tokens;
}

duration pause_of(const replayed_program& program) {
    return program.is_long ? 20ms : 60ms;
}

duration from_ms(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(value));
}

/// Engine given by rendezvous hashing of the program.
int former_engine(std::size_t program) {
    int best = 0;
    std::uint64_t greatest = 0;
    for (int engine = 0; engine < engine_count; ++engine) {
        const std::uint64_t weight = scheduling::rendezvous_weight(
            stable_hash(std::to_string(program)), stable_hash(std::to_string(engine)));
        if (weight >= greatest) {
            best = engine;
            greatest = weight;
        }
    }
    return best;
}

/// Draws the programs; the same ones for both decisions.
std::vector<replayed_program> draw_programs(const replay_load& load) {
    std::mt19937_64 random(load.seed);
    std::vector<double> usual;
    for (int rank = 1; rank <= tenants; ++rank) {
        usual.push_back(std::pow(rank, -1.2));
    }
    std::discrete_distribution<int> tenant(usual.begin(), usual.end());
    std::uniform_real_distribution<double> uniform;
    std::vector<replayed_program> programs;
    const double most = load.burst * load.hot;
    for (const bool is_long : {false, true}) {
        std::exponential_distribution<double> gap(most *
                                                  (is_long ? long_per_second : short_per_second));
        const double mean_turns = is_long ? 9 : 3;
        std::normal_distribution<double> turns(mean_turns, 0.4 * mean_turns);
        for (double now = gap(random); now < 20; now += gap(random)) {
            replayed_program program;
            program.is_long = is_long;
            program.tenant = tenant(random);
            program.arrived = at(from_ms(now * 1'000));
            // Thins the arrivals at the greatest rate to the present one.
            const bool burst = now >= 6 && now < 12;
            const double rate =
                burst ? load.burst * (program.tenant == replay_hot_tenant ? load.hot : 1) : 1;
            const double drawn_turns = std::clamp(turns(random), 1.0, 2 * mean_turns);
            double idle_ms = 0;
            for (int turn = 0; turn < static_cast<int>(drawn_turns + 0.5); ++turn) {
                const double events = 1.6 + 8 * uniform(random);
                program.answers.push_back(tokens_per_event * events);
                const double uncached = is_long ? 327 : 654;
                idle_ms += uncached / prefill_tokens_per_ms + first_token_ms +
                           program.answers.back() * step_ms(1) +
                           (turn > 0 ? static_cast<double>(to_milliseconds(pause_of(program))) : 0);
            }
            program.objective = from_ms(is_long ? 1.4 * idle_ms + 500 : 1.2 * idle_ms + 250);
            if (uniform(random) * most < rate) {
                programs.push_back(program);
            }
        }
    }
    std::sort(programs.begin(), programs.end(),
              [](const auto& one, const auto& other) { return one.arrived < other.arrived; });
    return programs;
}

/// Engine with a step of 1 ms: prefills in arrival order and takes half of the time from running
/// answers meanwhile.
class engine_model {
  public:
    void add(std::size_t program, double prompt, double known, double answer) {
        waiting_.push_back({program, prompt, known, 0, first_token_ms, answer});
    }
    /// @return programs with a first event, and programs whose call has ended
    std::pair<std::vector<std::size_t>, std::vector<std::size_t>> step() {
        std::pair<std::vector<std::size_t>, std::vector<std::size_t>> events;
        while (running_.size() < slots && !waiting_.empty()) {
            job started = waiting_.front();
            waiting_.pop_front();
            const double history = cached_.contains(started.program) ? started.known : 0;
            started.prefill = started.prompt - shared_tokens - history;
            cached_.insert(started.program);
            running_.push_back(started);
        }
        const auto prefilling = std::find_if(running_.begin(), running_.end(),
                                             [](const job& each) { return each.prefill > 0; });
        const bool shared = prefilling != running_.end() &&
                            std::any_of(running_.begin(), running_.end(),
                                        [](const job& each) { return each.prefill <= 0; });
        for (job& each : running_) {
            if (each.prefill > 0) {
                continue;
            }
            if (each.first_ms > 0) {
                each.first_ms -= 1;
                if (each.first_ms <= 0) {
                    events.first.push_back(each.program);
                }
            } else {
                each.answer -= (shared ? 0.5 : 1) / step_ms(running_.size());
            }
        }
        if (prefilling != running_.end()) {
            prefilling->prefill -= prefill_tokens_per_ms * (shared ? 0.5 : 1);
        }
        std::erase_if(running_, [&](const job& each) {
            const bool ended = each.prefill <= 0 && each.first_ms <= 0 && each.answer <= 0;
            if (ended) {
                events.second.push_back(each.program);
            }
            return ended;
        });
        return events;
    }
    void cancel(std::size_t program) {
        const auto same = [&](const job& each) { return each.program == program; };
        std::erase_if(running_, same);
        std::erase_if(waiting_, same);
    }
    [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

  private:
    struct job {
        std::size_t program = 0;
        double prompt = 0;
        /// Tokens of earlier turns in the prompt.
        double known = 0;
        double prefill = 0;
        double first_ms = 0;
        double answer = 0;
    };
    std::deque<job> waiting_;
    std::vector<job> running_;
    std::set<std::size_t> cached_;
};

class replay_run {
  public:
    replay_run(const replay_load& load, bool dispatched)
        : load_(load), dispatched_(dispatched), dispatcher_({}), engines_(engine_count) {
        result_.programs = draw_programs(load);
        std::vector<scheduling::backend_member> members;
        for (int engine = 0; engine < engine_count; ++engine) {
            scheduling::backend_member member;
            member.name = std::to_string(engine);
            member.address = member.name;
            member.zone = "z";
            member.slots = slots;
            member.listed_only = true;
            members.push_back(member);
        }
        dispatcher_.set_engines(members, 46'002);
    }

    replay_result run() {
        for (std::size_t program = 0; program < result_.programs.size(); ++program) {
            due_.emplace(result_.programs[program].arrived, program);
        }
        for (now_ = at(0ms); now_ < at(replay_end_time); now_ += 1ms) {
            while (!due_.empty() && due_.begin()->first <= now_) {
                const std::size_t program = due_.begin()->second;
                due_.erase(due_.begin());
                begin_call(program);
            }
            step_engines();
            leave_late_calls();
            if (dispatched_ && to_milliseconds(now_.time_since_epoch()) % 20 == 0) {
                take(dispatcher_.tick(now_));
                repeat();
            }
        }
        return std::move(result_);
    }

  private:
    struct open_call {
        dispatch::place_request request;
        int engine = -1;
        bool has_event = false;
    };

    void end(std::size_t program, replay_end how) {
        result_.programs[program].end = how;
        result_.programs[program].ended = now_;
        open_.erase(program);
    }

    void begin_call(std::size_t index) {
        replayed_program& program = result_.programs[index];
        program.calls.push_back({now_, patience, {}, {}, false});
        open_call& call = open_[index];
        if (!dispatched_) {
            start(index, former_engine(index));
            return;
        }
        dispatch::place_request& request = call.request;
        request.node = "f";
        request.process_id = 1;
        request.call = ++calls_;
        request.zone = "z";
        request.tenant = std::to_string(program.tenant);
        request.tenant_weight = load_.weighted ? std::pow(program.tenant + 1, -1.2) : 1;
        request.route = program.is_long ? "long" : "short";
        request.route_priority = program.is_long ? 2 : 0;
        request.program = index + 1;
        request.program_running = program.turn > 0;
        request.time_left_ms =
            static_cast<std::int32_t>(to_milliseconds(program.arrived + program.objective - now_));
        request.longest_wait_ms = longest_wait_ms;
        request.prompt_tokens = static_cast<std::uint32_t>(prompt_tokens(program, program.turn));
        request.max_tokens = max_answer_tokens;
        for (std::size_t turn = 0; turn < program.turn; ++turn) {
            request.used_tokens += static_cast<std::uint64_t>(program.answers[turn]);
        }
        request.prompt = {{1, 512}};
        if (program.is_long) {
            request.prompt.push_back({index + 2, request.prompt_tokens});
        }
        by_call_[request.call] = index;
        take(dispatcher_.request(dispatch::place_request(request), now_));
    }

    void start(std::size_t index, int engine) {
        replayed_program& program = result_.programs[index];
        open_[index].engine = engine;
        const double prompt = prompt_tokens(program, program.turn);
        const double known = program.is_long && program.turn > 0
                                 ? prompt_tokens(program, program.turn - 1) - shared_tokens +
                                       program.answers[program.turn - 1]
                                 : 0;
        engines_[static_cast<std::size_t>(engine)].add(index, prompt, known,
                                                       program.answers[program.turn]);
    }

    void take(const std::vector<dispatch::addressed_answer>& answers) {
        for (const auto& [node, answer] : answers) {
            const std::size_t index = by_call_.at(answer.call);
            replayed_program::call& call = result_.programs[index].calls.back();
            if (answer.outcome == dispatch::place_outcome::granted && open_[index].engine < 0) {
                call.waited = now_ - call.made;
                call.forced = answer.reason == dispatch::place_reason::longest_wait_reached;
                start(index, std::stoi(answer.engine));
            } else if (answer.outcome == dispatch::place_outcome::waiting &&
                       call.expected_wait == duration{}) {
                call.expected_wait = std::chrono::milliseconds(answer.expected_wait_ms);
            } else if (answer.outcome == dispatch::place_outcome::refused) {
                end(index, result_.programs[index].turn > 0 ? replay_end::refused_running
                                                            : replay_end::refused_new);
            }
        }
    }

    void release(std::size_t index, dispatch::release_outcome outcome) {
        if (!dispatched_) {
            return;
        }
        const replayed_program& program = result_.programs[index];
        const open_call& call = open_[index];
        dispatch::released_call released;
        released.call = call.request.call;
        released.outcome = outcome;
        released.engine = call.engine < 0 ? "" : std::to_string(call.engine);
        if (outcome == dispatch::release_outcome::answered) {
            const double tokens = program.answers[program.turn];
            const duration first = program.calls.back().first_event - program.calls.back().waited;
            const duration took = now_ - program.calls.back().made - program.calls.back().waited;
            released.generated_tokens = static_cast<std::uint32_t>(tokens);
            released.events = static_cast<std::uint32_t>(tokens / tokens_per_event) + 1;
            released.first_event_us = static_cast<std::uint32_t>(first.count());
            released.gap_us = static_cast<std::uint32_t>((took - first).count() / released.events);
        }
        take(dispatcher_.release({"f", 1, {released}}, now_));
    }

    void step_engines() {
        std::size_t beyond = 0;
        for (engine_model& engine : engines_) {
            const auto [first, ended] = engine.step();
            beyond += engine.waiting();
            for (const std::size_t index : first) {
                replayed_program::call& call = result_.programs[index].calls.back();
                call.first_event = now_ - call.made;
                open_[index].has_event = true;
            }
            for (const std::size_t index : ended) {
                release(index, dispatch::release_outcome::answered);
                replayed_program& program = result_.programs[index];
                open_.erase(index);
                if (++program.turn < program.answers.size()) {
                    due_.emplace(now_ + pause_of(program), index);
                } else {
                    end(index, now_ - program.arrived <= program.objective ? replay_end::in_time
                                                                           : replay_end::late);
                }
            }
        }
        result_.most_beyond_slots = std::max(result_.most_beyond_slots, beyond);
    }

    void leave_late_calls() {
        std::vector<std::size_t> leaving;
        for (const auto& [index, call] : open_) {
            const duration age = now_ - result_.programs[index].calls.back().made;
            if (age > call_deadline || (!call.has_event && age > patience)) {
                leaving.push_back(index);
            }
        }
        for (const std::size_t index : leaving) {
            const int engine = open_[index].engine;
            if (engine >= 0) {
                engines_[static_cast<std::size_t>(engine)].cancel(index);
            }
            release(index, dispatch::release_outcome::not_sent);
            end(index, replay_end::left);
        }
    }

    /// Renews leases and repeats requests, more often than a forwarder.
    void repeat() {
        std::vector<dispatch::place_request> waiting;
        dispatch::place_renewal renewal{"f", 1, {}};
        for (const auto& [index, call] : open_) {
            if (call.engine < 0) {
                waiting.push_back(call.request);
            } else {
                renewal.calls.push_back(
                    {call.request.call, "", std::to_string(call.engine), index + 1, 0});
            }
        }
        dispatcher_.renew(renewal, now_);
        for (const dispatch::place_request& request : waiting) {
            take(dispatcher_.request(dispatch::place_request(request), now_));
        }
    }

    replay_load load_;
    bool dispatched_;
    dispatch::dispatcher dispatcher_;
    std::vector<engine_model> engines_;
    replay_result result_;
    instant now_{};
    std::multimap<instant, std::size_t> due_;
    std::map<std::size_t, open_call> open_;
    std::map<dispatch::call_number, std::size_t> by_call_;
    dispatch::call_number calls_ = 0;
};

}  // namespace

duration replay_result::first_event(double quantile, instant from, instant until) const {
    std::vector<duration> times;
    for (const replayed_program& program : programs) {
        for (const replayed_program::call& call : program.calls) {
            const bool refused =
                &call == &program.calls.back() && (program.end == replay_end::refused_new ||
                                                   program.end == replay_end::refused_running);
            if (call.made >= from && call.made < until && !refused) {
                times.push_back(call.first_event);
            }
        }
    }
    if (times.empty()) {
        return {};
    }
    std::sort(times.begin(), times.end());
    return times[static_cast<std::size_t>(quantile * static_cast<double>(times.size() - 1))];
}

replay_result replay(const replay_load& load, bool dispatched) {
    return replay_run(load, dispatched).run();
}

}  // namespace tallyfold::tests
