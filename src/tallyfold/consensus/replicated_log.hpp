#pragma once
/// @file
/// In-memory log of a replica: the entries after its snapshot.

#include <deque>
#include <optional>
#include <vector>

#include "tallyfold/consensus/messages.hpp"

namespace tallyfold::consensus {

class replicated_log {
  public:
    replicated_log() = default;
    replicated_log(log_index snapshot_index, term_number snapshot_term,
                   std::vector<log_entry> entries);

    [[nodiscard]] log_index first_index() const { return snapshot_index_ + 1; }
    [[nodiscard]] log_index last_index() const { return snapshot_index_ + entries_.size(); }
    [[nodiscard]] term_number last_term() const;
    [[nodiscard]] log_index snapshot_index() const { return snapshot_index_; }
    [[nodiscard]] term_number snapshot_term() const { return snapshot_term_; }

    /// Term of the entry at `index`; nothing when it was compacted or does not exist yet.
    [[nodiscard]] std::optional<term_number> term_at(log_index index) const;
    /// Entry at `index`, which must lie in [first_index, last_index].
    [[nodiscard]] const log_entry& at(log_index index) const;
    /// At most `limit` entries, starting at `from`.
    [[nodiscard]] std::vector<log_entry> slice(log_index from, std::size_t limit) const;

    /// Appends an entry whose index is last_index() + 1.
    void append(log_entry entry);
    /// Removes the entries from `index` on.
    void truncate_from(log_index index);
    /// Drops the entries up to `index`, which a snapshot covers.
    void compact(log_index index, term_number term);
    /// Replaces the whole log by a snapshot received from the leader.
    void reset(log_index index, term_number term);

  private:
    log_index snapshot_index_ = 0;
    term_number snapshot_term_ = 0;
    std::deque<log_entry> entries_;
};

}  // namespace tallyfold::consensus
