#pragma once
/// @file
/// Turns of programs as stores keep them, and the assignment of programs to groups of stores.
///
/// The values are sent over the network and stored on disk; the order of the fields in serialize()
/// is their format. Includes the rules for merging ledgers and for majorities under a map.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::turns {

/// Identity of a store's disk, generated when its folder is created.
using store_id = std::uint64_t;
/// Version of the table of groups, increased by each change of any group. A group's map has the
/// epoch of its latest change. 0 means that no map is known.
using map_epoch = std::uint64_t;
/// Number of a group of stores, starting at 0.
using group_number = std::uint32_t;
/// Maximum number of groups in a table; far above any deployment, so that a damaged number is
/// detected.
constexpr group_number max_groups = 4'096;

/// Cost of one request of a program. It changes only from its upper bound to its actual cost, so
/// that two copies merge in any order.
struct ledger_entry {
    /// The upper bound while the request is open, the actual cost once it is settled.
    token_count tokens = 0;
    bool settled = false;

    bool operator==(const ledger_entry&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(tokens, settled);
    }
};

/// Ledger entries of one program, by request identifier.
using program_ledger = std::map<std::string, ledger_entry>;

/// Merges `other` into `target`. A settled entry replaces an open one; of two entries in the same
/// state the larger cost counts, so that a budget is never exceeded.
void merge(ledger_entry& target, const ledger_entry& other);
void merge(program_ledger& target, const program_ledger& other);

/// A completely answered turn. Immutable.
struct turn_record {
    /// Identifier of the turn's request.
    std::string request;
    /// Request identifier of the turn that it continues; empty for the first turn of a history.
    std::string previous;
    std::string input;
    /// Data of each event of the answer, each followed by a line feed.
    std::string output;

    bool operator==(const turn_record&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(request, previous, input, output);
    }
};

/// Reserves tokens for a turn before it runs.
struct turn_reservation {
    std::string program;
    std::string request;
    /// Upper bound of the turn's tokens.
    token_count max_tokens = 0;
    /// Time that the program's ledger and the turn are kept after the program's last change.
    std::uint32_t retention_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, request, max_tokens, retention_ms);
    }
};

/// Settles a turn: its cost, and its record when it was answered completely and is to be kept.
struct turn_settlement {
    std::string program;
    std::string request;
    token_count tokens = 0;
    std::uint32_t retention_ms = 0;
    std::optional<turn_record> record;
    /// The history before the turn when another group holds it. A program that continues a turn of
    /// another program copies that history into its own group, which therefore holds complete
    /// histories.
    std::vector<turn_record> adopted = {};

    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, request, tokens, retention_ms, record, adopted);
    }
};

/// A settlement that carries records and settles no request, so that a copy contains a turn whose
/// cost the sender does not know.
[[nodiscard]] turn_settlement settlement_of_records(const std::string& program,
                                                    std::uint32_t retention_ms,
                                                    std::vector<turn_record> records);
[[nodiscard]] bool holds_only_records(const turn_settlement& settlement);

/// A store that a map lists.
struct store_member {
    store_id id = 0;
    /// Name of its machine, and its address ("ip:port" between the system's own processes).
    node_name node;
    std::string address;
    std::string zone;

    bool operator==(const store_member&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, node, address, zone);
    }
};

/// Members of one group. While `next` is not empty, the members are changing: writes require a
/// majority of both lists, reads a majority of `current`.
///
/// After a majority of the disks of `current` was lost one after the other, `current` lists the
/// surviving disks (`after_loss`). Each of them may be the only one that holds a turn, so until the
/// change ends all of them are required instead of a majority, and copies come from all of them.
struct store_map {
    map_epoch epoch = 0;
    std::vector<store_member> current;
    std::vector<store_member> next;
    group_number group = 0;
    /// Turns may have been lost with the disks: while this is set, a turn that no store holds may
    /// have existed.
    bool after_loss = false;
    /// Members that were unreachable when the group continued without them. They may hold turns
    /// that no other store holds, so the group copies from a member that returns.
    std::vector<store_member> absent = {};

    /// True while members are being replaced.
    [[nodiscard]] bool changing() const { return !next.empty(); }
    /// True when either list contains the store.
    [[nodiscard]] bool contains(store_id id) const;
    /// True while the group copies from all disks that survived a loss. `current` then lists the
    /// members of `next`, too; a later change of the group has a joining store that it does not.
    [[nodiscard]] bool recovering() const;
    /// Members of both lists, each once.
    [[nodiscard]] std::vector<store_member> all() const;
    /// True when `answered` contains a quorum of `current`: a majority, or all of them while
    /// recovering().
    [[nodiscard]] bool has_current_quorum(const std::set<store_id>& answered) const;
    /// Number of members of `current` from which a store has to copy to hold every acknowledged
    /// write: every quorum of `current` includes one of them.
    [[nodiscard]] std::size_t required_copy_count() const;

    bool operator==(const store_map&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, current, next, group);
        if (archive.format() >= protocol::format_version::v2) {
            archive(after_loss, absent);
        } else if (after_loss || !absent.empty()) {
            // A reader of the first format would count majorities that may lack turns.
            protocol::report_unsupported(archive, "a group that lost a majority of its disks");
        }
    }
};

/// Group that stores a program's turns and its ledger. `group_count` must not be 0.
[[nodiscard]] group_number group_of_program(const std::string& program, std::size_t group_count);

/// All groups of stores. A program's identifier determines its group permanently: once the groups
/// are formed, their number never changes, only their members do.
struct store_table {
    map_epoch epoch = 0;
    /// Maps of the groups, by group number.
    std::vector<store_map> groups;

    [[nodiscard]] bool known() const { return epoch > 0 && !groups.empty(); }
    /// Group that stores the program's turns and its ledger. Requires known().
    [[nodiscard]] group_number group_of(const std::string& program) const;
    [[nodiscard]] bool contains(store_id id) const;
    /// Members of all groups, each once.
    [[nodiscard]] std::vector<store_member> all() const;
    /// Adopts one group's map when it is newer. `epoch` stays, since other groups may have changed
    /// too. @return true when the map was newer and its group number is below max_groups
    bool merge_newer(const store_map& map);
    /// Adopts the newer maps of another table. @return true when anything was newer
    bool merge_newer(const store_table& other);

    bool operator==(const store_table&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, groups);
    }
};

/// Formats a group's map as fields of a log line.
std::string describe(const store_map& map);

/// True when more than half of `members` are in `answered`.
bool is_majority(const std::vector<store_member>& members, const std::set<store_id>& answered);

}  // namespace tallyfold::turns
