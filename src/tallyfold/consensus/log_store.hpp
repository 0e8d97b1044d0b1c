#pragma once
/// @file
/// Durable storage of a control node in one data folder: a segmented log shared by all groups, a
/// snapshot file per group, and the replica's identity.
///
/// A batch of writes of all groups is synced once (group commit). Not thread-safe; owned by the
/// storage thread.

#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/storage/file.hpp"
#include "tallyfold/base/storage/record_format.hpp"
#include "tallyfold/base/storage/segmented_log.hpp"
#include "tallyfold/consensus/persistence.hpp"

namespace tallyfold::storage {

class log_store final : public consensus::persistence {
  public:
    /// Size above which a segment is replaced by a new one that starts with the live state.
    static constexpr std::uint64_t default_segment_bytes = 16U << 20U;

    /// Opens the folder and recovers its contents. An empty or missing folder is initialized with
    /// `initial_identity`.
    static tl::expected<log_store, storage_error> open(
        const std::string& folder, consensus::replica_id initial_identity,
        std::uint64_t segment_bytes = default_segment_bytes,
        tail_policy tail = tail_policy::refuse);

    /// Empties a damaged folder, so that open() initializes it anew.
    static tl::expected<void, storage_error> clear(const std::string& folder);

    tl::expected<void, storage_error> write(
        const std::vector<consensus::group_write>& batch) override;

    /// Contents of the folder when it was opened.
    [[nodiscard]] const consensus::recovered_node& recovered() const { return recovered_; }
    [[nodiscard]] std::uint64_t bytes_written() const { return bytes_written_; }
    [[nodiscard]] std::uint64_t syncs() const { return syncs_; }

  private:
    log_store(std::string folder, std::uint64_t segment_bytes, tail_policy tail);
    tl::expected<void, storage_error> load_identity(consensus::replica_id initial_identity);
    tl::expected<void, storage_error> load_segment();
    tl::expected<void, storage_error> apply_payload(std::string_view payload);
    tl::expected<void, storage_error> write_snapshot(const consensus::group_write& write);
    tl::expected<void, storage_error> rewrite_log();
    tl::expected<void, storage_error> append_synced(const std::string& bytes);
    void remove_stale_files();
    [[nodiscard]] std::string snapshot_path(group_id group, consensus::log_index index) const;

    std::string folder_;
    segmented_log log_;
    tail_policy tail_;
    std::map<group_id, consensus::durable_group> groups_;
    /// During recovery: index of the snapshot that the newest record of each group refers to.
    std::map<group_id, consensus::log_index> referenced_snapshots_;
    consensus::recovered_node recovered_;
    std::uint64_t bytes_written_ = 0;
    std::uint64_t syncs_ = 0;
};

}  // namespace tallyfold::storage
