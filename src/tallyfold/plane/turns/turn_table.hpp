#pragma once
/// @file
/// Contents of one store in memory: ledgers of programs, and turns. Pure; store_fsm applies changes
/// once they are synced.
///
/// Owns the records, their retention, the order of requests in a copy, and the order in which
/// requests changed.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/turns/change_order.hpp"
#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// A change of the table, as stored in the log and sent in copies.
using turn_change = std::variant<turn_reservation, turn_settlement>;

/// Part of a conversation history that one store holds, newest turn first.
struct history_part {
    std::vector<turn_record> records;
    /// The most recent turn of the history that is not held; empty when the history is complete.
    std::string missing;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(records, missing);
    }
};

/// Part of a table, for a copy or a new segment of the log.
struct change_page {
    std::vector<turn_change> changes;
    /// Last request of the page, after which the next page begins; empty at the end.
    std::string next;
};

/// What a table holds of one request.
struct request_summary {
    request_key key = 0;
    /// The request is in its program's ledger.
    bool in_ledger = false;
    /// Its ledger entry is settled.
    bool settled = false;
    /// Its turn's record is held.
    bool has_record = false;

    bool operator==(const request_summary&) const = default;

    template <class Archive>
    void save(Archive& archive) const {
        const auto parts =
            static_cast<std::uint8_t>((in_ledger ? ledger_bit : 0) | (settled ? settled_bit : 0) |
                                      (has_record ? record_bit : 0));
        archive(key, parts);
    }
    template <class Archive>
    void load(Archive& archive) {
        std::uint8_t parts = 0;
        archive(key, parts);
        in_ledger = (parts & ledger_bit) != 0;
        settled = (parts & settled_bit) != 0;
        has_record = (parts & record_bit) != 0;
    }

  private:
    static constexpr std::uint8_t ledger_bit = 1;
    static constexpr std::uint8_t settled_bit = 2;
    static constexpr std::uint8_t record_bit = 4;
};

/// Requests of a table that changed after a position in its change_order.
struct summary_page {
    std::vector<request_summary> changed;
    /// Position up to which the page reads the order.
    change_sequence position = 0;
    /// False when the page reached its limit before the end.
    bool complete = true;
};

/// Selects the requests that a summary_page lists.
struct summary_filter {
    /// Requests of programs that belong to this group, of so many groups.
    group_number group = 0;
    group_number group_count = 1;
    /// Changes after this time are left for a later page.
    instant changed_until{};
    /// Requests whose retention ended before this time are left out.
    instant now{};
    /// Maximum number of changes to read.
    std::size_t limit = 0;
};

/// Changes that reproduce some requests of a table.
struct record_page {
    std::vector<turn_change> changes;
    /// Number of requested keys that the page covers, counted from the first.
    std::uint32_t covered = 0;
};

class turn_table {
  public:
    /// Applies a change made by a request, which renews the retention of its program. The resulting
    /// ledgers and records do not depend on the order of changes, nor on how often a change is
    /// applied.
    void apply(const turn_change& change, instant now);
    /// Applies a change copied from another table. Its retention is the time that remained there,
    /// and nothing is kept for longer than that: otherwise stores that copy from each other would
    /// keep expired turns alive.
    void apply_copy(const turn_change& change, instant now);

    /// Ledger of a program; empty when none is held.
    [[nodiscard]] program_ledger ledger_of(const std::string& program) const;
    [[nodiscard]] bool holds_turn(const std::string& request) const;
    /// The turn `request` and the earlier turns of its history.
    [[nodiscard]] history_part history_up_to(const std::string& request) const;

    /// Removes turns and ledgers whose retention ended more than `margin` ago. A retained turn
    /// retains its whole history.
    void expire(instant now, duration margin);

    /// Identifiers of the requests whose settled cost and whose record are in this table; a copy to
    /// this store omits them. A request with only one of the two is copied, since the source may
    /// have the other.
    [[nodiscard]] std::set<std::string> complete_requests() const;
    /// Changes that reproduce the contents of this table in another one.
    /// @param after the page begins with the request after this one; empty for the first page
    /// @param held requests that the other table already holds
    /// @param limit_bytes approximate size at which the page ends; a single change may be larger
    /// @param now start of the retention in the changes, which is what remains of it
    [[nodiscard]] change_page page_after(const std::string& after,
                                         const std::set<std::string>& held, std::size_t limit_bytes,
                                         instant now) const;

    /// Requests that changed after a position, oldest change first.
    [[nodiscard]] summary_page changed_after(change_sequence position,
                                             const summary_filter& filter) const;
    /// True when another table holds a part of the request that this one lacks.
    [[nodiscard]] bool lacks(const request_summary& other) const;
    /// Changes that reproduce the requests with these keys; unknown keys are skipped.
    /// @param limit_bytes approximate size at which the page ends; a single request may be larger
    [[nodiscard]] record_page records_of(const std::vector<request_key>& keys,
                                         std::size_t limit_bytes, instant now) const;
    /// Size of the turns' texts in bytes, with an estimated overhead for each turn.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] std::size_t turn_count() const { return turns_.size(); }
    [[nodiscard]] std::size_t program_count() const { return programs_.size(); }

  private:
    struct program_entry {
        program_ledger requests;
        /// Longest retention of the program's requests.
        duration retention{};
        instant expires_at{};
    };
    struct turn_entry {
        turn_record record;
        std::string program;
        instant expires_at{};
    };
    enum class change_origin : std::uint8_t { request, copy };

    void apply(const turn_change& change, change_origin origin, instant now);
    /// Returns the program's entry, created if missing, and extends its retention.
    program_entry& extend_retention(const std::string& program, std::uint32_t retention_ms,
                                    change_origin origin, instant now);
    /// Merges a request's cost into the ledger. @return true when that changed the ledger
    static bool merge_cost(program_entry& entry, const std::string& request,
                           const ledger_entry& cost);
    void reserve(const turn_reservation& reservation, change_origin origin, instant now);
    void settle(const turn_settlement& settlement, change_origin origin, instant now);
    void store_record(const turn_settlement& settlement, const turn_record& record, instant now);
    /// Extends the retention of the earlier turns of each retained turn's history.
    void extend_histories();
    /// What this table holds of the request, without what expired before `now`.
    [[nodiscard]] request_summary summarize(const std::string& request, const std::string& program,
                                            instant now) const;
    /// Size of the request's record in bytes, with an estimated overhead.
    [[nodiscard]] std::size_t size_of_request(const std::string& request) const;
    /// Appends the changes that reproduce the request's cost and record.
    void append_changes_of(const std::string& request, const std::string& program, instant now,
                           std::vector<turn_change>& changes) const;
    void rebuild_request_index();

    std::map<std::string, program_entry> programs_;
    std::map<std::string, turn_entry> turns_;
    /// Program of every request in the table; copies follow the order of this index.
    std::map<std::string, std::string> requests_;
    change_order changes_;
    std::size_t bytes_ = 0;
};

}  // namespace tallyfold::turns
