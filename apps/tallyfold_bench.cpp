/// @file
/// Own cost on real processes: how much gateway and scheduler add to a call, against the same
/// engine called directly. Prints one JSON object as its last line.

#include <tclap/CmdLine.h>

#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "tallyfold/program_api/http/blocking_http.hpp"
#include "tallyfold/program_api/process/logic_thread.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"

namespace {

using namespace tallyfold;
using nlohmann::json;

struct latency_sample {
    std::vector<double> milliseconds;
    int failed = 0;

    [[nodiscard]] double at(double share) {
        if (milliseconds.empty()) {
            return 0;
        }
        std::sort(milliseconds.begin(), milliseconds.end());
        return milliseconds[static_cast<std::size_t>(share *
                                                     static_cast<double>(milliseconds.size() - 1))];
    }
};

bool timed_post(const std::string& url, const json& body, latency_sample& sample) {
    net::blocking_request request;
    request.method = "POST";
    request.url = url;
    request.body = body.dump();
    const instant begin = net::monotonic_now();
    const net::blocking_reply reply = net::fetch(request);
    const duration taken = net::monotonic_now() - begin;
    if (reply.status != 200) {
        ++sample.failed;
        return false;
    }
    sample.milliseconds.push_back(static_cast<double>(taken.count()) / 1000.0);
    return true;
}

json messages_for(int turn) {
    return json::array(
        {{{"role", "user"}, {"content", "turn " + std::to_string(turn)}, {"tokens", 10}}});
}

/// One call a program, so that every call computes the same small prompt.
latency_sample through_gateway(const std::string& gateway, int calls, latency_sample& opened_in) {
    latency_sample sample;
    latency_sample ignored;
    const std::string run = std::to_string(net::random_number());
    for (int number = 0; number < calls; ++number) {
        net::blocking_request open;
        open.method = "POST";
        open.url = "http://" + gateway + "/v1/programs";
        open.body = json{{"tenant", "adspark"},
                         {"class", "assistant"},
                         {"budget", 1000},
                         {"request_identity", run + "/" + std::to_string(number)}}
                        .dump();
        const instant begin = net::monotonic_now();
        const json opened = json::parse(net::fetch(open).body, nullptr, false);
        const duration taken = net::monotonic_now() - begin;
        opened_in.milliseconds.push_back(static_cast<double>(taken.count()) / 1000.0);
        if (!opened.is_object() || !opened.contains("program")) {
            ++sample.failed;
            continue;
        }
        const auto program = opened.at("program").get<std::string>();
        timed_post("http://" + gateway + "/v1/chat/completions",
                   {{"program", program},
                    {"sequence", 1},
                    {"request_identity", program},
                    {"max_tokens", 2},
                    {"messages", messages_for(number)}},
                   sample);
        timed_post("http://" + gateway + "/v1/programs/" + program + "/close", json::object(),
                   ignored);
    }
    return sample;
}

latency_sample directly(const std::string& engine, int calls) {
    latency_sample sample;
    const std::string run = "bench" + std::to_string(net::random_number());
    for (int number = 0; number < calls; ++number) {
        timed_post("http://" + engine + "/v1/streams",
                   {{"key", run + "/" + std::to_string(number + 1) + "/1"},
                    {"fence", {{"shard", 999'999}, {"epoch", 1}}},
                    {"model", ""},
                    {"messages", messages_for(number)},
                    {"prefix", json::array()},
                    {"max_tokens", 2},
                    {"priority", 0}},
                   sample);
    }
    return sample;
}

}  // namespace

int main(int argument_count, char** arguments) {
    TCLAP::CmdLine line("Added latency of gateway and scheduler", ' ', "0.1.0");
    TCLAP::ValueArg<std::string> gateway("", "gateway", "A gateway", true, "", "ip:port", line);
    TCLAP::ValueArg<std::string> engine("", "engine", "An engine", true, "", "ip:port", line);
    TCLAP::ValueArg<int> calls("", "calls", "Calls each way", false, 300, "N", line);
    line.parse(argument_count, arguments);
    latency_sample direct = directly(engine.getValue(), calls.getValue());
    latency_sample opened;
    latency_sample served = through_gateway(gateway.getValue(), calls.getValue(), opened);
    const json result = {{"calls", calls.getValue()},
                         {"failed", direct.failed + served.failed},
                         {"open_p50_ms", opened.at(0.5)},
                         {"open_p99_ms", opened.at(0.99)},
                         {"direct_p50_ms", direct.at(0.5)},
                         {"direct_p99_ms", direct.at(0.99)},
                         {"served_p50_ms", served.at(0.5)},
                         {"served_p99_ms", served.at(0.99)},
                         {"added_p50_ms", served.at(0.5) - direct.at(0.5)}};
    std::cout << result.dump() << '\n';
    return direct.failed + served.failed == 0 ? 0 : 1;
}
