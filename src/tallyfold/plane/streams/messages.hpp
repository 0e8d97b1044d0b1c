#pragma once
/// @file
/// Messages about the origins of resumable streams, between forwarders and stores. Since format v5.
///
/// The order of the fields in serialize() is the wire format; field names may change.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::streams {

/// Identifies a stream: the identifier of the request that brought its first event to the caller,
/// qualified by tenant.
using stream_id = std::string;

/// What generated the first event of a stream. Only back ends of the same service and software
/// version may continue it.
struct stream_origin {
    std::string service;
    std::string version;

    auto operator<=>(const stream_origin&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(service, version);
    }
};

/// Tells a store the origin of a stream. Not acknowledged: a caller whose stream no store knows
/// gets a refusal, never another version.
struct origin_record {
    stream_id stream;
    stream_origin origin;
    /// Time for which a caller may resume the stream.
    std::uint32_t lifetime_ms = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(stream, origin, lifetime_ms);
    }
};

/// Matches an answer to its query; unique within the lifetime of the asking process.
using query_number = std::uint64_t;

/// Asks a store for the origin of a stream.
struct origin_query {
    query_number query = 0;
    stream_id stream;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(query, stream);
    }
};

struct origin_answer {
    query_number query = 0;
    turns::store_id store = 0;
    /// Empty when the store has no record. More than one when callers used an identifier twice.
    std::vector<stream_origin> origins;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(query, store, origins);
    }
};

}  // namespace tallyfold::streams
