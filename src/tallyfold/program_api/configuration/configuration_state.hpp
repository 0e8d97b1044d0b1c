#pragma once
/// @file
/// The configuration as a deterministic state machine, and the copy of it that nodes keep.

#include <deque>
#include <map>
#include <string>
#include <string_view>

#include "tallyfold/program_api/configuration/types.hpp"

namespace tallyfold::configuration {

/// Copy of the configuration at one version. Nodes update it by deltas only.
class configuration_view {
  public:
    [[nodiscard]] configuration_version version() const { return version_; }
    [[nodiscard]] const std::map<item_key, item>& items() const { return items_; }
    /// The item, or null when it doesn't exist or was removed.
    [[nodiscard]] const item* find(const item_key& key) const;
    [[nodiscard]] const tenant_settings* tenant(const std::string& name) const;
    [[nodiscard]] const class_settings* program_class(const std::string& name) const;
    [[nodiscard]] bool drained(const std::string& backend) const;

    /// Delta from version `base` to this version.
    [[nodiscard]] configuration_delta since(configuration_version base) const;
    /// Applies a delta. @return false, without a change, when the delta starts after this version
    /// or ends before it
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
    /// Applies a committed change_command; a repeated command identity returns the first result.
    change_result apply(std::string_view encoded_command);
    [[nodiscard]] std::string save() const;
    void restore(std::string_view state);
    [[nodiscard]] const configuration_view& view() const { return view_; }

    /// Number of recent command identities whose results are kept for resends.
    static constexpr std::size_t max_stored_results = 20'000;

  private:
    change_result apply_new(const change_command& command);
    void store_result(const std::string& identity, const change_result& result);

    configuration_view view_;
    std::map<std::string, change_result> results_;
    std::deque<std::string> result_order_;
};

/// Validates a command independently of the current state. @return the error, or empty
std::string validate(const change_command& command);

}  // namespace tallyfold::configuration
