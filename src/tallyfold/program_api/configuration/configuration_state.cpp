#include "tallyfold/program_api/configuration/configuration_state.hpp"

#include <cereal/types/deque.hpp>

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::configuration {

namespace {

constexpr std::size_t max_name_length = 128;
constexpr double max_weight = 1e6;

struct saved_state {
    configuration_view view;
    std::map<std::string, change_result> results;
    std::deque<std::string> order;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(view, results, order);
    }
};

}  // namespace

std::string_view to_string(item_kind kind) {
    switch (kind) {
        case item_kind::tenant:
            return "tenant";
        case item_kind::program_class:
            return "class";
        case item_kind::policy:
            return "policy";
        case item_kind::drain:
            return "drain";
    }
    return "invalid";
}

std::string_view to_string(change_status status) {
    switch (status) {
        case change_status::accepted:
            return "accepted";
        case change_status::version_conflict:
            return "version_conflict";
        case change_status::invalid:
            return "invalid";
    }
    return "invalid";
}

const item* configuration_view::find(const item_key& key) const {
    const auto found = items_.find(key);
    return found == items_.end() || found->second.removed ? nullptr : &found->second;
}

const tenant_settings* configuration_view::tenant(const std::string& name) const {
    const item* found = find({item_kind::tenant, name});
    return found == nullptr ? nullptr : std::get_if<tenant_settings>(&found->body);
}

const class_settings* configuration_view::program_class(const std::string& name) const {
    const item* found = find({item_kind::program_class, name});
    return found == nullptr ? nullptr : std::get_if<class_settings>(&found->body);
}

bool configuration_view::drained(const std::string& backend) const {
    return find({item_kind::drain, backend}) != nullptr;
}

configuration_delta configuration_view::since(configuration_version base) const {
    configuration_delta delta;
    delta.base = base;
    delta.version = version_;
    for (const auto& [key, candidate] : items_) {
        if (candidate.changed_at > base) {
            delta.items.push_back(candidate);
        }
    }
    return delta;
}

bool configuration_view::advance(const configuration_delta& delta) {
    if (delta.base > version_ || delta.version < version_) {
        return false;
    }
    for (const item& changed : delta.items) {
        const auto found = items_.find(changed.key);
        if (found == items_.end() || found->second.changed_at < changed.changed_at) {
            items_[changed.key] = changed;
        }
    }
    version_ = delta.version;
    return true;
}

void configuration_view::put(item changed) {
    version_ = changed.changed_at;
    items_[changed.key] = std::move(changed);
}

std::string validate(const change_command& command) {
    if (command.command_identity.empty() || command.command_identity.size() > max_name_length) {
        return "command_identity must have 1 to 128 characters";
    }
    if (command.key.name.empty() || command.key.name.size() > max_name_length) {
        return "the item's name must have 1 to 128 characters";
    }
    if (static_cast<std::size_t>(command.key.kind) != command.body.index()) {
        return "the body does not fit the item's kind";
    }
    if (const auto* tenant = std::get_if<tenant_settings>(&command.body)) {
        if (!(tenant->weight > 0.0) || tenant->weight > max_weight) {
            return "weight must be above 0 and at most 1000000";
        }
        if (tenant->queue_limit == 0) {
            return "queue_limit must be at least 1";
        }
    }
    if (const auto* settings = std::get_if<class_settings>(&command.body)) {
        if (settings->budget_limit == 0 || settings->turn_limit == 0 ||
            settings->queue_limit == 0) {
            return "budget_limit, turn_limit and queue_limit must be at least 1";
        }
        if (!(settings->retry_ratio >= 0.0) || settings->retry_ratio > 1.0) {
            return "retry_ratio must lie between 0 and 1";
        }
    }
    return {};
}

change_result configuration_state_machine::apply(std::string_view encoded_command) {
    const auto command = protocol::decode<change_command>(encoded_command);
    if (!command) {
        return {change_status::invalid, 0, view_.version(), command.error().reason};
    }
    const auto known = results_.find(command->command_identity);
    if (known != results_.end()) {
        return known->second;
    }
    change_result result = apply_new(*command);
    store_result(command->command_identity, result);
    return result;
}

change_result configuration_state_machine::apply_new(const change_command& command) {
    if (std::string reason = validate(command); !reason.empty()) {
        return {change_status::invalid, 0, view_.version(), std::move(reason)};
    }
    const auto found = view_.items().find(command.key);
    const std::uint64_t current = found == view_.items().end() ? 0 : found->second.version;
    if (command.expected_version != current) {
        return {change_status::version_conflict, current, view_.version(),
                "made from version " + std::to_string(command.expected_version) +
                    ", but the item is at version " + std::to_string(current) +
                    "; read it again and resubmit"};
    }
    item changed{command.key, current + 1, view_.version() + 1, command.remove, command.body};
    view_.put(std::move(changed));
    return {change_status::accepted, current + 1, view_.version(), {}};
}

void configuration_state_machine::store_result(const std::string& identity,
                                               const change_result& result) {
    results_[identity] = result;
    result_order_.push_back(identity);
    if (result_order_.size() > max_stored_results) {
        results_.erase(result_order_.front());
        result_order_.pop_front();
    }
}

std::string configuration_state_machine::save() const {
    return protocol::encode(saved_state{view_, results_, result_order_});
}

void configuration_state_machine::restore(std::string_view state) {
    auto saved = protocol::decode<saved_state>(state).value_or(saved_state{});
    view_ = std::move(saved.view);
    results_ = std::move(saved.results);
    result_order_ = std::move(saved.order);
}

}  // namespace tallyfold::configuration
