#include "tallyfold/plane/routing/route_table.hpp"

#include <algorithm>

namespace tallyfold::routing {

route_table::route_table(configuration source)
    : route_table(std::make_shared<const configuration>(std::move(source))) {}

route_table::route_table(configuration_pointer source)
    : source_(std::move(source)), keys_(source_->tenants) {
    for (const route& entry : source_->routes) {
        hosts_[entry.host][entry.prefix] = &entry;
    }
    for (const service& entry : source_->services) {
        services_[entry.name] = &entry;
    }
}

const route* route_table::find(std::string_view host, std::string_view path) const {
    const auto routes = hosts_.find(host.substr(0, host.find(':')));
    if (routes == hosts_.end()) {
        return nullptr;
    }
    // Look up each prefix of the path that ends with a slash, longest first.
    std::string_view prefix = path;
    while (true) {
        const std::size_t slash = prefix.rfind('/');
        if (slash == std::string_view::npos) {
            return nullptr;
        }
        prefix = prefix.substr(0, slash + 1);
        const auto found = routes->second.find(prefix);
        if (found != routes->second.end()) {
            return found->second;
        }
        prefix = prefix.substr(0, slash);
    }
}

const service* route_table::find_service(const std::string& name) const {
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : found->second;
}

duration route_table::longest_timeout() const {
    duration longest{};
    for (const route& entry : source_->routes) {
        longest = std::max<duration>(longest, std::chrono::milliseconds(entry.timeout_ms));
    }
    return longest;
}

const std::string& traffic_splitter::choose(const route& chosen) {
    if (chosen.services.size() == 1) {
        return chosen.services.front().service;
    }
    auto& credits = credits_[chosen.name];
    double sum = 0;
    const weighted_service* best = nullptr;
    double best_credit = 0;
    for (const weighted_service& part : chosen.services) {
        double& credit = credits[part.service];
        credit += part.weight;
        sum += part.weight;
        if (part.weight > 0 && (best == nullptr || credit > best_credit)) {
            best = &part;
            best_credit = credit;
        }
    }
    credits[best->service] -= sum;
    return best->service;
}

}  // namespace tallyfold::routing
