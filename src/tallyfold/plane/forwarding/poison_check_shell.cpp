#include "tallyfold/plane/forwarding/poison_check_shell.hpp"

#include "tallyfold/base/logging/event_log.hpp"
#include "tallyfold/plane/forwarding/request_identity.hpp"

namespace tallyfold::forwarding {

using poison::crash_history;
using poison::crash_table;

poison::content_key poison_check::content() {
    if (!content_) {
        content_ = content_key_of(request_);
    }
    return *content_;
}

bool poison_check::may_send() {
    if (ended_ >= poison::max_crashes) {
        return false;
    }
    const crash_table& crashes = context_.crashes.crashes();
    // Without crashes, no body is hashed.
    return crashes.empty() ||
           crashes.consecutive(content(), http::steady_now()) < poison::max_crashes;
}

local_answer poison_check::refuse(std::uint32_t sends) {
    const instant now = http::steady_now();
    const crash_history* crashes = context_.crashes.crashes().find(content(), now);
    const instant last = crashes != nullptr ? crashes->last() : now;
    std::string backends;
    if (crashes != nullptr) {
        for (const poison::crash& each : crashes->all()) {
            backends += (backends.empty() ? "" : ",") + each.backend;
        }
    }
    const std::string tenant = request_.tenant_name();
    context_.metrics.count_poison_refusal();
    logging::write_event(
        logging::event_id::poison_request_refused,
        "request=" + request_.facts.request + " content=" + poison::to_string(content()) +
            " route=" + request_.route.name + " tenant=" + (tenant.empty() ? "-" : tenant) +
            " ended=" + backends + " last_ms_ago=" + std::to_string(to_milliseconds(now - last)) +
            " sends=" + std::to_string(sends));
    return answer_to_poison_request(crash_table::lifetime - (now - last));
}

void poison_check::record_answer() {
    if (context_.crashes.record_answer(content())) {
        logging::write_event(logging::event_id::content_released,
                             "request=" + request_.facts.request +
                                 " content=" + poison::to_string(content()) + " reason=answered");
    }
}

}  // namespace tallyfold::forwarding
