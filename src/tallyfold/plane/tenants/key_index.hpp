#pragma once
/// @file
/// Finds the tenant that a caller's key belongs to. Pure but for the random number it is keyed
/// with.

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tallyfold/plane/routing/configuration.hpp"

namespace tallyfold::tenants {

/// Keyed digest (SHA-256 with a secret of the process) of a key. It stands for the key wherever one
/// is compared or logged.
using key_digest = std::array<unsigned char, 32>;

class key_index {
  public:
    /// @param tenants have to outlive the index
    explicit key_index(const std::vector<routing::tenant>& tenants);

    /// True when callers need a key at all.
    [[nodiscard]] bool required() const { return required_; }
    /// The tenant that holds the key; null when none does. How long it takes doesn't tell how much
    /// of the key is right: only digests are compared.
    [[nodiscard]] const routing::tenant* find(std::string_view key) const;
    [[nodiscard]] std::size_t size() const { return tenants_.size(); }

  private:
    struct first_bytes {
        std::size_t operator()(const key_digest& digest) const;
    };

    bool required_;
    std::unordered_map<key_digest, const routing::tenant*, first_bytes> tenants_;
};

/// Keys longer than this are refused unread: no configuration is expected to hold one.
constexpr std::size_t longest_key = 1'024;

/// What logs show of a key: a few digits of its digest, the same for the life of the process.
std::string loggable_key(std::string_view key);

}  // namespace tallyfold::tenants
