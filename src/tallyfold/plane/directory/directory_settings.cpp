#include "tallyfold/plane/directory/directory_settings.hpp"

#include <algorithm>

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::directory {

namespace {

/// Index and term of the snapshot from which a new directory starts.
constexpr consensus::log_index first_index = 1;
constexpr consensus::term_number first_term = 1;

/// Minimum interval between rounds in which the leader confirms its leadership for reads. Limits
/// the number of messages: 50 rounds per second take about 250.
constexpr duration min_read_round_interval = std::chrono::milliseconds(20);

}  // namespace

consensus::replica_settings replica_settings_of(const directory_settings& settings,
                                                consensus::replica_id identity) {
    consensus::replica_settings result;
    result.group = configuration_group;
    result.self = identity;
    result.election_timeout = settings.election_timeout;
    result.heartbeat_interval = settings.heartbeat_interval;
    result.initial_election_timeout = settings.initial_election_timeout;
    result.min_read_round_interval = min_read_round_interval;
    result.seed = settings.seed;
    return result;
}

consensus::replica_id first_identity(const node_name& address) {
    return std::max<consensus::replica_id>(1, stable_hash(address));
}

consensus::recovered_state initial_state(const std::vector<node_name>& seeds) {
    consensus::recovered_state state;
    state.state.term = first_term;
    state.base.index = first_index;
    state.base.term = first_term;
    for (const node_name& seed : seeds) {
        state.base.members.members[first_identity(seed)] = {seed, false};
    }
    return state;
}

bool creates_directory(const directory_settings& settings, consensus::replica_id identity,
                       const consensus::recovered_state& recovered) {
    const bool is_seed = std::find(settings.seeds.begin(), settings.seeds.end(),
                                   settings.address) != settings.seeds.end();
    const bool is_empty =
        recovered.base.index == 0 && recovered.entries.empty() && recovered.state.term == 0;
    return settings.first_start && is_seed && identity == first_identity(settings.address) &&
           is_empty;
}

}  // namespace tallyfold::directory
