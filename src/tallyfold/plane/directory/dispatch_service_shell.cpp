#include "tallyfold/plane/directory/dispatch_service_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/http/connection_shell.hpp"

namespace tallyfold::directory {

namespace {

/// Interval of the lines and gauges of room, and shortest time between two bounded lines.
constexpr duration line_interval = std::chrono::seconds(1);

}  // namespace

dispatch_service::dispatch_service(net::node_process& process, const backend_list_sharing& list,
                                   const std::unique_ptr<directory_core>& core)
    : process_(process), list_(list), core_(core), metrics_(process.metrics()) {}

dispatch_service::service_engines dispatch_service::engines_of(
    const routing::service& service, const std::set<std::string>& evacuated) const {
    service_engines engines;
    engines.cache_tokens = service.cache_tokens;
    std::vector<scheduling::backend_member> members;
    std::vector<backend_name> names;
    for (const discovery::listed_backend& backend : list_.list().backends()) {
        if (backend.service == service.name) {
            members.push_back(backend.member);
            members.back().leaving =
                backend.member.leaving || evacuated.contains(backend.member.zone);
            names.push_back(backend.member.name);
        }
    }
    engines.groups.resize(dispatch::group_count(members.size()));
    const std::vector<dispatch::group_index> assigned = dispatch::assign_groups(names);
    for (std::size_t position = 0; position < members.size(); ++position) {
        engines.group_of[names[position]] = assigned[position];
        engines.groups[assigned[position]].push_back(std::move(members[position]));
    }
    return engines;
}

void dispatch_service::follow_list() {
    const auto& configuration = core_->state().configuration();
    const evacuation_status evacuations = core_->evacuations();
    const discovery::list_fingerprint fingerprint = list_.list().fingerprint();
    const bool unchanged = fingerprint == list_in_use_ &&
                           evacuations.revision == evacuations_in_use_ &&
                           configuration.version == configuration_in_use_;
    if (unchanged || !list_.list().known()) {
        return;
    }
    list_in_use_ = fingerprint;
    evacuations_in_use_ = evacuations.revision;
    configuration_in_use_ = configuration.version;
    const std::set<std::string> evacuated(evacuations.zones.begin(), evacuations.zones.end());
    services_.clear();
    for (const routing::service& service : configuration.services) {
        if (service.is_engine) {
            services_[service.name] = engines_of(service, evacuated);
        }
    }
    for (auto& [group, dispatcher] : dispatchers_) {
        update_dispatcher(group, dispatcher);
    }
}

void dispatch_service::update_dispatcher(const dispatch::engine_group& group,
                                         dispatch::dispatcher& target) {
    const auto service = services_.find(group.service);
    const bool exists = service != services_.end() && group.index < service->second.groups.size();
    if (exists) {
        target.set_engines(service->second.groups[group.index], service->second.cache_tokens);
    } else {
        target.set_engines({}, 0);
    }
}

dispatch::dispatcher* dispatch_service::dispatcher_for(const dispatch::engine_group& group) {
    const auto found = dispatchers_.find(group);
    if (found != dispatchers_.end()) {
        return &found->second;
    }
    const auto service = services_.find(group.service);
    if (service == services_.end() || group.index >= service->second.groups.size()) {
        return nullptr;
    }
    const settings::disabled_mechanisms& off = process_.settings().disabled;
    dispatch::dispatcher_settings settings;
    settings.queue.refuses = !off.contains(settings::mechanism::dispatch_refusal);
    settings.queue.shares = !off.contains(settings::mechanism::dispatch_shares);
    settings.learns_speed = !off.contains(settings::mechanism::engine_speed);
    dispatch::dispatcher& created = dispatchers_.try_emplace(group, settings).first->second;
    update_dispatcher(group, created);
    return &created;
}

std::vector<dispatch::engine_group> dispatch_service::groups_of_call(
    const dispatch::place_release& release, const dispatch::released_call& call) const {
    const auto known = services_.find(call.service);
    if (known != services_.end()) {
        const auto group = known->second.group_of.find(call.engine);
        if (group != known->second.group_of.end()) {
            return {{call.service, group->second}};
        }
    }
    // Without an engine the call may be known to any dispatcher of the service. The others must not
    // get the message: the work of a withdrawn call would grow with the number of groups, and each
    // of them would take the sender for a present process of its node.
    std::vector<dispatch::engine_group> groups;
    for (const auto& [group, dispatcher] : dispatchers_) {
        const bool matches = call.service.empty() || group.service == call.service;
        if (matches && dispatcher.knows_call(release.node, release.process_id, call.call)) {
            groups.push_back(group);
        }
    }
    return groups;
}

void dispatch_service::receive(const messaging::channel_pointer& channel,
                               const dispatch::place_request& request, instant now) {
    follow_list();
    channels_[request.node] = channel;
    const auto service = services_.find(request.service);
    const auto groups = static_cast<dispatch::group_index>(
        service == services_.end() ? 1 : service->second.groups.size());
    const std::uint64_t key = request.program != 0 ? request.program : request.call;
    const dispatch::engine_group group{request.service, dispatch::group_of_program(key, groups)};
    dispatch::dispatcher* target = dispatcher_for(group);
    if (target == nullptr) {
        dispatch::place_answer answer;
        answer.process_id = request.process_id;
        answer.call = request.call;
        send({{request.node, answer}});
        return;
    }
    const auto answers = target->request(request, now);
    for (const dispatch::addressed_answer& each : answers) {
        if (each.answer.outcome == dispatch::place_outcome::refused) {
            metrics_.record_refused_tenant(request.tenant);
        }
    }
    note_fault(request.node, target->last_fault());
    send(answers);
}

void dispatch_service::receive(const messaging::channel_pointer& channel,
                               const dispatch::place_release& release, instant now) {
    follow_list();
    channels_[release.node] = channel;
    std::map<dispatch::engine_group, dispatch::place_release> parts;
    for (const dispatch::released_call& call : release.calls) {
        for (const dispatch::engine_group& group : groups_of_call(release, call)) {
            dispatch::place_release& part = parts[group];
            part.node = release.node;
            part.process_id = release.process_id;
            part.calls.push_back(call);
        }
    }
    for (const auto& [group, part] : parts) {
        if (dispatch::dispatcher* target = dispatcher_for(group)) {
            const auto answers = target->release(part, now);
            note_fault(release.node, target->last_fault());
            send(answers);
        }
    }
}

void dispatch_service::receive(const messaging::channel_pointer& channel,
                               const dispatch::place_renewal& renewal, instant now) {
    follow_list();
    channels_[renewal.node] = channel;
    std::map<dispatch::engine_group, dispatch::place_renewal> parts;
    for (const dispatch::running_call& call : renewal.calls) {
        const auto service = services_.find(call.service);
        if (service == services_.end() || !service->second.group_of.contains(call.engine)) {
            note_fault(renewal.node, dispatch::message_fault::unknown_engine);
            continue;
        }
        dispatch::place_renewal& part =
            parts[{call.service, service->second.group_of.at(call.engine)}];
        part.node = renewal.node;
        part.process_id = renewal.process_id;
        part.calls.push_back(call);
    }
    for (const auto& [group, part] : parts) {
        if (dispatch::dispatcher* target = dispatcher_for(group)) {
            target->renew(part, now);
            note_fault(renewal.node, target->last_fault());
        }
    }
}

void dispatch_service::send(const std::vector<dispatch::addressed_answer>& answers) {
    for (const dispatch::addressed_answer& each : answers) {
        record(each);
        const auto known = channels_.find(each.node);
        const auto channel = known == channels_.end() ? nullptr : known->second.lock();
        if (channel) {
            channel->send(each.answer);
        }
    }
}

void dispatch_service::record(const dispatch::addressed_answer& addressed) {
    metrics_.record(addressed.answer);
    if (addressed.answer.reason == dispatch::place_reason::longest_wait_reached) {
        ++forced_.count;
        forced_.fields = "engine=" + addressed.answer.engine +
                         " waited_ms=" + std::to_string(addressed.answer.waited_ms);
    }
}

void dispatch_service::note_fault(const node_name& from, dispatch::message_fault fault) {
    if (fault != dispatch::message_fault::none) {
        ++ignored_.count;
        ignored_.fields = "peer=" + from + " reason=" + dispatch::text_of(fault);
    }
}

void dispatch_service::write_bounded(bounded_line& line, logging::event_id id, instant now) {
    if (line.count > 0 && now - line.written_at >= line_interval) {
        logging::write_event(id, line.fields + " count=" + std::to_string(line.count));
        line.count = 0;
        line.written_at = now;
    }
}

void dispatch_service::write_room(instant now) {
    for (auto& [group, dispatcher] : dispatchers_) {
        const dispatch::group_room& room = dispatcher.room();
        metrics_.set_room(group, room, dispatcher.waiting());
        const dispatch::dispatch_counters counters = dispatcher.take_counters();
        if (counters.waited == 0 && counters.refused == 0 && dispatcher.waiting() == 0) {
            continue;
        }
        logging::write_event(
            logging::event_id::engine_room,
            "service=" + group.service + " group=" + std::to_string(group.index) + " running=" +
                std::to_string(room.running) + " slots=" + std::to_string(room.slots) +
                " waiting=" + std::to_string(dispatcher.waiting()) +
                " wait_ms=" + std::to_string(to_milliseconds(dispatcher.longest_wait(now))) +
                " refused=" + std::to_string(counters.refused) + " granted=" +
                std::to_string(counters.granted) + " waited=" + std::to_string(counters.waited) +
                " expired=" + std::to_string(counters.expired));
    }
}

void dispatch_service::tick(instant now) {
    if (!core_) {
        return;
    }
    follow_list();
    for (auto& [group, dispatcher] : dispatchers_) {
        send(dispatcher.tick(now));
    }
    write_bounded(forced_, logging::event_id::place_forced, now);
    write_bounded(ignored_, logging::event_id::place_message_ignored, now);
    if (now - room_written_at_ >= line_interval) {
        room_written_at_ = now;
        write_room(now);
        std::erase_if(dispatchers_, [&](const auto& entry) { return entry.second.idle(now); });
        std::erase_if(channels_, [](const auto& entry) { return entry.second.expired(); });
    }
}

}  // namespace tallyfold::directory
