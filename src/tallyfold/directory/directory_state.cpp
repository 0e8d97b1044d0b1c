#include "tallyfold/directory/directory_state.hpp"

#include "tallyfold/protocol/binary_codec.hpp"

namespace tallyfold::directory {

void directory_state::apply(const directory_command& command) {
    if (const auto* configuration = std::get_if<replace_configuration>(&command)) {
        // The highest version prevails; an equal one alters nothing.
        if (configuration->parsed.version > configuration_.version) {
            configuration_ = configuration->parsed;
            text_ = configuration->text;
        }
    } else if (const auto* map = std::get_if<replace_store_map>(&command)) {
        if (map->map.epoch == map_.epoch + 1) {
            map_ = map->map;
        }
    } else {
        const node_name& node = std::get<retire_store>(command).node;
        for (const turns::store_member& member : map_.all()) {
            if (member.node == node) {
                retired_[member.id] = node;
            }
        }
    }
}

std::string directory_state::save() const {
    return protocol::encode(*this);
}

void directory_state::restore(const std::string& bytes) {
    if (bytes.empty()) {
        *this = directory_state{};
        return;
    }
    // A snapshot is written by this program and guarded by checksums.
    *this = protocol::decode<directory_state>(bytes).value_or(directory_state{});
}

}  // namespace tallyfold::directory
