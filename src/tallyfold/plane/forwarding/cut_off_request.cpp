#include "tallyfold/plane/forwarding/cut_off_request.hpp"

namespace tallyfold::forwarding {

std::string render_cut_off_request(const cut_off_request& pending) {
    return "request=" + pending.request +
           " age_ms=" + std::to_string(to_milliseconds(pending.age)) +
           " sends=" + std::to_string(pending.sends) +
           " attempt=" + (pending.attempt_open ? "open" : "none") +
           " answer=" + (pending.answer_started ? "started" : "none") +
           " end=" + text_of(pending.decision);
}

}  // namespace tallyfold::forwarding
