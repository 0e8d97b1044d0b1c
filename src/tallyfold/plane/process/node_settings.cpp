#include "tallyfold/plane/process/node_settings.hpp"

#include "tallyfold/base/net/socket_address.hpp"

namespace tallyfold::settings {

namespace {

constexpr std::int64_t largest_port = 65'535;
constexpr double longest_seconds = 3'600;
constexpr double usual_most_slowdown = 1.7;
constexpr double largest_slowdown = 1'000;
constexpr double largest_quota_slack = 10'000;
/// Permits at hand bridge the election of another keeper, which takes 0.5 to 1 s.
constexpr std::int64_t usual_quota_lease_ms = 2'000;

duration seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

bool is_endpoint(const std::string& text) {
    return net::parse_endpoint(text).has_value();
}

/// The names that scheduling::parse_strategy() knows.
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
    node_settings read;
    read.file = file;
    if (!reader.problems().empty()) {
        return tl::unexpected(reader.problems());
    }
    read.node = reader.text("node");
    read.zone = reader.text("zone");
    read.ip = reader.text("ip");
    read.listen_ip = reader.text_or("listen_ip", read.ip);
    read.directory_port =
        static_cast<std::uint16_t>(reader.integer_or("directory_port", 0, 1, largest_port));
    read.store_port =
        static_cast<std::uint16_t>(reader.integer_or("store_port", 0, 1, largest_port));
    read.seeds = reader.text_list("seeds");
    for (const std::string& seed : read.seeds) {
        if (!is_endpoint(seed)) {
            reader.problem("seeds", "'" + seed + "' must be an IP number and a port");
        }
    }
    read.first_start = reader.text_or("first_start", "false") == "true";
    read.data_folder = reader.text_or("data_folder", {});
    read.losses_borne = static_cast<std::uint32_t>(reader.integer_or("losses_borne", 1, 0, 16));
    read.callers_address = optional_address(reader, "callers_address");
    read.readiness_address = optional_address(reader, "readiness_address");
    read.operators_address = optional_address(reader, "operators_address");
    read.metrics_port =
        static_cast<std::uint16_t>(reader.integer_or("metrics_port", 0, 0, largest_port));
    read.backend_list_address = optional_address(reader, "backend_list_address");
    read.policy_file = reader.text_or("policy_file", {});
    read.max_slowdown = reader.real_or("most_slowdown", usual_most_slowdown, 0, largest_slowdown);
    for (const std::string& name : reader.text_list("switched_off")) {
        if (is_mechanism(name)) {
            read.off.add(name);
        } else {
            reader.problem("switched_off", "'" + name + "' is no mechanism");
        }
    }
    read.placement = reader.text_or("placement", "tallyfold");
    if (!is_placement(read.placement)) {
        reader.problem("placement", "'" + read.placement + "' is no way to choose engines");
    }
    read.grace = seconds(reader.real_or("grace_seconds", 8, 0.1, longest_seconds));
    read.acknowledge =
        std::chrono::milliseconds(reader.integer_or("acknowledge_ms", 4'000, 1, 600'000));
    read.quota_window = seconds(reader.real_or("quota_window_seconds", 5, 0.5, longest_seconds));
    read.quota_overshoot = reader.real_or("quota_overshoot", 0, 0, 1);
    read.quota_slack = reader.real_or("quota_slack", 0, 0, largest_quota_slack);
    read.quota_lease = std::chrono::milliseconds(
        reader.integer_or("quota_lease_ms", usual_quota_lease_ms, 300, 60'000));
    read.refuses_stale_keys = reader.text_or("refuses_stale_keys", "false") == "true";
    read.revocation =
        std::chrono::milliseconds(reader.integer_or("revocation_ms", 5'000, 100, 600'000));
    reader.finish();
    if (!reader.problems().empty()) {
        return tl::unexpected(reader.problems());
    }
    return read;
}

}  // namespace tallyfold::settings
