#pragma once
/// @file
/// Finds the tenant that an API key belongs to. Pure, apart from the random secret of its digests.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::tenants {

/// Digest of a key: SHA-256 with a secret of the process. Replaces the key in comparisons and logs.
using key_digest = std::array<unsigned char, 32>;

class key_index {
  public:
    /// @param tenants must outlive the index
    explicit key_index(const std::vector<routing::tenant>& tenants);

    /// True when callers must present a key.
    [[nodiscard]] bool required() const { return required_; }
    /// Tenant that the key belongs to, or null. Only digests are compared, so the time taken
    /// reveals nothing about the key.
    [[nodiscard]] const routing::tenant* find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return tenants_.size(); }

  private:
    struct digest_hash {
        std::size_t operator()(const key_digest& digest) const;
    };

    bool required_;
    std::unordered_map<key_digest, const routing::tenant*, digest_hash> tenants_;
};

/// Longest accepted key, in bytes; a longer one is rejected without hashing.
constexpr std::size_t max_key_bytes = 1'024;

/// Abbreviated digest of a key for logs, stable for the life of the process; "-" for an empty key.
std::string loggable_key(std::string_view key);

}  // namespace tallyfold::tenants
