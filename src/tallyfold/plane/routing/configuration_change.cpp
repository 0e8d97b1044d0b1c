#include "tallyfold/plane/routing/configuration_change.hpp"

#include <algorithm>
#include <optional>
#include <unordered_map>

#include "tallyfold/base/common/hash.hpp"
#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::routing {

namespace {

/// Finds items of a list by value.
template <class Item>
class item_index {
  public:
    item_index(const std::vector<Item>& items, std::size_t first, std::size_t end) : items_(items) {
        for (std::size_t position = first; position < end; ++position) {
            positions_.emplace(stable_hash(protocol::encode(items[position])), position);
        }
    }

    [[nodiscard]] std::optional<std::size_t> find(const Item& wanted) const {
        const auto found = positions_.find(stable_hash(protocol::encode(wanted)));
        if (found == positions_.end() || !(items_[found->second] == wanted)) {
            return std::nullopt;
        }
        return found->second;
    }

  private:
    const std::vector<Item>& items_;
    std::unordered_map<std::uint64_t, std::size_t> positions_;
};

/// Appends the older list's item at `position` to a change.
template <class Item>
void append_base_item(list_change<Item>& change, std::size_t position) {
    const auto place = static_cast<std::uint32_t>(position);
    if (!change.runs.empty()) {
        auto& last = change.runs.back();
        if (last.then.empty() && last.first + last.count == place) {
            ++last.count;
            return;
        }
    }
    change.runs.push_back({place, 1, {}});
}

template <class Item>
void append_new_item(list_change<Item>& change, const Item& item) {
    if (change.runs.empty()) {
        change.runs.emplace_back();
    }
    change.runs.back().then.push_back(item);
}

/// Compares the common beginning and end of both lists in place; only the items in between are
/// looked up in an index.
template <class Item>
list_change<Item> difference(const std::vector<Item>& from, const std::vector<Item>& to) {
    const std::size_t shorter = std::min(from.size(), to.size());
    std::size_t head = 0;
    while (head < shorter && from[head] == to[head]) {
        ++head;
    }
    std::size_t tail = 0;
    while (tail < shorter - head && from[from.size() - 1 - tail] == to[to.size() - 1 - tail]) {
        ++tail;
    }
    list_change<Item> change;
    for (std::size_t position = 0; position < head; ++position) {
        append_base_item(change, position);
    }
    const item_index<Item> middle_index(from, head, from.size() - tail);
    for (std::size_t position = head; position < to.size() - tail; ++position) {
        if (const auto found = middle_index.find(to[position])) {
            append_base_item(change, *found);
        } else {
            append_new_item(change, to[position]);
        }
    }
    for (std::size_t position = from.size() - tail; position < from.size(); ++position) {
        append_base_item(change, position);
    }
    return change;
}

/// @return false when the change refers to items that `base` does not have
template <class Item>
bool apply(const list_change<Item>& change, const std::vector<Item>& base,
           std::vector<Item>& result) {
    for (const auto& run : change.runs) {
        if (run.first > base.size() || run.count > base.size() - run.first) {
            return false;
        }
        const auto first = base.begin() + run.first;
        result.insert(result.end(), first, first + run.count);
        result.insert(result.end(), run.then.begin(), run.then.end());
    }
    return true;
}

}  // namespace

std::uint64_t digest_of(const configuration& whole) {
    return stable_hash(protocol::encode(whole));
}

configuration_change difference(const configuration& from, const configuration& to) {
    configuration_change change;
    change.base = from.version;
    change.version = to.version;
    change.routes = difference(from.routes, to.routes);
    change.services = difference(from.services, to.services);
    change.tenants = difference(from.tenants, to.tenants);
    change.limits = to.limits;
    change.digest = digest_of(to);
    return change;
}

tl::expected<configuration, change_failure> apply(const configuration_change& change,
                                                  const configuration& base) {
    if (change.base != base.version) {
        return tl::unexpected(change_failure::base_mismatch);
    }
    configuration result;
    result.version = change.version;
    result.limits = change.limits;
    const bool complete = apply(change.routes, base.routes, result.routes) &&
                          apply(change.services, base.services, result.services) &&
                          apply(change.tenants, base.tenants, result.tenants);
    if (!complete || digest_of(result) != change.digest) {
        return tl::unexpected(change_failure::result_mismatch);
    }
    return result;
}

}  // namespace tallyfold::routing
