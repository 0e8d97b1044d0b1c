#pragma once
/// @file
/// Keys that the system's own processes and operators prove themselves with.
///
/// A key file holds one key a line; the first is used to prove, all are accepted. It is read
/// anew when it changes, so that keys are rotated without a restart: add the new key at the end
/// everywhere, move it to the front everywhere, then remove the old one.

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
/// Compares in a time that does not depend on where the values differ.
bool equal_in_constant_time(std::string_view left, std::string_view right);
/// Random bytes from the operating system, for nonces and identities.
std::string random_bytes(std::size_t count);
std::uint64_t random_number();

/// Thread-safe.
class cluster_keys {
  public:
    explicit cluster_keys(std::string path) : path_(std::move(path)) {}
    /// The keys as the file has them now, newest first.
    tl::expected<std::vector<std::string>, key_error> current();
    /// Proof of `text` with the first key.
    tl::expected<std::string, key_error> prove(std::string_view text);
    /// True when any key gives this proof.
    bool verify(std::string_view text, std::string_view proof);

  private:
    std::string path_;
    std::mutex mutex_;
    std::filesystem::file_time_type read_at_{};
    std::vector<std::string> keys_;
};

}  // namespace tallyfold::net
