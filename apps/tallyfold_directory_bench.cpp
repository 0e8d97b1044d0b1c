/// @file
/// Benchmarks a configuration change on a directory node: parsing, appending to the log, applying,
/// and sending it to the nodes that hold the previous version. Prints one line per configuration
/// size.

#include <chrono>
#include <cstdio>
#include <string>

#include "platform/configuration_format.hpp"
#include "tallyfold/plane/directory/directory_core.hpp"
#include "tallyfold/plane/messaging/peer_message.hpp"

namespace {

using namespace tallyfold;

constexpr std::size_t nodes = 255;
/// Number of other directory members.
constexpr std::size_t followers = 5;

/// Text of a configuration with the given number of routes.
std::string configuration_text(std::uint64_t version, std::size_t routes) {
    std::string text = "{\"Version\":" + std::to_string(version) + ",\"Routes\":[";
    for (std::size_t number = 0; number < routes; ++number) {
        const std::string word = std::to_string(number * 2654435761U % 4294967291U);
        text += number == 0 ? "" : ",";
        text += "{\"Name\":\"r-" + word + "\",\"Hostname\":\"h" + word +
                ".example\",\"PathPrefix\":\"/p" + word +
                "/\",\"Type\":\"streaming\",\"TimeoutMs\":4000,\"TargetLatencyMs\":250,"
                "\"Priority\":0,\"Service\":\"service-a\",\"MaxAttempts\":1,\"KeepsHistory\":false,"
                "\"RetentionS\":60.0,\"SessionAffinity\":true,\"Resumable\":true,"
                "\"TargetGapMs\":200}";
    }
    text +=
        "],\"Services\":[{\"Name\":\"service-a\",\"HealthPath\":\"/health\",\"MaxConnections\":170}"
        "]}";
    return text;
}

class stopwatch {
  public:
    [[nodiscard]] double milliseconds() const {
        return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - began_)
            .count();
    }

  private:
    std::chrono::steady_clock::time_point began_ = std::chrono::steady_clock::now();
};

/// A directory with a single node, which elects itself leader.
directory::directory_core alone(instant now) {
    directory::directory_settings settings;
    settings.address = "10.0.0.1:71";
    settings.seeds = {settings.address};
    settings.first_start = true;
    settings.members.min_voters = 1;
    return {settings, directory::first_identity(settings.address), {}, now};
}

/// Completes pending work without disk I/O. @return the number of bytes to be written
std::size_t drain(directory::directory_core& core) {
    std::size_t bytes = 0;
    for (directory::directory_work work = core.take_work(); !work.empty();
         work = core.take_work()) {
        if (work.write.has_value()) {
            for (const consensus::log_entry& entry : work.write->entries) {
                bytes += entry.payload.size();
            }
            core.persisted();
        }
    }
    return bytes;
}

struct costs {
    double read = 0;
    double log = 0;
    double tell = 0;
    std::size_t written = 0;
    std::size_t told = 0;
};

/// Serves all configuration parts to a node that holds version 1. @return the number of bytes sent
std::size_t serve_configuration(directory::directory_core& core) {
    directory::configuration_request request;
    request.held = 1;
    std::size_t bytes = 0;
    while (true) {
        const directory::configuration_part part = core.receive(request);
        bytes += messaging::encode_frame(part).size();
        request.content = part.content;
        request.offset = part.offset + part.bytes.size();
        if (request.offset >= part.size) {
            return bytes;
        }
    }
}

/// Measures the change from `before` to `after` routes on the leader.
costs measure(std::size_t before, std::size_t after) {
    instant now{std::chrono::seconds(1)};
    directory::directory_core core = alone(now);
    while (!core.leads()) {
        now += std::chrono::milliseconds(20);
        core.tick(now);
        drain(core);
    }
    const auto submit = [&](std::uint64_t version, std::size_t routes, costs& spent) {
        const std::string text = configuration_text(version, routes);
        const stopwatch reading;
        auto parsed = platform::parse_configuration(text);
        spent.read = reading.milliseconds();
        const stopwatch logging;
        core.submit(version, directory::replace_configuration{std::move(*parsed), text});
        spent.written = drain(core);
        spent.log = logging.milliseconds();
    };
    costs spent;
    submit(1, before, spent);
    submit(2, after, spent);
    const stopwatch telling;
    for (std::size_t node = 0; node < nodes; ++node) {
        directory::node_report report;
        report.node = "node-" + std::to_string(node);
        report.configuration = 1;
        spent.told += messaging::encode_frame(core.receive(report, now)).size();
        spent.told += serve_configuration(core);
    }
    spent.tell = telling.milliseconds();
    return spent;
}

void print(std::size_t before, std::size_t after) {
    const costs spent = measure(before, after);
    std::printf(
        "%zu to %zu routes: read %.1f ms; log and apply %.1f ms, %zu bytes written and sent to "
        "each "
        "of %zu members; tell %zu nodes %.1f ms, %.2f MB\n",
        before, after, spent.read, spent.log, spent.written, followers, nodes, spent.tell,
        static_cast<double>(spent.told) / 1e6);
}

}  // namespace

int main() {
    print(400, 400);
    print(400, 2'400);
    print(2'000, 2'000);
    print(2'000, 4'000);
    print(6'000, 6'000);
    print(4'000, 6'000);
    return 0;
}
