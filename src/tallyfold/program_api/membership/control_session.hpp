#pragma once
/// @file
/// What gateways and schedulers share: heartbeats to the control nodes, the copy of the
/// configuration with its lease, and the tables of shard leases. Pure logic.

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/program_api/configuration/configuration_state.hpp"
#include "tallyfold/program_api/transport/messages.hpp"

namespace tallyfold::membership {

struct session_settings {
    node_name node;
    protocol::node_role role = protocol::node_role::gateway;
    /// Where the node listens for internal messages, "ip:port".
    std::string address;
    std::string zone;
    std::vector<node_name> control_nodes;
    duration heartbeat_interval = std::chrono::milliseconds(400);
    /// How long a confirmed configuration may be used for new work.
    duration configuration_lease = std::chrono::milliseconds(3000);
    /// Below the leaders' scheduler_timeout, by a margin for clocks that run apart.
    duration shard_lease = std::chrono::milliseconds(1200);
};

class control_session {
  public:
    explicit control_session(session_settings settings) : settings_(std::move(settings)) {}

    /// Heartbeats that are due.
    std::vector<protocol::outbound_message> tick(instant now);
    /// Makes the next tick send a heartbeat at once.
    void hurry() { next_heartbeat_ = {}; }
    void set_draining() { draining_ = true; }

    /// @return true when the configuration changed
    bool on_configuration(const protocol::configuration_update& update);
    /// @return false when the update is older than what is known
    bool on_leases(const protocol::lease_update& update);

    void on_confirmation(const protocol::lease_confirmation& confirmation);

    /// True while no leader of the group can have taken a shard of this scheduler away.
    [[nodiscard]] bool lease_valid(group_id group, instant now) const;
    /// True while the configuration is known to have been current within the lease.
    [[nodiscard]] bool configuration_fresh(instant now) const;
    /// True once any configuration was confirmed.
    [[nodiscard]] bool configuration_known() const { return configuration_known_; }
    [[nodiscard]] const configuration::configuration_view& configuration() const {
        return configuration_;
    }
    [[nodiscard]] journal::shard_lease lease_of(shard_id shard) const;
    /// Addresses of the live schedulers, by the last update of any group.
    [[nodiscard]] const std::map<node_name, std::string>& schedulers() const { return schedulers_; }

  private:
    /// When a heartbeat left; nothing when it is too old or unknown.
    [[nodiscard]] std::optional<instant> sent_at(std::uint64_t heartbeat_number) const;

    static constexpr std::size_t kept_heartbeats = 64;

    session_settings settings_;
    bool draining_ = false;
    configuration::configuration_view configuration_;
    bool configuration_known_ = false;
    instant configuration_confirmed_{};
    std::map<group_id, instant> lease_confirmed_;
    std::map<group_id, protocol::known_leases> known_leases_;
    std::map<shard_id, journal::shard_lease> leases_;
    std::map<node_name, std::string> schedulers_;
    std::uint64_t heartbeat_number_ = 0;
    std::map<std::uint64_t, instant> heartbeats_sent_;
    instant next_heartbeat_{};
};

}  // namespace tallyfold::membership
