#include "tallyfold/routing/validation.hpp"

#include <cmath>
#include <set>

namespace tallyfold::routing {

namespace {

std::string problem_of(const route& candidate, const std::set<std::string>& services) {
    const bool slashed = candidate.prefix.starts_with('/') && candidate.prefix.ends_with('/');
    if (candidate.host.empty() || !slashed) {
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
    std::set<std::pair<std::string, std::string>> places;
    for (const route& entry : candidate.routes) {
        const std::string problem = problem_of(entry, services);
        if (!problem.empty()) {
            return tl::unexpected(invalid_configuration{"route '" + entry.name + "' " + problem});
        }
        if (!places.insert({entry.host, entry.prefix}).second) {
            return tl::unexpected(
                invalid_configuration{"route '" + entry.name + "' has the place of another route"});
        }
    }
    return {};
}

}  // namespace tallyfold::routing
