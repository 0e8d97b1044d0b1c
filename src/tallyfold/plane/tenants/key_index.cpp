#include "tallyfold/plane/tenants/key_index.hpp"

#include <openssl/evp.h>

#include <cstring>
#include <random>

namespace tallyfold::tenants {

namespace {

/// SHA-256 over a random block followed by the key. The block is drawn once per process, so digests
/// can't be precomputed; its hash state is reused, so a digest costs one block instead of two.
class keyed_hash {
  public:
    keyed_hash() : keyed_context_(EVP_MD_CTX_new()), scratch_context_(EVP_MD_CTX_new()) {
        std::random_device source;
        std::array<unsigned char, block_size> secret{};
        for (unsigned char& byte : secret) {
            byte = static_cast<unsigned char>(source());
        }
        EVP_DigestInit_ex(keyed_context_, EVP_sha256(), nullptr);
        EVP_DigestUpdate(keyed_context_, secret.data(), secret.size());
    }
    ~keyed_hash() {
        EVP_MD_CTX_free(keyed_context_);
        EVP_MD_CTX_free(scratch_context_);
    }
    keyed_hash(const keyed_hash&) = delete;
    keyed_hash& operator=(const keyed_hash&) = delete;

    [[nodiscard]] key_digest digest_of(std::string_view key) const {
        key_digest digest{};
        unsigned int size = 0;
        EVP_MD_CTX_copy_ex(scratch_context_, keyed_context_);
        EVP_DigestUpdate(scratch_context_, key.data(), key.size());
        EVP_DigestFinal_ex(scratch_context_, digest.data(), &size);
        return digest;
    }

  private:
    static constexpr std::size_t block_size = 64;
    EVP_MD_CTX* keyed_context_;
    EVP_MD_CTX* scratch_context_;
};

/// Not thread-safe: called on the loop thread only.
key_digest digest_of(std::string_view key) {
    static const keyed_hash hash;
    return hash.digest_of(key);
}

}  // namespace

std::size_t key_index::digest_hash::operator()(const key_digest& digest) const {
    std::size_t value = 0;
    std::memcpy(&value, digest.data(), sizeof(value));
    return value;
}

key_index::key_index(const std::vector<routing::tenant>& tenants) : required_(!tenants.empty()) {
    for (const routing::tenant& tenant : tenants) {
        for (const std::string& key : tenant.keys) {
            tenants_[digest_of(key)] = &tenant;
        }
    }
}

const routing::tenant* key_index::find(std::string_view key) const {
    if (key.empty() || key.size() > max_key_bytes) {
        return nullptr;
    }
    const auto found = tenants_.find(digest_of(key));
    return found == tenants_.end() ? nullptr : found->second;
}

std::string loggable_key(std::string_view key) {
    static constexpr const char* digits = "0123456789abcdef";
    static constexpr std::size_t shown_bytes = 4;
    if (key.empty()) {
        return "-";
    }
    const key_digest digest = digest_of(key.substr(0, max_key_bytes));
    std::string text;
    for (std::size_t place = 0; place < shown_bytes; ++place) {
        text += digits[digest[place] >> 4U];
        text += digits[digest[place] & 15U];
    }
    return text;
}

}  // namespace tallyfold::tenants
