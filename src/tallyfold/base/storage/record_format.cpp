#include "tallyfold/base/storage/record_format.hpp"

#include <algorithm>
#include <array>
#include <cstring>

#include "tallyfold/base/storage/checksum.hpp"

namespace tallyfold::storage {

namespace {

struct record_header {
    std::uint32_t length = 0;
    std::uint32_t length_checksum = 0;
    std::uint32_t payload_checksum = 0;
};
static_assert(sizeof(record_header) == record_header_size);

std::uint32_t checksum_of_length(std::uint32_t length) {
    std::array<char, sizeof(length)> bytes{};
    std::memcpy(bytes.data(), &length, sizeof(length));
    return checksum({bytes.data(), bytes.size()});
}

bool all_zero(std::string_view bytes) {
    return std::all_of(bytes.begin(), bytes.end(), [](char byte) { return byte == 0; });
}

storage_error damage(const std::string& name, std::uint64_t offset, std::string_view what) {
    return {storage_failure::damaged, name + ": offset " + std::to_string(offset) + ": " +
                                          std::string(what) +
                                          "; recover this replica from its peers"};
}

}  // namespace

std::uint64_t whole_record_length(std::string_view bytes) {
    record_header header;
    if (bytes.size() < sizeof(header)) {
        return 0;
    }
    std::memcpy(&header, bytes.data(), sizeof(header));
    const bool fits = header.length > 0 && bytes.size() >= sizeof(header) + header.length;
    if (!fits || header.length_checksum != checksum_of_length(header.length)) {
        return 0;
    }
    const std::string_view payload = bytes.substr(sizeof(header), header.length);
    return header.payload_checksum == checksum(payload) ? sizeof(header) + header.length : 0;
}

namespace {

/// True when a complete valid record starts anywhere after the first byte.
bool record_follows(std::string_view bytes) {
    for (std::uint64_t offset = 1; offset < bytes.size(); ++offset) {
        if (whole_record_length(bytes.substr(offset)) > 0) {
            return true;
        }
    }
    return false;
}

}  // namespace

void append_record(std::string& target, std::string_view payload) {
    record_header header;
    header.length = static_cast<std::uint32_t>(payload.size());
    header.length_checksum = checksum_of_length(header.length);
    header.payload_checksum = checksum(payload);
    std::array<char, sizeof(header)> bytes{};
    std::memcpy(bytes.data(), &header, sizeof(header));
    target.append(bytes.data(), bytes.size());
    target.append(payload);
}

tl::expected<scan_result, storage_error> scan_records(std::string_view bytes,
                                                      const std::string& name, tail_policy policy) {
    scan_result result;
    std::uint64_t offset = 0;
    while (offset < bytes.size()) {
        const std::string_view rest = bytes.substr(offset);
        if (rest.size() < sizeof(record_header) || all_zero(rest)) {
            break;
        }
        record_header header;
        std::memcpy(&header, rest.data(), sizeof(header));
        if (header.length_checksum != checksum_of_length(header.length)) {
            if (policy == tail_policy::truncate_torn && !record_follows(rest)) {
                break;
            }
            return tl::unexpected(damage(name, offset, "checksum mismatch in a record's length"));
        }
        if (rest.size() < sizeof(header) + header.length) {
            break;
        }
        const std::string_view payload = rest.substr(sizeof(header), header.length);
        if (header.payload_checksum != checksum(payload)) {
            if (policy == tail_policy::truncate_torn && !record_follows(rest)) {
                break;
            }
            // The length is intact, so the record may have been synced and acknowledged. Truncating
            // it could revoke a vote; the replica must be recovered instead.
            return tl::unexpected(damage(name, offset, "checksum mismatch in a record's payload"));
        }
        result.payloads.push_back(payload);
        offset += sizeof(header) + header.length;
        result.valid_length = offset;
    }
    return result;
}

}  // namespace tallyfold::storage
