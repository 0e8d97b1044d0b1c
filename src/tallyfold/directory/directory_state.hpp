#pragma once
/// @file
/// The replicated state of the directory: the configuration in force, the map of the stores, and
/// which stores are being emptied. A deterministic state machine.

#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "tallyfold/routing/configuration.hpp"
#include "tallyfold/turns/types.hpp"

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

/// Puts a store map in place of the one with the epoch before it.
struct replace_store_map {
    turns::store_map map;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(map);
    }
};

/// Marks a store's machine as one to be emptied.
struct retire_store {
    node_name node;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node);
    }
};

using directory_command = std::variant<replace_configuration, replace_store_map, retire_store>;

class directory_state {
  public:
    /// Applies one committed command.
    void apply(const directory_command& command);

    [[nodiscard]] const routing::configuration& configuration() const { return configuration_; }
    /// The configuration's text, as its operator sent it.
    [[nodiscard]] const std::string& configuration_text() const { return text_; }
    [[nodiscard]] const turns::store_map& map() const { return map_; }
    /// Disks that are to be emptied or were.
    [[nodiscard]] const std::map<turns::store_id, node_name>& retired() const { return retired_; }

    [[nodiscard]] std::string save() const;
    void restore(const std::string& bytes);

    template <class Archive>
    void serialize(Archive& archive) {
        archive(configuration_, text_, map_, retired_);
    }

  private:
    routing::configuration configuration_;
    std::string text_;
    turns::store_map map_;
    std::map<turns::store_id, node_name> retired_;
};

}  // namespace tallyfold::directory
