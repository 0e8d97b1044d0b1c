#pragma once
/// @file
/// Everything one store keeps: ledgers of programs, and turns. Pure; the shell makes it durable.

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/common/time.hpp"
#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::turns {

/// One change of the table, as the log on disk holds it.
using turn_change = std::variant<turn_reservation, turn_settlement>;

/// A line of turns, newest first, as far as one store knows it.
struct history_part {
    std::vector<turn_record> records;
    /// The turn at which the walk ended because it is not held here; empty when it is whole.
    std::string missing;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(records, missing);
    }
};

class turn_table {
  public:
    void apply(const turn_change& change, instant now);

    [[nodiscard]] program_ledger ledger_of(const std::string& program) const;
    [[nodiscard]] bool holds_turn(const std::string& request) const;
    /// Walks from `request` back to the first turn of its line.
    [[nodiscard]] history_part history_up_to(const std::string& request) const;

    /// Forgets what has outlived its retention, with `margin` on top.
    void expire(instant now, duration margin);

    /// Identifiers of the settled requests held here; a copy leaves these out.
    [[nodiscard]] std::set<std::string> settled_requests() const;
    /// Changes that bring a store that holds `known` up to this one, about `limit_bytes` of
    /// them, from the request after `from` on; with nothing known, the whole table page by page.
    /// @param next where to go on; empty at the end
    [[nodiscard]] std::vector<turn_change> missing_from(const std::set<std::string>& known,
                                                        const std::string& from,
                                                        std::size_t limit_bytes,
                                                        std::string& next) const;
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    [[nodiscard]] std::size_t turn_count() const { return turns_.size(); }
    [[nodiscard]] std::size_t program_count() const { return programs_.size(); }

  private:
    struct program_entry {
        program_ledger requests;
        duration retention{};
        instant touched{};
    };
    struct turn_entry {
        turn_record record;
        std::string program;
        duration retention{};
        instant stored{};
    };

    program_entry& touch(const std::string& program, std::uint32_t retention_ms, instant now);
    void store_record(const turn_settlement& settlement, const turn_record& record, instant now);
    [[nodiscard]] turn_change change_of(const std::string& request,
                                        const std::string& program) const;
    void index_requests();

    std::map<std::string, program_entry> programs_;
    std::map<std::string, turn_entry> turns_;
    /// Program of every request that is held, in the order in which a copy goes through them.
    std::map<std::string, std::string> requests_;
    std::size_t bytes_ = 0;
};

}  // namespace tallyfold::turns
