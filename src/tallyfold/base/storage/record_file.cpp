#include "tallyfold/base/storage/record_file.hpp"

#include "tallyfold/base/storage/record_format.hpp"

namespace tallyfold::storage {

tl::expected<std::string, storage_error> read_single_record(const std::string& path) {
    const auto bytes = read_file(path);
    if (!bytes) {
        return tl::unexpected(bytes.error());
    }
    const auto scanned = scan_records(*bytes, path);
    if (!scanned) {
        return tl::unexpected(scanned.error());
    }
    // The file is renamed into place after its sync, so it can't be truncated by a crash.
    if (scanned->payloads.size() != 1 || scanned->valid_length != bytes->size()) {
        return tl::unexpected(storage_error{
            storage_failure::damaged, path + ": does not consist of exactly one complete record"});
    }
    return std::string(scanned->payloads.front());
}

std::string single_record(std::string_view payload) {
    std::string bytes;
    append_record(bytes, payload);
    return bytes;
}

}  // namespace tallyfold::storage
