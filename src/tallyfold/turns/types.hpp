#pragma once
/// @file
/// Turns of programs as the store keeps them, and the map of the stores.

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/common/types.hpp"

namespace tallyfold::turns {

/// Identity of a store's disk, drawn when its folder is made.
using store_id = std::uint64_t;
/// Number of a version of the store map; 0 means that none is known.
using map_epoch = std::uint64_t;

/// What one request of a program may have cost, or has cost. It only ever goes from its most to
/// its actual, so merging two copies needs no order.
struct ledger_entry {
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

/// Takes into `target` what `other` knows better.
void merge(ledger_entry& target, const ledger_entry& other);
void merge(program_ledger& target, const program_ledger& other);

/// A turn that was answered whole. It never changes.
struct turn_record {
    /// Identifier of the turn's request.
    std::string request;
    /// The turn that it continues; empty for the first of its line.
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
    token_count most_tokens = 0;
    std::uint32_t retention_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, request, most_tokens, retention_ms);
    }
};

/// Ends a turn: what it cost, and its record when it was answered whole and is to be kept.
struct turn_settlement {
    std::string program;
    std::string request;
    token_count tokens = 0;
    std::uint32_t retention_ms = 0;
    std::optional<turn_record> record;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(program, request, tokens, retention_ms, record);
    }
};

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

/// Which stores keep the turns. While `next` is not empty a change is under way: writes need a
/// majority of both lists, reads one of `current`.
struct store_map {
    map_epoch epoch = 0;
    std::vector<store_member> current;
    std::vector<store_member> next;

    [[nodiscard]] bool changing() const { return !next.empty(); }
    [[nodiscard]] bool holds(store_id id) const;
    /// Members of both lists, each once.
    [[nodiscard]] std::vector<store_member> all() const;

    bool operator==(const store_map&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(epoch, current, next);
    }
};

/// True when more than half of `members` are in `answered`.
bool is_majority(const std::vector<store_member>& members, const std::set<store_id>& answered);

}  // namespace tallyfold::turns
