#include "tallyfold/program_api/process/process_settings.hpp"

#include <algorithm>

namespace tallyfold::settings {

namespace {

constexpr std::int64_t max_interval_ms = 600'000;
constexpr std::int64_t max_shards = 65'536;
constexpr std::int64_t max_groups = 1024;

std::vector<node_name> node_names(const node_addresses& addresses) {
    std::vector<node_name> names;
    for (const auto& [name, address] : addresses) {
        names.push_back(name);
    }
    return names;
}

duration milliseconds_or(settings_reader& reader, const std::string& key, duration fallback) {
    return std::chrono::milliseconds(
        reader.integer_or(key, to_milliseconds(fallback), 1, max_interval_ms));
}

template <class Settings>
settings_result<Settings> settings_or_problems(settings_reader& reader, Settings settings) {
    reader.finish();
    if (!reader.problems().empty()) {
        return tl::unexpected(reader.problems());
    }
    return settings;
}

gateway_process fill_gateway(settings_reader& reader) {
    gateway_process settings;
    settings.core.node = reader.text("node");
    settings.core.zone = reader.text_or("zone", "");
    settings.http_listen = reader.address("http_listen");
    settings.key_file = reader.text("key_file");
    settings.control = reader.address_table("control");
    settings.core.control_nodes = node_names(settings.control);
    settings.core.shard_count =
        static_cast<std::uint32_t>(reader.integer_or("shard_count", 64, 1, max_shards));
    settings.core.request_limit =
        static_cast<std::size_t>(reader.integer_or("request_limit", 4096, 1, 1'000'000));
    settings.core.failover_limit =
        milliseconds_or(reader, "failover_limit_ms", settings.core.failover_limit);
    settings.core.heartbeat_interval =
        milliseconds_or(reader, "heartbeat_interval_ms", settings.core.heartbeat_interval);
    settings.core.configuration_lease =
        milliseconds_or(reader, "configuration_lease_ms", settings.core.configuration_lease);
    settings.largest_body =
        static_cast<std::size_t>(reader.integer_or("largest_body_bytes", 8 << 20, 1024, 64 << 20));
    return settings;
}

scheduler_process fill_scheduler(settings_reader& reader) {
    scheduler_process settings;
    settings.core.node = reader.text("node");
    settings.core.zone = reader.text_or("zone", "");
    settings.listen = reader.address("listen");
    settings.core.address = reader.text_or("advertise", settings.listen);
    settings.http_listen = reader.address("http_listen");
    settings.key_file = reader.text("key_file");
    settings.control = reader.address_table("control");
    settings.core.control_nodes = node_names(settings.control);
    settings.members_address = reader.address("members_address");
    settings.core.shard_count =
        static_cast<std::uint32_t>(reader.integer_or("shard_count", 64, 1, max_shards));
    settings.core.journal_groups =
        static_cast<std::uint32_t>(reader.integer_or("journal_groups", 2, 1, max_groups));
    settings.core.heartbeat_interval =
        milliseconds_or(reader, "heartbeat_interval_ms", settings.core.heartbeat_interval);
    settings.core.configuration_lease =
        milliseconds_or(reader, "configuration_lease_ms", settings.core.configuration_lease);
    settings.core.status_interval =
        milliseconds_or(reader, "status_interval_ms", settings.core.status_interval);
    settings.core.members_interval =
        milliseconds_or(reader, "members_interval_ms", settings.core.members_interval);
    settings.core.stream_stall =
        milliseconds_or(reader, "stream_stall_ms", settings.core.stream_stall);
    settings.core.attempt_limit =
        static_cast<std::uint32_t>(reader.integer_or("attempt_limit", 4, 1, 100));
    const std::string strategy = reader.text_or("strategy", "tallyfold");
    const auto parsed = scheduling::parse_strategy(strategy);
    if (!parsed) {
        reader.problem("strategy",
                       "must be tallyfold, round_robin, least_outstanding or affinity_fcfs");
    }
    settings.core.placement = parsed.value_or(scheduling::strategy::policy);
    return settings;
}

control_process fill_control(settings_reader& reader) {
    control_process settings;
    settings.core.node = reader.text("node");
    settings.listen = reader.address("listen");
    settings.http_listen = reader.address("http_listen");
    settings.key_file = reader.text("key_file");
    settings.operator_file = reader.text("operator_file");
    settings.data_folder = reader.text("data_folder");
    settings.control = reader.address_table("control");
    settings.core.peers = node_names(settings.control);
    settings.core.shard_count =
        static_cast<std::uint32_t>(reader.integer_or("shard_count", 64, 1, max_shards));
    settings.core.journal_groups =
        static_cast<std::uint32_t>(reader.integer_or("journal_groups", 2, 1, max_groups));
    settings.core.election_timeout =
        milliseconds_or(reader, "election_timeout_ms", settings.core.election_timeout);
    settings.core.heartbeat_interval =
        milliseconds_or(reader, "replica_heartbeat_ms", settings.core.heartbeat_interval);
    settings.core.scheduler_timeout =
        milliseconds_or(reader, "scheduler_timeout_ms", settings.core.scheduler_timeout);
    settings.core.snapshot_interval = static_cast<std::uint64_t>(
        reader.integer_or("snapshot_interval_entries", 4096, 16, 1'000'000));
    const bool listed =
        std::any_of(settings.control.begin(), settings.control.end(),
                    [&](const auto& entry) { return entry.first == settings.core.node; });
    if (!settings.core.node.empty() && !listed) {
        reader.problem("control", "must name this node, '" + settings.core.node + "', too");
    }
    return settings;
}

}  // namespace

settings_result<gateway_process> read_gateway(const std::string& file) {
    settings_reader reader(file);
    gateway_process settings = fill_gateway(reader);
    return settings_or_problems(reader, std::move(settings));
}

settings_result<scheduler_process> read_scheduler(const std::string& file) {
    settings_reader reader(file);
    scheduler_process settings = fill_scheduler(reader);
    return settings_or_problems(reader, std::move(settings));
}

settings_result<control_process> read_control(const std::string& file) {
    settings_reader reader(file);
    control_process settings = fill_control(reader);
    return settings_or_problems(reader, std::move(settings));
}

std::vector<std::string> all_keys(const std::string& program) {
    settings_reader reader("/dev/null");
    if (program == "gateway") {
        fill_gateway(reader);
    } else if (program == "scheduler") {
        fill_scheduler(reader);
    } else {
        fill_control(reader);
    }
    return {reader.known_keys().begin(), reader.known_keys().end()};
}

}  // namespace tallyfold::settings
