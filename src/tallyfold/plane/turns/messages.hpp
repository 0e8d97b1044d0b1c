#pragma once
/// @file
/// Messages between the nodes that forward turns and the stores that keep them.

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

/// An engine that holds a prompt, with what it made after it. A hint: stores keep it in memory
/// only.
struct held_prompt {
    /// Empty when no engine is known to hold it.
    backend_name engine;
    /// Ends of the prompt's parts, shortest first.
    std::vector<scheduling::prefix_point> points;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(engine, points);
    }
};

/// Asks a store to reserve a turn and to tell what it knows of its program and its line.
struct begin_request {
    operation_number operation = 0;
    map_epoch epoch = 0;
    turn_reservation reservation;
    /// The turn that this one continues; empty when it begins a line.
    std::string previous;
    /// True at the store that is to send the texts of the line too.
    bool wants_history = false;
    /// Ends of the prompt's parts, shortest first, at the store that is to tell who holds them.
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
    /// Engines that hold most of the asked prompt, the longest first.
    std::vector<scheduling::cached_prefix> holders;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, durable, newer_map, ledger, holds_previous, history, holders);
    }
};

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

/// Asks a store whether it holds a turn, of a program that another group keeps.
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
    /// The map was older than the store's: its answer says nothing; the newer map is here.
    std::vector<store_map> newer_map;
    bool held = false;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(operation, store, newer_map, held);
    }
};

struct settle_request {
    operation_number operation = 0;
    map_epoch epoch = 0;
    turn_settlement settlement;
    held_prompt held;

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

/// A store that joins asks another for what it lacks. The asked store takes the map over first,
/// so that no write under an older map can slip past the copy.
struct copy_request {
    store_map map;
    std::set<std::string> known;
    /// Go on after this request's identifier.
    std::string from;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(map, known, from);
    }
};

struct copy_reply {
    store_id store = 0;
    map_epoch epoch = 0;
    std::vector<turn_change> changes;
    /// Where to go on; empty when the copy is complete.
    std::string next;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(store, epoch, changes, next);
    }
};

}  // namespace tallyfold::turns
