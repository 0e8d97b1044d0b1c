#pragma once
/// @file
/// Durable log of one store: segments of records, each record one synced batch of changes. The
/// folder also holds the store's identity and its map.
///
/// Owns the files of the folder. Uses base/storage for checksums and syncs. Not thread-safe.

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/storage/segmented_log.hpp"
#include "tallyfold/plane/turns/turn_table.hpp"

namespace tallyfold::turns {

/// Returns the page that begins after the request `after`; the first page for an empty `after`.
using page_reader = std::function<change_page(const std::string& after)>;

class turn_log {
  public:
    /// Minimum size at which a segment is rewritten: small enough to be read quickly at a start,
    /// large enough to keep rewrites rare.
    static constexpr std::uint64_t default_segment_bytes = 8U << 20U;

    /// Opens the folder and reads its contents; stores `new_identity` when it has no identity yet.
    /// @param on_change receives each stored change, in order
    static tl::expected<turn_log, storage::storage_error> open(
        const std::string& folder, store_id new_identity,
        const std::function<void(const turn_change&)>& on_change,
        std::uint64_t segment_bytes = default_segment_bytes);

    /// Empties a damaged folder, so that open() stores a new identity.
    static tl::expected<void, storage::storage_error> clear(const std::string& folder);

    /// Appends and syncs the changes. After an error the log is unusable until rotate() succeeds.
    tl::expected<void, storage::storage_error> append(const std::vector<turn_change>& changes);
    /// Writes a new segment from the pages of `read_page`, and removes the older ones.
    tl::expected<void, storage::storage_error> rotate(const page_reader& read_page);
    /// Stores the map in force. Once it is synced, requests under older maps stay refused after a
    /// restart.
    tl::expected<void, storage::storage_error> save_map(const store_map& map);
    /// Reads the stored map; its epoch is 0 when there is none.
    [[nodiscard]] tl::expected<store_map, storage::storage_error> load_map() const;
    /// True when the segment has grown well beyond its initial size.
    [[nodiscard]] bool needs_rotation() const { return log_.needs_rewrite(); }
    [[nodiscard]] bool failed() const { return log_.failed(); }

    [[nodiscard]] store_id identity() const { return identity_; }
    /// Size of the partial record that was removed at the end of the log, in bytes.
    [[nodiscard]] std::uint64_t truncated_bytes() const { return log_.truncated_bytes(); }

  private:
    turn_log(std::string folder, std::uint64_t segment_bytes);
    tl::expected<void, storage::storage_error> load_identity(store_id new_identity);
    tl::expected<void, storage::storage_error> load_changes(
        const std::function<void(const turn_change&)>& on_change);

    std::string folder_;
    storage::segmented_log log_;
    store_id identity_ = 0;
};

}  // namespace tallyfold::turns
