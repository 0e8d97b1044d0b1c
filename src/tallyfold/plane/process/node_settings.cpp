#include "tallyfold/plane/process/node_settings.hpp"

#include "tallyfold/base/net/socket_address.hpp"

namespace tallyfold::settings {

namespace {

// Upper limits; larger values are rejected as mistakes.
constexpr std::int64_t max_port = 65'535;
constexpr double max_seconds = 3'600;
constexpr double max_accepted_slowdown = 1'000;
constexpr double max_quota_slack = 10'000;
constexpr std::int64_t max_losses_borne = 16;
constexpr std::int64_t max_dispatch_from_nodes = 100'000;
constexpr std::int64_t max_acknowledge_ms = 600'000;
constexpr std::int64_t max_revocation_ms = 600'000;
constexpr std::int64_t max_memory_mb = 16'000'000;
constexpr std::int64_t max_descriptors = 100'000'000;

// Default values.
/// Groups of three stores and three voters tolerate one loss.
constexpr std::int64_t default_losses_borne = 1;
constexpr double default_max_slowdown = 1.7;
constexpr double default_grace_seconds = 8;
constexpr std::int64_t default_acknowledge_ms = 4'000;
constexpr double default_quota_window_seconds = 5;
/// Longer than the election of another lender, which takes 0.5 to 1 s.
constexpr std::int64_t default_quota_lease_ms = 2'000;
/// Longer than the spread of a configuration to every node; the configuration is confirmed four
/// times in this time.
constexpr std::int64_t default_revocation_ms = 5'000;

duration seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

bool is_endpoint(const std::string& text) {
    return net::parse_endpoint(text).has_value();
}

/// True for the names that scheduling::parse_strategy() accepts.
bool is_placement(const std::string& name) {
    return name == "tallyfold" || name == "round_robin" || name == "least_outstanding" ||
           name == "affinity_fcfs";
}

std::string optional_address(settings_reader& reader, const std::string& key) {
    std::string value = reader.text_or(key, {});
    if (!value.empty() && !is_endpoint(value)) {
        reader.problem(key, "must be an IP number and a port, or empty");
    }
    return value;
}

std::uint16_t port(settings_reader& reader, const std::string& key, std::int64_t min_value) {
    return static_cast<std::uint16_t>(reader.integer_or(key, 0, min_value, max_port));
}

duration milliseconds(settings_reader& reader, const std::string& key, std::int64_t default_value,
                      std::int64_t min_value, std::int64_t max_value) {
    return std::chrono::milliseconds(reader.integer_or(key, default_value, min_value, max_value));
}

/// Reads the identity of the machine, its addresses and its storage.
void read_machine(settings_reader& reader, node_settings& settings) {
    settings.node = reader.text("node");
    settings.zone = reader.text("zone");
    settings.ip = reader.text("ip");
    settings.listen_ip = reader.text_or("listen_ip", settings.ip);
    settings.directory_port = port(reader, "directory_port", 1);
    settings.store_port = port(reader, "store_port", 1);
    settings.seeds = reader.text_list("seeds");
    for (const std::string& seed : settings.seeds) {
        if (!is_endpoint(seed)) {
            reader.problem("seeds", "'" + seed + "' must be an IP number and a port");
        }
    }
    settings.first_start = reader.text_or("first_start", "false") == "true";
    settings.data_folder = reader.text_or("data_folder", {});
    settings.tolerated_losses = static_cast<std::uint32_t>(
        reader.integer_or("losses_borne", default_losses_borne, 0, max_losses_borne));
}

/// Reads what the machine gives to this process.
void read_resources(settings_reader& reader, node_settings& settings) {
    settings.memory_mb =
        static_cast<std::uint64_t>(reader.integer_or("memory_mb", 0, 0, max_memory_mb));
    settings.descriptors =
        static_cast<std::size_t>(reader.integer_or("descriptors", 0, 0, max_descriptors));
}

/// Reads the addresses of this node's interfaces and of the list of back ends.
void read_interfaces(settings_reader& reader, node_settings& settings) {
    settings.callers_address = optional_address(reader, "callers_address");
    settings.readiness_address = optional_address(reader, "readiness_address");
    settings.operators_address = optional_address(reader, "operators_address");
    settings.metrics_port = port(reader, "metrics_port", 0);
    settings.backend_list_address = optional_address(reader, "backend_list_address");
}

/// Reads how a forwarder selects engines and when requests queue.
void read_scheduling(settings_reader& reader, node_settings& settings) {
    settings.policy_file = reader.text_or("policy_file", {});
    settings.max_slowdown =
        reader.real_or("most_slowdown", default_max_slowdown, 0, max_accepted_slowdown);
    settings.dispatch_from_nodes = static_cast<std::size_t>(
        reader.integer_or("dispatch_from_nodes", 0, 0, max_dispatch_from_nodes));
    for (const std::string& name : reader.text_list("switched_off")) {
        if (is_mechanism(name)) {
            settings.disabled.add(name);
        } else {
            reader.problem("switched_off", "'" + name + "' is no mechanism");
        }
    }
    settings.placement = reader.text_or("placement", "tallyfold");
    if (!is_placement(settings.placement)) {
        reader.problem("placement", "'" + settings.placement + "' is no way to choose engines");
    }
}

void read_times(settings_reader& reader, node_settings& settings) {
    settings.grace =
        seconds(reader.real_or("grace_seconds", default_grace_seconds, 0.1, max_seconds));
    settings.acknowledge =
        milliseconds(reader, "acknowledge_ms", default_acknowledge_ms, 1, max_acknowledge_ms);
}

/// Reads how tenants' limits are enforced.
void read_quota(settings_reader& reader, node_settings& settings) {
    settings.quota_window = seconds(
        reader.real_or("quota_window_seconds", default_quota_window_seconds, 0.5, max_seconds));
    settings.quota_overshoot = reader.real_or("quota_overshoot", 0, 0, 1);
    settings.quota_slack = reader.real_or("quota_slack", 0, 0, max_quota_slack);
    settings.quota_lease =
        milliseconds(reader, "quota_lease_ms", default_quota_lease_ms, 300, 60'000);
}

/// Reads how a node treats keys while it can't confirm that its configuration is the newest.
void read_keys(settings_reader& reader, node_settings& settings) {
    settings.refuses_stale_keys = reader.text_or("refuses_stale_keys", "false") == "true";
    settings.revocation =
        milliseconds(reader, "revocation_ms", default_revocation_ms, 100, max_revocation_ms);
}

}  // namespace

std::string node_settings::directory_address() const {
    return net::join_address(ip, directory_port);
}

std::string node_settings::store_address() const {
    return net::join_address(ip, store_port);
}

std::string node_settings::directory_listener() const {
    return net::join_address(listen_ip, directory_port);
}

std::string node_settings::store_listener() const {
    return net::join_address(listen_ip, store_port);
}

std::vector<std::string> node_settings::seed_directories() const {
    std::vector<std::string> addresses;
    for (const std::string& seed : seeds) {
        addresses.push_back(net::join_address(net::ip_of(seed), directory_port));
    }
    return addresses;
}

tl::expected<node_settings, std::vector<settings_problem>> read_node_settings(
    const std::string& file) {
    settings_reader reader(file);
    if (!reader.problems().empty()) {
        return tl::unexpected(reader.problems());
    }
    node_settings settings;
    settings.file = file;
    read_machine(reader, settings);
    read_resources(reader, settings);
    read_interfaces(reader, settings);
    read_scheduling(reader, settings);
    read_times(reader, settings);
    read_quota(reader, settings);
    read_keys(reader, settings);
    reader.finish();
    if (!reader.problems().empty()) {
        return tl::unexpected(reader.problems());
    }
    return settings;
}

}  // namespace tallyfold::settings
