#include "tallyfold/plane/directory/directory_state.hpp"

#include <algorithm>

#include "tallyfold/base/protocol/compression.hpp"

namespace tallyfold::directory {

void directory_state::apply(directory_command command) {
    if (auto* change = std::get_if<replace_configuration>(&command)) {
        // The highest version wins; an equal one changes nothing.
        if (change->parsed.version > configuration_->version) {
            configuration_ =
                std::make_shared<const routing::configuration>(std::move(change->parsed));
            text_ = std::move(change->text);
        }
    } else if (const auto* change = std::get_if<change_store_groups>(&command)) {
        change_groups(*change);
    } else if (const auto* order = std::get_if<evacuate_zone>(&command)) {
        evacuations_.apply(*order);
    } else {
        retire(std::get<retire_store>(command));
    }
}

void directory_state::change_groups(const change_store_groups& change) {
    turns::map_epoch expected = stores_.epoch;
    for (const turns::store_map& map : change.maps) {
        if (map.epoch != ++expected) {
            return;
        }
    }
    for (const turns::store_map& map : change.maps) {
        stores_.merge_newer(map);
    }
    stores_.epoch = expected;
}

void directory_state::retire(const retire_store& command) {
    for (const turns::store_member& member : stores_.all()) {
        if (member.node == command.node) {
            retired_[member.id] = command.node;
        }
    }
    for (const turns::store_id disk : command.disks) {
        retired_[disk] = command.node;
    }
}

std::string directory_state::to_bytes() const {
    return protocol::encode_compressed(*this);
}

tl::expected<void, protocol::decode_error> directory_state::restore(const std::string& bytes) {
    if (bytes.empty()) {
        *this = directory_state{};
        return {};
    }
    auto read = protocol::decode_compressed<directory_state>(bytes);
    if (!read) {
        return tl::unexpected(read.error());
    }
    *this = std::move(*read);
    return {};
}

protocol::format_version directory_state::oldest_usable_format() const {
    if (evacuations_.revision() != 0) {
        return protocol::format_version::v3;
    }
    const auto lost_majority = [](const turns::store_map& map) {
        return map.after_loss || !map.absent.empty();
    };
    const bool needs_second =
        !configuration_->tenants.empty() ||
        std::any_of(stores_.groups.begin(), stores_.groups.end(), lost_majority);
    return needs_second ? protocol::format_version::v2 : protocol::format_version::v1;
}

}  // namespace tallyfold::directory
