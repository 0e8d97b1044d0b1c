#pragma once
/// @file
/// Divides the engines of a service into groups, each dispatched by one directory node, and orders
/// the directory nodes that may dispatch a group. Pure: nodes that hold the same list of back ends
/// and of directory nodes derive the same result without communication.
///
/// Load pattern: a service with more engines than one dispatcher should decide for. Groups bound
/// the work of a decision and of a dispatcher, whatever the number of engines and forwarders.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/base/common/types.hpp"

namespace tallyfold::dispatch {

using group_index = std::uint32_t;

/// Identifies an engine group: a service and the group's position in it.
struct engine_group {
    std::string service;
    group_index index = 0;

    auto operator<=>(const engine_group&) const = default;
};

/// Maximum number of engines of a group: large enough to pool slots, small enough for a scan of all
/// engines at each decision.
constexpr std::size_t max_group_engines = 64;

/// Number of groups of a service with `engines` engines; at least 1.
[[nodiscard]] group_index group_count(std::size_t engines);
/// Group of each engine of a service, in the order of `engines`. Groups differ in size by at most
/// one.
[[nodiscard]] std::vector<group_index> assign_groups(const std::vector<backend_name>& engines);
/// Group to which a program's calls go; calls of no program spread by their number.
/// @param program hash of the program's identifier, or number of the call
[[nodiscard]] group_index group_of_program(std::uint64_t program, group_index groups);
/// Directory nodes that may dispatch the group, first choice first: by rendezvous hashing, the
/// leader last because it has other work.
/// @param leader address of the directory's leader; empty when unknown
[[nodiscard]] std::vector<node_name> dispatch_order(const engine_group& group,
                                                    const std::vector<node_name>& directory_nodes,
                                                    const node_name& leader);

}  // namespace tallyfold::dispatch
