#pragma once
/// @file
/// Turns of programs as the stores keep them, and which group of stores keeps which program.
///
/// Values that go over the wire and to disk: the order of the fields in serialize() is their form.
/// Owns the rules of merging ledgers and of majorities under a map; decides nothing else.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::turns {

/// Identity of a store's disk, drawn when its folder is made.
using store_id = std::uint64_t;
/// Number of a version of the table of groups, rising with each change of any of them; a group's
/// map has the number at which it changed last. 0 means that none is known.
using map_epoch = std::uint64_t;
/// Number of a group of stores, from 0 on.
using group_number = std::uint32_t;
/// Groups that a table may have, at most: far more than any deployment has stores for, so that a
/// damaged number is told apart.
constexpr group_number max_groups = 4'096;

/// What one request of a program may cost, or has cost. It only ever goes from its upper bound to
/// its actual cost, so merging two copies needs no order.
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

/// Requests of one program, by their identifier.
using program_ledger = std::map<std::string, ledger_entry>;

/// Takes into `target` what `other` has newer: a settled entry goes before an open one; of two
/// alike, the larger one counts, so that a budget is never exceeded.
void merge(ledger_entry& target, const ledger_entry& other);
void merge(program_ledger& target, const program_ledger& other);

/// A turn that was answered whole. It never changes.
struct turn_record {
    /// Identifier of the turn's request.
    std::string request;
    /// Request of the turn that it continues; empty for the first of its history.
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

/// Announces a turn before it runs.
struct turn_reservation {
    std::string program;
    std::string request;
    /// Upper bound of what the turn may use.
    token_count max_tokens = 0;
    /// How long the program's ledger and the turn are kept after the program's last change.
    std::uint32_t retention_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, request, max_tokens, retention_ms);
    }
};

/// Ends a turn: what it cost, and its record when it was answered whole and is to be kept.
struct turn_settlement {
    std::string program;
    std::string request;
    token_count tokens = 0;
    std::uint32_t retention_ms = 0;
    std::optional<turn_record> record;
    /// The history before the turn when another group keeps it: a program that continues another
    /// program's turn copies that history into its own group, which so holds histories whole.
    std::vector<turn_record> adopted = {};

    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, request, tokens, retention_ms, record, adopted);
    }
};

/// One store, as a map lists it.
struct store_member {
    store_id id = 0;
    /// Name and address ("ip:port" between the system's own processes) of its machine.
    node_name node;
    std::string address;
    std::string zone;

    bool operator==(const store_member&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(id, node, address, zone);
    }
};

/// Which stores form one group. While `next` is not empty a change is under way: writes need a
/// majority of both lists, reads one of `current`.
///
/// After a majority of the disks of `current` was lost, one after the other, `current` lists the
/// disks that survive (`after_loss`). Each of them may be the only one that holds a turn, so until
/// the change ends all of them count in place of a majority, and copies come from all of them.
struct store_map {
    map_epoch epoch = 0;
    std::vector<store_member> current;
    std::vector<store_member> next;
    group_number group = 0;
    /// Turns may have been lost with the disks: while this is set, one that no store holds isn't
    /// known not to exist.
    bool after_loss = false;
    /// Members that were silent when the others went on without them. They may hold what no other
    /// store holds: when one is back, the group copies from it.
    std::vector<store_member> absent = {};

    /// True while members are being replaced.
    [[nodiscard]] bool changing() const { return !next.empty(); }
    /// True when either list has the store.
    [[nodiscard]] bool holds(store_id id) const;
    /// Members of both lists, each once.
    [[nodiscard]] std::vector<store_member> all() const;
    /// True when `answered` has a quorum of `current`: a majority, or all of them while a change
    /// after a loss of disks is under way.
    [[nodiscard]] bool suffices_of_current(const std::set<store_id>& answered) const;
    /// Members of `current` from which a store has to copy to hold all that may have been
    /// acknowledged: every set that suffices has one of them.
    [[nodiscard]] std::size_t copies_needed() const;

    bool operator==(const store_map&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, current, next, group);
        if (archive.format() >= protocol::format_version::v2) {
            archive(after_loss, absent);
        } else if (after_loss || !absent.empty()) {
            // A reader of the first form would count majorities that may lack turns.
            protocol::note_lacking(archive, "a group that lost a majority of its disks");
        }
    }
};

/// All groups of stores. A program belongs to the group that its identifier gives, for good: the
/// number of groups never changes once they are formed, only their members do.
struct store_table {
    map_epoch epoch = 0;
    /// By number.
    std::vector<store_map> groups;

    [[nodiscard]] bool known() const { return epoch > 0 && !groups.empty(); }
    /// The group that keeps the program's turns and its ledger. Needs a known table.
    [[nodiscard]] group_number group_of(const std::string& program) const;
    [[nodiscard]] bool holds(store_id id) const;
    /// Members of all groups, each once.
    [[nodiscard]] std::vector<store_member> all() const;
    /// Takes over one group's map when it is newer; `epoch` stays, since others may have changed
    /// too. @return true when it was newer, and its group number within max_groups
    bool take(const store_map& map);
    /// Takes over what is newer in another table. @return true when anything was
    bool take(const store_table& other);

    bool operator==(const store_table&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, groups);
    }
};

/// Fields of a log line about a group's map.
std::string describe(const store_map& map);

/// True when more than half of `members` are in `answered`.
bool is_majority(const std::vector<store_member>& members, const std::set<store_id>& answered);

}  // namespace tallyfold::turns
