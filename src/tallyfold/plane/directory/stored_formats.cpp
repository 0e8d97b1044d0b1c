#include "tallyfold/plane/directory/stored_formats.hpp"

#include <cstring>

#include "tallyfold/base/protocol/compression.hpp"

namespace tallyfold::directory {

namespace {

using protocol::encode_error;
using routing::configuration;

/// True when builds that support only format v1 can read the uncompressed command. A
/// configuration's format is identified by its first bytes, since decoding a large one is slow.
bool is_first_format_of_command(std::string_view plain) {
    std::uint32_t kind = 0;
    if (plain.size() < sizeof(kind)) {
        return false;
    }
    std::memcpy(&kind, plain.data(), sizeof(kind));
    constexpr std::uint32_t replaces_configuration = 0;
    static_assert(
        std::is_same_v<std::variant_alternative_t<replaces_configuration, directory_command>,
                       replace_configuration>);
    if (kind == replaces_configuration) {
        return !configuration::is_in_second_format(plain.substr(sizeof(kind)));
    }
    return protocol::decode<directory_command>(plain, protocol::oldest_format).has_value();
}

/// True when builds that support only format v1 can read the uncompressed state. The configuration
/// comes first, and the whole state has the same format.
bool is_first_format_of_state(std::string_view plain) {
    return !protocol::leading_format_number(plain) && !configuration::is_in_second_format(plain);
}

tl::expected<void, encode_error> commands_to_first_format(
    std::vector<consensus::log_entry>& entries) {
    for (consensus::log_entry& entry : entries) {
        if (entry.kind != consensus::entry_kind::command) {
            continue;
        }
        std::string plain = protocol::decompressed_or_same(entry.payload);
        if (!is_first_format_of_command(plain)) {
            return tl::unexpected(
                encode_error{"log entry " + std::to_string(entry.index) + " in a later format"});
        }
        entry.payload = std::move(plain);
    }
    return {};
}

tl::expected<void, encode_error> state_to_first_format(std::string& packed) {
    std::string plain = protocol::decompressed_or_same(packed);
    if (!is_first_format_of_state(plain)) {
        return tl::unexpected(encode_error{"a snapshot in a later format"});
    }
    packed = std::move(plain);
    return {};
}

}  // namespace

std::string state_on_disk(const directory_state& state) {
    const bool is_first = state.oldest_usable_format() == protocol::oldest_format;
    return is_first ? protocol::encode_stored(state) : state.to_bytes();
}

std::string state_on_disk(const std::string& packed) {
    std::string plain = protocol::decompressed_or_same(packed);
    if (!is_first_format_of_state(plain)) {
        return packed;
    }
    return plain;
}

consensus::group_write write_on_disk(consensus::group_write write) {
    for (consensus::log_entry& entry : write.entries) {
        std::string plain = protocol::decompressed_or_same(entry.payload);
        if (entry.kind == consensus::entry_kind::command && is_first_format_of_command(plain)) {
            entry.payload = std::move(plain);
        }
    }
    if (write.base) {
        write.base->state = state_on_disk(write.base->state);
    }
    return write;
}

tl::expected<void, encode_error> to_first_format(consensus::replica_message& message) {
    if (auto* append = std::get_if<consensus::append_request>(&message.body)) {
        return commands_to_first_format(append->entries);
    }
    if (auto* installed = std::get_if<consensus::snapshot_request>(&message.body)) {
        return state_to_first_format(installed->contents.state);
    }
    return {};
}

}  // namespace tallyfold::directory
