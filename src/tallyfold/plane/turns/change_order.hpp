#pragma once
/// @file
/// Order in which the requests of a turn_table last changed, so that another store can read what
/// changed since it last asked. Pure.
///
/// Owns the sequence numbers and the index from request keys to request identifiers.

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>

#include "tallyfold/base/common/time.hpp"

namespace tallyfold::turns {

/// Hash of a request's identifier, by which stores name a request to each other.
using request_key = std::uint64_t;
/// Number of a change within one process. A later change of the same request replaces it.
using change_sequence = std::uint64_t;

[[nodiscard]] request_key key_of(const std::string& request);

class change_order {
  public:
    struct entry {
        request_key key = 0;
        std::string request;
        instant changed_at{};
    };

    /// Moves the request to the end of the order.
    void record(const std::string& request, instant now);
    void erase(const std::string& request);
    /// Identifier of the request with this key; null when the order does not contain it.
    [[nodiscard]] const std::string* request_of(request_key key) const;
    /// Entries by sequence number, oldest change first.
    [[nodiscard]] const std::map<change_sequence, entry>& entries() const { return entries_; }

  private:
    std::map<change_sequence, entry> entries_;
    std::unordered_map<request_key, change_sequence> sequences_;
    change_sequence last_ = 0;
};

}  // namespace tallyfold::turns
