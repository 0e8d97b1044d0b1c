#pragma once
/// @file
/// The replicated state of the directory: the configuration in force, the store groups, the
/// retired disks, and the evacuated zones. A deterministic state machine.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/plane/directory/zone_evacuations.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::directory {

/// Replaces the configuration: the parsed form, and the text as the operator sent it.
struct replace_configuration {
    routing::configuration parsed;
    std::string text;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(parsed, text);
    }
};

/// Replaces the maps of some groups; the first such command creates the groups. The epochs of the
/// maps continue the table's epoch without gaps, so that no two maps share one. Ignored when the
/// table has changed in the meantime.
struct change_store_groups {
    std::vector<turns::store_map> maps;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(maps);
    }
};

/// Marks the store of a node as retired.
struct retire_store {
    node_name node;
    /// Known disks of the store, in addition to those in the groups.
    std::vector<turns::store_id> disks;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, disks);
    }
};

using routing::configuration_pointer;

using directory_command =
    std::variant<replace_configuration, change_store_groups, retire_store, evacuate_zone>;

class directory_state {
  public:
    /// Applies one committed command.
    void apply(directory_command command);

    [[nodiscard]] const routing::configuration& configuration() const { return *configuration_; }
    [[nodiscard]] const configuration_pointer& shared_configuration() const {
        return configuration_;
    }
    /// The text of the configuration as the operator sent it.
    [[nodiscard]] const std::string& configuration_text() const { return text_; }
    [[nodiscard]] const turns::store_table& stores() const { return stores_; }
    /// Disks that are retired, by ID, with their node.
    [[nodiscard]] const std::map<turns::store_id, node_name>& retired() const { return retired_; }

    [[nodiscard]] const zone_evacuations& evacuations() const { return evacuations_; }

    /// Serializes the state, compressed when it is large.
    [[nodiscard]] std::string to_bytes() const;
    /// Restores a state from to_bytes() of this build or an earlier one; no bytes restore an empty
    /// state. The state is unchanged on error.
    tl::expected<void, protocol::decode_error> restore(const std::string& bytes);
    /// The oldest format that can represent the state.
    [[nodiscard]] protocol::format_version oldest_usable_format() const;

    template <class Archive>
    void save(Archive& archive) const {
        archive(*configuration_, text_, stores_, retired_);
        if (archive.format() >= protocol::format_version::v3) {
            archive(evacuations_);
        } else if (evacuations_.revision() != 0) {
            protocol::report_unsupported(archive, "evacuated zones");
        }
    }
    template <class Archive>
    void load(Archive& archive) {
        routing::configuration configuration;
        archive(configuration, text_, stores_, retired_);
        if (archive.format() >= protocol::format_version::v3) {
            archive(evacuations_);
        }
        configuration_ = std::make_shared<const routing::configuration>(std::move(configuration));
    }

  private:
    void change_groups(const change_store_groups& change);
    void retire(const retire_store& command);

    configuration_pointer configuration_ = std::make_shared<const routing::configuration>();
    std::string text_;
    turns::store_table stores_;
    std::map<turns::store_id, node_name> retired_;
    zone_evacuations evacuations_;
};

}  // namespace tallyfold::directory
