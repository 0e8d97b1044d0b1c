#include "tallyfold/plane/routing/validation.hpp"

#include <cmath>
#include <set>

namespace tallyfold::routing {

namespace {

std::string problem_of(const route& candidate, const std::set<std::string>& services) {
    const bool has_slashes = candidate.prefix.starts_with('/') && candidate.prefix.ends_with('/');
    if (candidate.host.empty() || !has_slashes) {
        return "needs a host, and a prefix that starts and ends with a slash";
    }
    if (candidate.timeout_ms == 0) {
        return "has a time-out of 0";
    }
    double sum = 0;
    for (const weighted_service& part : candidate.services) {
        if (!services.contains(part.service)) {
            return "names the unknown service " + part.service;
        }
        if (!(part.weight >= 0) || !std::isfinite(part.weight)) {
            return "has a weight below 0";
        }
        sum += part.weight;
    }
    return sum > 0 ? std::string{} : "has weights that sum to 0";
}

/// Upper bound of rates and bursts; larger values are rejected as mistakes.
constexpr double max_limit = 1e9;

bool is_valid_limit(double value) {
    return std::isfinite(value) && value >= 0 && value <= max_limit;
}

/// @param names names of the preceding tenants; the candidate's is added
/// @param keys keys of the preceding tenants; the candidate's are added
std::string problem_of(const tenant& candidate, std::set<std::string>& names,
                       std::set<std::string>& keys) {
    if (candidate.name.empty() || !names.insert(candidate.name).second) {
        return "has no name or stands twice";
    }
    if (!is_valid_limit(candidate.rate_per_second) || !is_valid_limit(candidate.burst)) {
        return "has a rate or a burst that is no number from 0 to a thousand million";
    }
    for (const std::string& key : candidate.keys) {
        if (key.empty()) {
            return "has an empty key";
        }
        // The key is a secret and must not appear in responses or logs.
        if (!keys.insert(key).second) {
            return "has a key that stands twice or belongs to another tenant";
        }
    }
    return {};
}

std::string problem_of(const std::vector<tenant>& tenants) {
    std::set<std::string> names;
    std::set<std::string> keys;
    for (const tenant& entry : tenants) {
        const std::string problem = problem_of(entry, names, keys);
        if (!problem.empty()) {
            return "tenant '" + entry.name + "' " + problem;
        }
    }
    return {};
}

}  // namespace

tl::expected<void, invalid_configuration> validate(const configuration& candidate) {
    if (candidate.version == no_version) {
        return tl::unexpected(invalid_configuration{"the version has to be above 0"});
    }
    std::set<std::string> services;
    for (const service& entry : candidate.services) {
        if (entry.name.empty() || !services.insert(entry.name).second) {
            return tl::unexpected(
                invalid_configuration{"service '" + entry.name + "' has no name or stands twice"});
        }
    }
    std::set<std::pair<std::string, std::string>> host_prefixes;
    for (const route& entry : candidate.routes) {
        const std::string problem = problem_of(entry, services);
        if (!problem.empty()) {
            return tl::unexpected(invalid_configuration{"route '" + entry.name + "' " + problem});
        }
        if (!host_prefixes.insert({entry.host, entry.prefix}).second) {
            return tl::unexpected(
                invalid_configuration{"route '" + entry.name + "' has the place of another route"});
        }
    }
    const std::string problem = problem_of(candidate.tenants);
    if (!problem.empty()) {
        return tl::unexpected(invalid_configuration{problem});
    }
    return {};
}

}  // namespace tallyfold::routing
