#pragma once
/// @file
/// Session of a gateway or scheduler with the control nodes: heartbeats, the copy of the
/// configuration with its lease, and the shard lease tables. No I/O.

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
    /// Address for internal messages, "ip:port".
    std::string address;
    std::string zone;
    std::vector<node_name> control_nodes;
    duration heartbeat_interval = std::chrono::milliseconds(400);
    /// Time after its confirmation during which a configuration may be used for new work.
    duration configuration_lease = std::chrono::milliseconds(3000);
    /// Shorter than the leaders' scheduler_timeout, with a margin for clock drift.
    duration shard_lease = std::chrono::milliseconds(1200);
};

class control_session {
  public:
    explicit control_session(session_settings settings) : settings_(std::move(settings)) {}

    /// Returns the heartbeats that are due.
    std::vector<protocol::outbound_message> tick(instant now);
    /// Makes the next tick send a heartbeat.
    void expedite_heartbeat() { next_heartbeat_ = {}; }
    void set_draining() { draining_ = true; }

    /// @return true when the configuration changed
    bool on_configuration(const protocol::configuration_update& update);
    /// @return false when the update is older than the known leases
    bool on_leases(const protocol::lease_update& update);

    void on_confirmation(const protocol::lease_confirmation& confirmation);

    /// True while no leader of the group can have reassigned a shard of this scheduler.
    [[nodiscard]] bool lease_valid(group_id group, instant now) const;
    /// True while the last confirmation of the configuration is within its lease.
    [[nodiscard]] bool configuration_fresh(instant now) const;
    /// True once a configuration has been confirmed.
    [[nodiscard]] bool configuration_known() const { return configuration_known_; }
    [[nodiscard]] const configuration::configuration_view& configuration() const {
        return configuration_;
    }
    [[nodiscard]] journal::shard_lease lease_of(shard_id shard) const;
    /// Addresses of the live schedulers, from the last update of the directory group.
    [[nodiscard]] const std::map<node_name, std::string>& schedulers() const { return schedulers_; }

  private:
    /// Time at which a heartbeat was sent; empty when it is unknown or too old.
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
