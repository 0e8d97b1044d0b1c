#pragma once
/// @file
/// Everything that one store holds in memory: ledgers of programs, and turns. Pure; store_fsm
/// applies what the disk has synced.
///
/// Owns records, retentions and the order in which a copy goes through them. Relies on nothing.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// One change of the table, as the log on disk and copies hold it.
using turn_change = std::variant<turn_reservation, turn_settlement>;

/// A conversation history, newest turn first, as far as one store holds it.
struct history_part {
    std::vector<turn_record> records;
    /// The turn at which the walk back ended because it is not held here; empty for a whole
    /// history.
    std::string missing;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(records, missing);
    }
};

/// Part of a table, for a copy or a fresh segment of the log.
struct change_page {
    std::vector<turn_change> changes;
    /// The last request of the page, after which the next page begins; empty at the end.
    std::string next;
};

class turn_table {
  public:
    /// Takes a change over. Ledgers and records depend neither on the order of changes nor on how
    /// often one is applied.
    void apply(const turn_change& change, instant now);

    /// Empty for a program that isn't held.
    [[nodiscard]] program_ledger ledger_of(const std::string& program) const;
    [[nodiscard]] bool holds_turn(const std::string& request) const;
    /// The turn `request` and those before it.
    [[nodiscard]] history_part history_up_to(const std::string& request) const;

    /// Removes what has outlived its retention by more than `margin`. A turn that is kept keeps the
    /// whole history before it.
    void expire(instant now, duration margin);

    /// Identifiers of the settled requests held here; a copy leaves these out.
    [[nodiscard]] std::set<std::string> settled_requests() const;
    /// Changes that make another table hold what this one holds.
    /// @param after the page begins with the request after this one; empty for the first page
    /// @param held requests that the other table holds already
    /// @param limit_bytes size at which the page ends, about; one change goes in however large
    [[nodiscard]] change_page page_after(const std::string& after,
                                         const std::set<std::string>& held,
                                         std::size_t limit_bytes) const;
    /// Bytes of the turns' texts, with an estimate of what each takes beside them.
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

    /// The program's entry, with its retention begun anew; created when it isn't held.
    program_entry& renew_retention(const std::string& program, std::uint32_t retention_ms,
                                   instant now);
    void reserve(const turn_reservation& reservation, instant now);
    void settle(const turn_settlement& settlement, instant now);
    void store_record(const turn_settlement& settlement, const turn_record& record, instant now);
    [[nodiscard]] turn_change change_of(const std::string& request,
                                        const std::string& program) const;
    void rebuild_request_index();

    std::map<std::string, program_entry> programs_;
    std::map<std::string, turn_entry> turns_;
    /// Program of every request that is held; a copy goes through them in this order.
    std::map<std::string, std::string> requests_;
    std::size_t bytes_ = 0;
};

}  // namespace tallyfold::turns
