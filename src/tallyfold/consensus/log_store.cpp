#include "tallyfold/consensus/log_store.hpp"

#include <filesystem>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/base/storage/record_file.hpp"
#include "tallyfold/base/storage/record_format.hpp"

namespace tallyfold::storage {

namespace {

namespace fs = std::filesystem;
using consensus::group_write;

constexpr std::uint32_t format_version = 1;
constexpr std::string_view segment_prefix = "segment-";
constexpr std::string_view snapshot_prefix = "snapshot-";
constexpr std::string_view identity_name = "identity";

struct identity_record {
    std::uint32_t version = format_version;
    consensus::replica_id identity = consensus::no_replica;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(version, identity);
    }
};

/// Log record of a group's write. The snapshot itself is stored in a separate file.
struct log_record {
    group_id group = 0;
    std::optional<consensus::hard_state> state;
    std::optional<consensus::log_index> snapshot_index;
    std::vector<consensus::log_entry> entries;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(group, state, snapshot_index, entries);
    }
};

}  // namespace

log_store::log_store(std::string folder, std::uint64_t segment_bytes, tail_policy tail)
    : folder_(std::move(folder)),
      log_(folder_, std::string(segment_prefix), segment_bytes),
      tail_(tail) {}

std::string log_store::snapshot_path(group_id group, consensus::log_index index) const {
    return folder_ + "/" + std::string(snapshot_prefix) + std::to_string(group) + "-" +
           std::to_string(index);
}

tl::expected<log_store, storage_error> log_store::open(const std::string& folder,
                                                       consensus::replica_id initial_identity,
                                                       std::uint64_t segment_bytes,
                                                       tail_policy tail) {
    if (auto opened = open_folder(folder); !opened) {
        return tl::unexpected(opened.error());
    }
    log_store store(folder, segment_bytes, tail);
    if (auto loaded = store.load_identity(initial_identity); !loaded) {
        return tl::unexpected(loaded.error());
    }
    if (auto loaded = store.load_segment(); !loaded) {
        return tl::unexpected(loaded.error());
    }
    for (const auto& [group, durable] : store.groups_) {
        store.recovered_.groups[group] = durable.state();
    }
    store.remove_stale_files();
    return store;
}

tl::expected<void, storage_error> log_store::clear(const std::string& folder) {
    return remove_folder_contents(folder, std::string(identity_name));
}

tl::expected<void, storage_error> log_store::load_identity(consensus::replica_id initial_identity) {
    const std::string path = folder_ + "/" + std::string(identity_name);
    if (fs::exists(path)) {
        const auto payload = read_single_record(path);
        if (!payload) {
            return tl::unexpected(payload.error());
        }
        const auto record = protocol::decode<identity_record>(*payload);
        if (!record || record->version != format_version) {
            return tl::unexpected(
                storage_error{storage_failure::unknown_format, path + ": unknown format version"});
        }
        recovered_.identity = record->identity;
        return {};
    }
    for (const auto& entry : fs::directory_iterator(folder_)) {
        const std::string name = entry.path().filename().string();
        if (name.starts_with(segment_prefix) || name.starts_with(snapshot_prefix)) {
            return tl::unexpected(storage_error{storage_failure::damaged,
                                                path + ": missing, while the folder has " + name});
        }
    }
    recovered_.identity = initial_identity;
    return replace_file(
        path, single_record(protocol::encode(identity_record{format_version, initial_identity})));
}

tl::expected<void, storage_error> log_store::load_segment() {
    auto loaded =
        log_.open(tail_, [this](std::string_view payload) { return apply_payload(payload); });
    if (!loaded) {
        return loaded;
    }
    for (const auto& [group, index] : referenced_snapshots_) {
        if (groups_[group].state().base.index != index) {
            return tl::unexpected(
                storage_error{storage_failure::damaged, snapshot_path(group, index) + ": missing"});
        }
    }
    recovered_.truncated_bytes = log_.truncated_bytes();
    return {};
}

tl::expected<void, storage_error> log_store::apply_payload(std::string_view payload) {
    auto record = protocol::decode<log_record>(payload);
    if (!record) {
        return tl::unexpected(storage_error{storage_failure::unknown_format,
                                            log_.path() + ": " + record.error().reason});
    }
    group_write write{record->group, record->state, std::nullopt, std::move(record->entries)};
    if (record->snapshot_index.has_value()) {
        referenced_snapshots_[record->group] = *record->snapshot_index;
        const std::string path = snapshot_path(record->group, *record->snapshot_index);
        // If the file is missing, a later record must refer to the snapshot that replaced it;
        // load_segment() checks this.
        if (fs::exists(path)) {
            const auto bytes = read_single_record(path);
            if (!bytes) {
                return tl::unexpected(bytes.error());
            }
            auto base = protocol::decode<consensus::snapshot>(*bytes);
            if (!base) {
                return tl::unexpected(storage_error{storage_failure::unknown_format,
                                                    path + ": " + base.error().reason});
            }
            write.base = std::move(*base);
        }
    }
    groups_[write.group].apply(write);
    return {};
}

void log_store::remove_stale_files() {
    remove_files(folder_, [this](const std::string& name) {
        bool old_snapshot = name.starts_with(snapshot_prefix);
        for (const auto& [group, durable] : groups_) {
            const consensus::log_index index = durable.state().base.index;
            old_snapshot = old_snapshot && folder_ + "/" + name != snapshot_path(group, index);
        }
        return old_snapshot || name.ends_with(".tmp");
    });
}

tl::expected<void, storage_error> log_store::append_synced(const std::string& bytes) {
    bytes_written_ += bytes.size();
    ++syncs_;
    return log_.append(bytes);
}

tl::expected<void, storage_error> log_store::write_snapshot(const group_write& write) {
    const std::string bytes = single_record(protocol::encode(*write.base));
    bytes_written_ += bytes.size();
    return replace_file(snapshot_path(write.group, write.base->index), bytes);
}

tl::expected<void, storage_error> log_store::write(const std::vector<group_write>& batch) {
    std::string bytes;
    bool has_snapshot = false;
    for (const group_write& write : batch) {
        log_record record{write.group, write.state, std::nullopt, write.entries};
        if (write.base.has_value()) {
            // The snapshot file must be durable before the log refers to it.
            if (auto written = write_snapshot(write); !written) {
                return written;
            }
            record.snapshot_index = write.base->index;
            has_snapshot = true;
        }
        append_record(bytes, protocol::encode(record));
    }
    if (auto written = append_synced(bytes); !written) {
        return written;
    }
    for (const group_write& write : batch) {
        groups_[write.group].apply(write);
    }
    if (log_.needs_rewrite()) {
        return rewrite_log();
    }
    if (has_snapshot) {
        remove_stale_files();
    }
    return {};
}

tl::expected<void, storage_error> log_store::rewrite_log() {
    auto group = groups_.begin();
    const auto next_group = [this, &group](std::string& bytes) {
        if (group == groups_.end()) {
            return false;
        }
        const consensus::recovered_state& live = group->second.state();
        log_record record{group->first, live.state, std::nullopt, live.entries};
        if (live.base.index > 0) {
            record.snapshot_index = live.base.index;
        }
        append_record(bytes, protocol::encode(record));
        return ++group != groups_.end();
    };
    if (auto written = log_.rewrite(next_group); !written) {
        return written;
    }
    remove_stale_files();
    return {};
}

}  // namespace tallyfold::storage
