#include "tallyfold/plane/discovery/earlier_format_list.hpp"

namespace tallyfold::discovery {

void earlier_format_list::update_copy() {
    if (!list_.known()) {
        return;
    }
    if (list_.fingerprint() != copied_ || copy_.last_polled_at() < list_.last_polled_at()) {
        copied_ = list_.fingerprint();
        copy_.record_poll(list_.backends(), list_.last_polled_at());
    }
}

list_fingerprint earlier_format_list::fingerprint() {
    update_copy();
    return copy_.fingerprint();
}

std::vector<list_update> earlier_format_list::update_for(list_fingerprint held, duration held_age,
                                                         instant now) {
    update_copy();
    return copy_.update_for(held, held_age, now);
}

list_changes earlier_format_list::receive(const list_update& update, instant now) {
    update_copy();
    if (!copy_.apply_update(update, now)) {
        if (list_.known() && copy_.last_polled_at() > list_.last_polled_at()) {
            list_.confirm(copy_.last_polled_at());
        }
        return {};
    }
    const polled_list polled{copy_.backends(), {}, list_.pages()};
    const auto changes = list_.record_poll(polled, copy_.last_polled_at());
    copied_ = list_.fingerprint();
    return changes.value_or(list_changes{});
}

}  // namespace tallyfold::discovery
