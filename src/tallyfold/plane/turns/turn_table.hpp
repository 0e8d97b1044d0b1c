#pragma once
/// @file
/// Contents of one store in memory: ledgers of programs, and turns. Pure; store_fsm applies changes
/// once they are synced.
///
/// Owns the records, their retention, and the order of requests in a copy.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/time.hpp"
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

class turn_table {
  public:
    /// Applies a change. The resulting ledgers and records do not depend on the order of changes,
    /// nor on how often a change is applied.
    void apply(const turn_change& change, instant now);

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
    [[nodiscard]] change_page page_after(const std::string& after,
                                         const std::set<std::string>& held,
                                         std::size_t limit_bytes) const;
    /// Size of the turns' texts in bytes, with an estimated overhead for each turn.
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] std::size_t turn_count() const { return turns_.size(); }
    [[nodiscard]] std::size_t program_count() const { return programs_.size(); }

  private:
    struct program_entry {
        program_ledger requests;
        duration retention{};
        instant last_changed{};
    };
    struct turn_entry {
        turn_record record;
        std::string program;
        duration retention{};
        instant stored_at{};
    };

    /// Returns the program's entry, created if missing, and restarts its retention.
    program_entry& renew_retention(const std::string& program, std::uint32_t retention_ms,
                                   instant now);
    void reserve(const turn_reservation& reservation, instant now);
    void settle(const turn_settlement& settlement, instant now);
    void store_record(const turn_settlement& settlement, const turn_record& record, instant now);
    /// Appends the changes that reproduce the request's cost and record.
    void append_changes_of(const std::string& request, const std::string& program,
                           std::vector<turn_change>& changes) const;
    void rebuild_request_index();

    std::map<std::string, program_entry> programs_;
    std::map<std::string, turn_entry> turns_;
    /// Program of every request in the table; copies follow the order of this index.
    std::map<std::string, std::string> requests_;
    std::size_t bytes_ = 0;
};

}  // namespace tallyfold::turns
