#include <map>
#include <memory>

#include "stand_ins/caller_http.hpp"
#include "stand_ins/caller_process.hpp"
#include "tallyfold/program_api/http/http_client.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"
#include "tallyfold/program_api/scheduler/backend_http_codec.hpp"

namespace tallyfold::stand_ins {

namespace {

constexpr std::size_t ring_capacity = 65'536;
constexpr std::chrono::microseconds turn_interval{5'000};
constexpr std::chrono::milliseconds request_timeout{30'000};

class caller_runtime {
  public:
    explicit caller_runtime(const caller_process& settings)
        : settings_(settings),
          events_(ring_capacity, [this] { signal_.notify(); }),
          client_([this](net::http_event event) { events_.push(std::move(event)); }) {
        caller_core::settings options;
        options.run = settings.run;
        std::size_t index = 0;
        for (program_script& script : make_workload(settings.workload)) {
            starts_.push_back(script.start);
            callers_.push_back(std::make_unique<caller_core>(
                options, std::move(script), "/p" + std::to_string(index++), "", ""));
        }
    }

    caller_results run(const std::atomic<bool>& stop) {
        client_.start();
        const instant begin = net::monotonic_now();
        instant now = begin;
        while (!stop && !all_done() && now - begin < settings_.limit) {
            signal_.wait_for(turn_interval);
            now = net::monotonic_now();
            turn(begin, now);
        }
        client_.stop();
        caller_results results;
        results.finished = all_done();
        for (const auto& caller : callers_) {
            results.reports.push_back(caller->report());
        }
        return results;
    }

  private:
    struct open_request {
        std::size_t caller = 0;
        caller_action action;
        bool streamed = false;
        scheduler::event_stream_splitter splitter;
        std::string streamed_text;
        bool ended = false;
    };

    [[nodiscard]] bool all_done() const {
        return started_ == callers_.size() &&
               std::all_of(callers_.begin(), callers_.end(),
                           [](const auto& caller) { return caller->done(); });
    }

    void turn(instant begin, instant now) {
        net::drain_ring(events_, [&](net::http_event& event) { on_event(event, now); });
        while (started_ < callers_.size() && begin + starts_[started_] <= now) {
            callers_[started_++]->start(now);
        }
        for (std::size_t index = 0; index < started_; ++index) {
            callers_[index]->tick(now);
            for (caller_action& action : callers_[index]->take_actions()) {
                send(index, std::move(action), now);
            }
        }
    }

    void send(std::size_t caller, caller_action action, instant now) {
        caller_http_request request = render_request(action);
        net::http_call call;
        call.id = action.token;
        call.method = std::move(request.method);
        call.url = "http://" + settings_.gateways[next_gateway_] + request.path;
        call.body = std::move(request.body);
        call.timeout = request_timeout;
        call.streamed = request.streamed;
        next_gateway_ = (next_gateway_ + 1) % settings_.gateways.size();
        const caller_token token = action.token;
        if (!client_.submit(std::move(call))) {
            callers_[caller]->on_refused(token, now);
            return;
        }
        requests_[token] = {caller, std::move(action), request.streamed, {}, {}, false};
    }

    void on_event(net::http_event& event, instant now) {
        const auto found = requests_.find(event.id);
        if (found == requests_.end()) {
            return;
        }
        open_request& request = found->second;
        if (event.kind == net::http_event_kind::data) {
            on_bytes(event.id, request, event.bytes, now);
            return;
        }
        caller_core& caller = *callers_[request.caller];
        if (event.kind == net::http_event_kind::unreachable) {
            caller.on_refused(event.id, now);
        } else if (!request.ended) {
            const auto answer = event.kind == net::http_event_kind::finished
                                    ? parse_answer(request.action, event.bytes)
                                    : std::nullopt;
            if (answer) {
                caller.on_answer(event.id, *answer, now);
            } else {
                caller.on_disconnected(event.id, now);
            }
        }
        requests_.erase(found);
    }

    void on_bytes(caller_token token, open_request& request, const std::string& bytes,
                  instant now) {
        caller_core& caller = *callers_[request.caller];
        std::vector<std::string> pieces;
        std::optional<journal::outcome> end;
        for (const std::string& text : request.splitter.add(bytes)) {
            const auto event = parse_stream_event(text);
            if (!event) {
                continue;
            }
            if (!event->piece.empty()) {
                pieces.push_back(event->piece);
                request.streamed_text += event->piece;
            }
            if (event->end) {
                end = event->end;
            }
        }
        if (!pieces.empty()) {
            caller.on_pieces(token, pieces, now);
        }
        if (end && !request.ended) {
            request.ended = true;
            end->answer = request.streamed_text;
            caller.on_answer(token, *end, now);
        }
    }

    const caller_process& settings_;
    wake_signal signal_;
    bounded_ring<net::http_event> events_;
    net::http_client client_;
    std::vector<duration> starts_;
    std::vector<std::unique_ptr<caller_core>> callers_;
    std::map<caller_token, open_request> requests_;
    std::size_t started_ = 0;
    std::size_t next_gateway_ = 0;
};

}  // namespace

caller_results run_callers(const caller_process& settings, const std::atomic<bool>& stop) {
    return caller_runtime(settings).run(stop);
}

}  // namespace tallyfold::stand_ins
