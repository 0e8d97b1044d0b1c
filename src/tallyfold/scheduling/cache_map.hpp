#pragma once
/// @file
/// Estimates which engine holds which cached prefix, from delayed engine events and this node's own
/// dispatches. Pure.
///
/// A wrong estimate costs time, never correctness: the engine checks its own cache.

#include <cstdint>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "tallyfold/base/common/types.hpp"

namespace tallyfold::scheduling {

/// Hash of a conversation up to the end of one message; equal for equal prefixes.
using prefix_hash = std::uint64_t;

struct prefix_point {
    prefix_hash hash = 0;
    /// Tokens from the conversation's start to this point.
    token_count tokens = 0;

    bool operator==(const prefix_point&) const = default;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(hash, tokens);
    }
};

struct cached_prefix {
    backend_name engine;
    /// The point that matched.
    prefix_hash hash = 0;
    /// Tokens that the engine holds up to it.
    token_count tokens = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(engine, hash, tokens);
    }
};

class cache_map {
  public:
    /// @param capacity maximum number of points; the least recently stored are evicted first
    explicit cache_map(std::size_t capacity = 200'000) : capacity_(capacity) {}

    /// Records that the engine holds the conversation up to the point. A point may grow under the
    /// same hash, as a session's own part does from turn to turn; the latest length at this engine
    /// is kept.
    void stored(const backend_name& engine, const prefix_point& point);
    void removed(const backend_name& engine, prefix_hash hash);
    /// Removes all entries of an engine, after a gap in its events or a restart.
    void remove_engine(const backend_name& engine);

    /// Engines estimated to hold the longest prefixes of the conversation: longest point first, and
    /// for a point those that hold most tokens of it first.
    /// @param points the conversation's points, shortest first
    [[nodiscard]] std::vector<cached_prefix> find(const std::vector<prefix_point>& points) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

  private:
    /// Number of distinct engines after which a lookup stops.
    static constexpr std::size_t matches_limit = 4;
    struct holder {
        std::uint32_t engine = 0;
        token_count tokens = 0;
    };
    struct entry {
        std::vector<holder> holders;
        std::list<prefix_hash>::iterator lru_position;
    };
    std::uint32_t engine_id(const backend_name& engine);
    void evict_oldest();

    std::size_t capacity_;
    std::unordered_map<prefix_hash, entry> entries_;
    std::list<prefix_hash> lru_order_;
    std::map<backend_name, std::uint32_t> engine_ids_;
    std::vector<backend_name> engine_names_;
};

}  // namespace tallyfold::scheduling
