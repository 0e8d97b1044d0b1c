#include "tallyfold/program_api/transport/cluster_keys.hpp"

#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <array>
#include <cstring>
#include <fstream>

namespace tallyfold::net {

namespace {

constexpr std::size_t min_key_length = 16;

}  // namespace

std::string keyed_hash(std::string_view key, std::string_view text) {
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int length = 0;
    HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
         reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data(), &length);
    return {reinterpret_cast<const char*>(digest.data()), length};
}

bool equal_in_constant_time(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

std::string random_bytes(std::size_t count) {
    std::string bytes(count, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(bytes.data()), static_cast<int>(count)) != 1) {
        std::abort();  // Predictable nonces and identities would be unsafe.
    }
    return bytes;
}

std::uint64_t random_number() {
    const std::string bytes = random_bytes(sizeof(std::uint64_t));
    std::uint64_t number = 0;
    std::memcpy(&number, bytes.data(), sizeof(number));
    return number;
}

tl::expected<std::vector<std::string>, key_error> cluster_keys::current() {
    const std::lock_guard lock(mutex_);
    std::error_code failure;
    const auto changed = std::filesystem::last_write_time(path_, failure);
    if (failure) {
        return tl::unexpected(key_error{path_ + ": " + failure.message()});
    }
    if (!keys_.empty() && changed == loaded_file_time_) {
        return keys_;
    }
    std::ifstream file(path_);
    std::vector<std::string> keys;
    std::string line;
    while (std::getline(file, line)) {
        if (line.empty() || line.front() == '#') {
            continue;
        }
        if (line.size() < min_key_length) {
            return tl::unexpected(key_error{path_ + ": a key must have at least 16 characters"});
        }
        keys.push_back(line);
    }
    if (keys.empty()) {
        return tl::unexpected(key_error{path_ + ": contains no key"});
    }
    keys_ = std::move(keys);
    loaded_file_time_ = changed;
    return keys_;
}

tl::expected<std::string, key_error> cluster_keys::prove(std::string_view text) {
    const auto keys = current();
    if (!keys) {
        return tl::unexpected(keys.error());
    }
    return keyed_hash(keys->front(), text);
}

bool cluster_keys::verify(std::string_view text, std::string_view proof) {
    const auto keys = current();
    if (!keys) {
        return false;
    }
    bool accepted = false;
    for (const std::string& key : *keys) {
        accepted = equal_in_constant_time(keyed_hash(key, text), proof) || accepted;
    }
    return accepted;
}

}  // namespace tallyfold::net
