#pragma once
/// @file
/// The accepted configuration as a deterministic state machine, and the copy that nodes follow.

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "tallyfold/program_api/configuration/types.hpp"

namespace tallyfold::configuration {

/// A copy of the configuration at one version. Nodes move it forward by deltas only.
class configuration_view {
  public:
    [[nodiscard]] configuration_version version() const { return version_; }
    [[nodiscard]] const std::map<item_key, item>& items() const { return items_; }
    /// The live item, or null.
    [[nodiscard]] const item* find(const item_key& key) const;
    [[nodiscard]] const tenant_settings* tenant(const std::string& name) const;
    [[nodiscard]] const class_settings* program_class(const std::string& name) const;
    [[nodiscard]] bool drained(const std::string& backend) const;

    /// Items changed after `base`.
    [[nodiscard]] configuration_delta since(configuration_version base) const;
    /// Moves forward. @return false, with no change, when the delta does not start at or before
    /// this version or would go back.
    bool advance(const configuration_delta& delta);
    void put(item changed);

    template <class Archive>
    void serialize(Archive& archive) {
        archive(version_, items_);
    }

  private:
    configuration_version version_ = 0;
    std::map<item_key, item> items_;
};

class configuration_state_machine {
  public:
    /// Applies a committed change_command; a repeated identity gets its first result.
    change_result apply(std::string_view encoded_command);
    [[nodiscard]] std::string save() const;
    void restore(std::string_view state);
    [[nodiscard]] const configuration_view& view() const { return view_; }

    /// Identities remembered for resends.
    static constexpr std::size_t kept_results = 20'000;

  private:
    change_result apply_new(const change_command& command);
    void remember(const std::string& identity, const change_result& result);

    configuration_view view_;
    std::map<std::string, change_result> results_;
    std::deque<std::string> result_order_;
};

/// Why a body cannot be accepted whatever the state; empty when it can.
std::string validate(const change_command& command);

}  // namespace tallyfold::configuration
