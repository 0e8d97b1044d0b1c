#pragma once
/// @file
/// Messages between the nodes that forward turns and the stores that keep them, and between stores.
///
/// The order of the fields in serialize() is their form on the wire; names may change.

#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/turn_table.hpp"
#include "tallyfold/plane/turns/types.hpp"
#include "tallyfold/scheduling/cache_map.hpp"

namespace tallyfold::turns {

/// Matches a reply to its request, unique within one life of the asking process.
using operation_number = std::uint64_t;

/// An engine that holds a prompt in its cache, with what it generated after it. A hint: stores keep
/// it in memory only.
struct cached_prompt {
    /// Empty when no engine is known to hold it.
    backend_name engine;
    /// Ends of the prompt's parts, shortest first.
    std::vector<scheduling::prefix_point> points;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(engine, points);
    }
};

/// Asks a store to reserve a turn, and for the program's ledger and the turn's history.
struct begin_request {
    operation_number operation = 0;
    map_epoch epoch = 0;
    turn_reservation reservation;
    /// Request of the turn that this one continues; empty for the first of a history.
    std::string previous;
    /// True at the store that is to send the texts of the history too.
    bool wants_history = false;
    /// Ends of the prompt's parts, shortest first, at the store that is to name the engines that
    /// hold them.
    std::vector<scheduling::prefix_point> prompt;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, epoch, reservation, previous, wants_history, prompt);
    }
};

struct begin_reply {
    operation_number operation = 0;
    store_id store = 0;
    /// The reservation is synced.
    bool durable = false;
    /// The map was older than the store's: nothing was done; the newer map is here.
    std::vector<store_map> newer_map;
    program_ledger ledger;
    bool holds_previous = false;
    history_part history;
    /// Engines that hold most of the prompt, the longest part first.
    std::vector<scheduling::cached_prefix> holders;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, durable, newer_map, ledger, holds_previous, history, holders);
    }
};

/// Asks a store for a turn and those before it.
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

/// Asks a store of another group whether it holds a turn whose program isn't known.
struct find_request {
    operation_number operation = 0;
    /// Of the asked store's group.
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
    /// The map was older than the store's: the answer doesn't count; the newer map is here.
    std::vector<store_map> newer_map;
    bool held = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, newer_map, held);
    }
};

/// Asks a store to make a turn's end durable.
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

/// A store that joins asks another for a page of what it lacks. The source takes the map over
/// first, so that no write under an older map follows the copy.
struct copy_request {
    store_map map;
    /// Settled requests that the joining store holds already.
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
    /// The last request of the page; empty when the copy is complete.
    std::string next;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, epoch, changes, next);
    }
};

}  // namespace tallyfold::turns
