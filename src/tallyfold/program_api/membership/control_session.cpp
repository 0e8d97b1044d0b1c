#include "tallyfold/program_api/membership/control_session.hpp"

#include <algorithm>

namespace tallyfold::membership {

std::vector<protocol::outbound_message> control_session::tick(instant now) {
    if (now < next_heartbeat_) {
        return {};
    }
    next_heartbeat_ = now + settings_.heartbeat_interval;
    protocol::node_heartbeat heartbeat;
    heartbeat.node = settings_.node;
    heartbeat.role = settings_.role;
    heartbeat.address = settings_.address;
    heartbeat.zone = settings_.zone;
    heartbeat.draining = draining_;
    heartbeat.number = ++heartbeat_number_;
    heartbeat.known_configuration = configuration_.version();
    heartbeat.leases = known_leases_;
    heartbeats_sent_[heartbeat_number_] = now;
    if (heartbeats_sent_.size() > kept_heartbeats) {
        heartbeats_sent_.erase(heartbeats_sent_.begin());
    }
    std::vector<protocol::outbound_message> messages;
    for (const node_name& control : settings_.control_nodes) {
        messages.push_back({control, heartbeat});
    }
    return messages;
}

bool control_session::on_configuration(const protocol::configuration_update& update) {
    const configuration::configuration_version before = configuration_.version();
    if (!configuration_.advance(update.delta)) {
        return false;
    }
    // The copy was current at some time after the heartbeat was sent: the lease starts at that
    // time.
    if (const auto sent = sent_at(update.heartbeat_number)) {
        configuration_confirmed_ = std::max(configuration_confirmed_, *sent);
        configuration_known_ = true;
    }
    return configuration_.version() != before;
}

std::optional<instant> control_session::sent_at(std::uint64_t heartbeat_number) const {
    const auto sent = heartbeats_sent_.find(heartbeat_number);
    return sent == heartbeats_sent_.end() ? std::nullopt : std::optional(sent->second);
}

void control_session::on_confirmation(const protocol::lease_confirmation& confirmation) {
    if (const auto sent = sent_at(confirmation.heartbeat_number)) {
        instant& confirmed = lease_confirmed_[confirmation.group];
        confirmed = std::max(confirmed, *sent);
    }
}

bool control_session::lease_valid(group_id group, instant now) const {
    const auto found = lease_confirmed_.find(group);
    return found != lease_confirmed_.end() && now - found->second < settings_.shard_lease;
}

bool control_session::on_leases(const protocol::lease_update& update) {
    protocol::known_leases& known = known_leases_[update.group];
    if (update.version.version < known.version) {
        return false;
    }
    known = update.version;
    for (const auto& [shard, lease] : update.leases) {
        if (lease.epoch >= leases_[shard].epoch) {
            leases_[shard] = lease;
        }
    }
    if (update.group != protocol::directory_group) {
        return true;
    }
    schedulers_.clear();
    for (const protocol::scheduler_address& scheduler : update.schedulers) {
        schedulers_[scheduler.node] = scheduler.address;
    }
    return true;
}

bool control_session::configuration_fresh(instant now) const {
    return configuration_known_ && now - configuration_confirmed_ < settings_.configuration_lease;
}

journal::shard_lease control_session::lease_of(shard_id shard) const {
    const auto found = leases_.find(shard);
    return found == leases_.end() ? journal::shard_lease{} : found->second;
}

}  // namespace tallyfold::membership
