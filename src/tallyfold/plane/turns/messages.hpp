#pragma once
/// @file
/// Messages between the nodes that forward turns and the stores, and between stores.
///
/// The order of the fields in serialize() is the wire format; field names may change.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/turn_table.hpp"
#include "tallyfold/plane/turns/types.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::turns {

/// Matches a reply to its request: a request_number() in the messages to a store. Unique within the
/// lifetime of the requesting process.
using operation_number = std::uint64_t;

/// An engine that has a prompt, and the output that it generated for it, in its prefix cache. A
/// hint that stores keep in memory only.
struct cached_prompt {
    /// Empty when no engine is known to cache the prompt.
    backend_name engine;
    /// End points of the prompt's prefixes, shortest first.
    std::vector<scheduling::prefix_point> points;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(engine, points);
    }
};

/// Asks a store to reserve a turn, and to return the program's ledger and the turn's history.
struct begin_request {
    operation_number operation = 0;
    map_epoch epoch = 0;
    turn_reservation reservation;
    /// Request identifier of the turn that this one continues; empty for the first turn of a
    /// history.
    std::string previous;
    /// True for the store that also returns the texts of the history.
    bool wants_history = false;
    /// End points of the prompt's prefixes, shortest first. Set only for the store that returns the
    /// engines that cache them.
    std::vector<scheduling::prefix_point> prompt;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, epoch, reservation, previous, wants_history, prompt);
    }
};

struct begin_reply {
    operation_number operation = 0;
    store_id store = 0;
    /// True when the reservation is synced to disk.
    bool durable = false;
    /// The store's map when the request was made under an older one and had no effect; otherwise
    /// empty.
    std::vector<store_map> newer_map;
    program_ledger ledger;
    bool holds_previous = false;
    history_part history;
    /// Engines that cache a prefix of the prompt, longest prefix first.
    std::vector<scheduling::cached_prefix> holders;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, durable, newer_map, ledger, holds_previous, history, holders);
    }
};

/// Asks a store for a turn and the earlier turns of its history.
struct history_request {
    operation_number operation = 0;
    std::string request;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, request);
    }
};

struct history_reply {
    operation_number operation = 0;
    store_id store = 0;
    history_part history;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, history);
    }
};

/// Asks a store of another group whether it holds a turn whose program is not known.
struct find_request {
    operation_number operation = 0;
    /// Epoch of the map of the store's group.
    map_epoch epoch = 0;
    std::string request;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, epoch, request);
    }
};

struct find_reply {
    operation_number operation = 0;
    store_id store = 0;
    /// The store's map when the request was made under an older one and the reply does not count;
    /// otherwise empty.
    std::vector<store_map> newer_map;
    bool held = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, newer_map, held);
    }
};

/// Asks a store to make the settlement of a turn durable.
struct settle_request {
    operation_number operation = 0;
    map_epoch epoch = 0;
    turn_settlement settlement;
    cached_prompt held;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, epoch, settlement, held);
    }
};

struct settle_reply {
    operation_number operation = 0;
    store_id store = 0;
    bool durable = false;
    std::vector<store_map> newer_map;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, durable, newer_map);
    }
};

/// Request of a joining store for a page of the data that it lacks. The source adopts the map
/// first, so that it accepts no write under an older map after the copy.
struct copy_request {
    store_map map;
    /// Settled requests whose cost and record the joining store already holds.
    std::set<std::string> held;
    /// The page begins after this request's identifier.
    std::string after;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(map, held, after);
    }
};

struct copy_reply {
    store_id store = 0;
    map_epoch epoch = 0;
    std::vector<turn_change> changes;
    /// Last request of the page, after which the next page begins; empty when the source has sent
    /// all it holds.
    std::string next;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, epoch, changes, next);
    }
};

/// Position in a store's change_order.
struct change_position {
    /// Identifies the process that numbered the changes; 0 for none.
    std::uint64_t incarnation = 0;
    change_sequence sequence = 0;

    bool operator==(const change_position&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(incarnation, sequence);
    }
};

/// Asks another member of the group which requests changed there. Since format v7.
struct comparison_request {
    operation_number operation = 0;
    group_number group = 0;
    group_number group_count = 0;
    /// The reply begins after this position; with the first change when another process numbered
    /// it.
    change_position after;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, group, group_count, after);
    }
};

struct comparison_reply {
    operation_number operation = 0;
    store_id store = 0;
    std::vector<request_summary> changed;
    /// Position at which the next comparison begins.
    change_position position;
    /// False when more changes follow at once.
    bool complete = true;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, changed, position, complete);
    }
};

/// Asks another member of the group for the requests that this store lacks. Since format v7.
struct records_request {
    operation_number operation = 0;
    std::vector<request_key> keys;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, keys);
    }
};

struct records_reply {
    operation_number operation = 0;
    store_id store = 0;
    std::vector<turn_change> changes;
    /// Number of keys that the reply covers, counted from the first.
    std::uint32_t covered = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, changes, covered);
    }
};

}  // namespace tallyfold::turns
