#pragma once
/// @file
/// Keys that authenticate the system's processes to each other.
///
/// A key file holds one key per line; the first is used to authenticate, all are accepted. The file
/// is reloaded when it changes, so that keys are rotated without a restart: append the new key on
/// all nodes, move it to the front on all nodes, then remove the old one.

#include <filesystem>
#include <mutex>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace tallyfold::net {

struct key_error {
    std::string detail;
};

/// HMAC-SHA-256 of `text`.
std::string keyed_hash(std::string_view key, std::string_view text);
/// Compares in a time that does not depend on the position of a difference.
bool equal_in_constant_time(std::string_view left, std::string_view right);
/// Cryptographically secure random bytes, for nonces and identities.
std::string random_bytes(std::size_t count);
std::uint64_t random_number();

/// Thread-safe.
class cluster_keys {
  public:
    explicit cluster_keys(std::string path) : path_(std::move(path)) {}
    /// The keys of the file, in its order; reloads the file when it changed.
    tl::expected<std::vector<std::string>, key_error> current();
    /// HMAC of `text` with the first key.
    tl::expected<std::string, key_error> prove(std::string_view text);
    /// True when `proof` is the HMAC of `text` with any of the keys.
    bool verify(std::string_view text, std::string_view proof);

  private:
    std::string path_;
    std::mutex mutex_;
    std::filesystem::file_time_type loaded_file_time_{};
    std::vector<std::string> keys_;
};

}  // namespace tallyfold::net
