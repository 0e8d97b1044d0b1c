#pragma once
/// @file
/// The durable log of one store: segments of records, each record one synced batch of changes.
/// Beside it the folder holds the store's identity and the map that it serves under.
///
/// Owns the folder's files. Relies on base/storage for checksums and syncs. Not thread-safe.

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "tallyfold/base/storage/segmented_log.hpp"
#include "tallyfold/plane/turns/turn_table.hpp"

namespace tallyfold::turns {

/// Gives the page that begins after the request `after`; empty for the first one.
using page_reader = std::function<change_page(const std::string& after)>;

class turn_log {
  public:
    /// A segment is rewritten at this size at the earliest. Chosen, not measured: it is read back
    /// within a start, and rewritten rarely enough.
    static constexpr std::uint64_t default_segment_bytes = 8U << 20U;

    /// Opens the folder and reads it back; draws `new_identity` when it is empty.
    /// @param on_change gets each change that the folder holds, in order
    static tl::expected<turn_log, storage::storage_error> open(
        const std::string& folder, store_id new_identity,
        const std::function<void(const turn_change&)>& on_change,
        std::uint64_t segment_bytes = default_segment_bytes);

    /// Returns once the changes are synced. After an error, only rotate() makes it usable again.
    tl::expected<void, storage::storage_error> append(const std::vector<turn_change>& changes);
    /// Begins a new segment with `read_page`, page by page, and removes the older ones.
    tl::expected<void, storage::storage_error> rotate(const page_reader& read_page);
    /// Keeps the map that this store serves under: once it is synced, older ones stay refused
    /// after a restart too.
    tl::expected<void, storage::storage_error> keep_map(const store_map& map);
    /// The map that was kept last; one of epoch 0 when there is none.
    [[nodiscard]] tl::expected<store_map, storage::storage_error> kept_map() const;
    /// True when the segment has grown well beyond what it started with.
    [[nodiscard]] bool needs_rotation() const { return log_.wants_rewrite(); }
    [[nodiscard]] bool failed() const { return log_.failed(); }

    [[nodiscard]] store_id identity() const { return identity_; }
    /// Bytes of a record at the end that was written in part when the process stopped.
    [[nodiscard]] std::uint64_t cut_bytes() const { return log_.cut_bytes(); }

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
