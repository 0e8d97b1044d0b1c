#pragma once
/// @file
/// The replicated state of the directory: the configuration in force, the groups of the stores,
/// and which stores are being emptied. A deterministic state machine.

#include <map>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/base/protocol/binary_codec.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::directory {

/// An operator's whole configuration, parsed, and its text as it was sent.
struct replace_configuration {
    routing::configuration parsed;
    std::string text;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(parsed, text);
    }
};

/// Puts maps in place of those of their groups. Their epochs follow the table's one by one, so that
/// no two maps share one; nothing happens when the table has moved on meanwhile. The first change
/// forms the groups.
struct change_store_groups {
    std::vector<turns::store_map> maps;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(maps);
    }
};

/// Marks a store's machine as one to be emptied.
struct retire_store {
    node_name node;
    /// The disks that it is known to have had, beside those in the groups.
    std::vector<turns::store_id> disks;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, disks);
    }
};

using routing::configuration_pointer;

using directory_command = std::variant<replace_configuration, change_store_groups, retire_store>;

class directory_state {
  public:
    /// Applies one committed command.
    void apply(directory_command command);

    [[nodiscard]] const routing::configuration& configuration() const { return *configuration_; }
    [[nodiscard]] const configuration_pointer& shared_configuration() const {
        return configuration_;
    }
    /// The configuration's text, as its operator sent it.
    [[nodiscard]] const std::string& configuration_text() const { return text_; }
    [[nodiscard]] const turns::store_table& stores() const { return stores_; }
    /// Disks that are to be emptied or were.
    [[nodiscard]] const std::map<turns::store_id, node_name>& retired() const { return retired_; }

    /// Compressed when there are many.
    [[nodiscard]] std::string to_bytes() const;
    /// Takes over the state that to_bytes() of this build or an earlier one made; an empty one for
    /// no bytes. When they can't be read it stays as it is.
    tl::expected<void, protocol::decode_error> restore(const std::string& bytes);
    /// True when it holds what builds that know no more than the first form can't read.
    [[nodiscard]] bool needs_second_format() const;

    template <class Archive>
    void save(Archive& archive) const {
        archive(*configuration_, text_, stores_, retired_);
    }
    template <class Archive>
    void load(Archive& archive) {
        routing::configuration configuration;
        archive(configuration, text_, stores_, retired_);
        configuration_ = std::make_shared<const routing::configuration>(std::move(configuration));
    }

  private:
    void change_groups(const change_store_groups& change);
    void retire(const retire_store& order);

    configuration_pointer configuration_ = std::make_shared<const routing::configuration>();
    std::string text_;
    turns::store_table stores_;
    std::map<turns::store_id, node_name> retired_;
};

}  // namespace tallyfold::directory
