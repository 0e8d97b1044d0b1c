#include "tallyfold/program_api/journal/journal_state_machine.hpp"

#include <algorithm>
#include <cereal/types/deque.hpp>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::journal {

journal_error journal_state_machine::apply(std::string_view encoded_command, std::uint64_t index) {
    const auto command = protocol::decode<journal_command>(encoded_command);
    if (!command) {
        return journal_error::malformed;
    }
    return std::visit([&](const auto& body) { return apply_command(body, index); }, *command);
}

void journal_state_machine::record_lease_change(shard_entry& entry, std::uint64_t index) {
    entry.lease_changed_at = index;
    lease_version_ = index;
}

std::string journal_state_machine::save() const {
    return protocol::encode(shards_);
}

void journal_state_machine::restore(std::string_view state) {
    shards_ = protocol::decode<std::map<shard_id, shard_entry>>(state).value_or(
        std::map<shard_id, shard_entry>{});
    lease_version_ = 0;
    for (const auto& [shard, entry] : shards_) {
        lease_version_ = std::max(lease_version_, entry.lease_changed_at);
    }
}

shard_lease journal_state_machine::lease_of(shard_id shard) const {
    const auto found = shards_.find(shard);
    return found == shards_.end() ? shard_lease{} : found->second.lease;
}

journal_error journal_state_machine::apply_command(const assign_shard& command,
                                                   std::uint64_t index) {
    shard_entry& entry = shards_[command.shard];
    if (entry.lease.epoch != command.expected_epoch) {
        return journal_error::stale_epoch;
    }
    ++entry.lease.epoch;
    entry.lease.holder = command.holder;
    record_lease_change(entry, index);
    return journal_error::none;
}

journal_error journal_state_machine::apply_command(const release_shard& command,
                                                   std::uint64_t index) {
    shard_entry& entry = shards_[command.shard];
    if (entry.lease.epoch != command.epoch) {
        return journal_error::stale_epoch;
    }
    entry.lease.holder.clear();
    record_lease_change(entry, index);
    return journal_error::none;
}

journal_error journal_state_machine::apply_command(const owner_command& command,
                                                   std::uint64_t /*index*/) {
    shard_entry& entry = shards_[command.shard];
    if (entry.lease.epoch != command.epoch || entry.lease.holder.empty()) {
        return journal_error::stale_epoch;
    }
    return entry.programs.apply(command.change);
}

}  // namespace tallyfold::journal
