#include "tallyfold/plane/directory/report_service_shell.hpp"

namespace tallyfold::directory {

report_service::report_service(directory_metrics& metrics, backend_list_sharing& list,
                               propagation_monitor& propagation)
    : metrics_(metrics), list_(list), propagation_(propagation) {}

void report_service::answer(directory_core& core, const messaging::channel_pointer& channel,
                            const node_report& report) {
    const instant now = http::steady_now();
    node_report_answer answer = core.receive(report, now, channel->peer_format());
    propagation_.on_report(report, now);
    answer.backend_failures = failures_.recent(now);
    const bool fetches_list = channel->peer_format() >= protocol::format_version::v3;
    if (!fetches_list) {
        answer.list = list_.changes_for(report, now);
    }
    channel->send(answer);
    if (fetches_list && report.wants_list) {
        channel->send(list_.status(active_nodes_, now));
        send_evacuations(core, channel);
    }
    if (report.question != 0) {
        const request_token token = next_question_++;
        questions_[token] = {channel, report};
        core.prove(token, now);
    }
}

void report_service::answer(directory_core& core, const messaging::channel_pointer& channel,
                            const configuration_request& request) {
    const configuration_part part = core.receive(request);
    metrics_.parts_sent.Increment();
    metrics_.part_bytes_sent.Increment(static_cast<double>(part.bytes.size()));
    channel->send(part);
}

void report_service::send_evacuations(const directory_core& core,
                                      const messaging::channel_pointer& channel) {
    const evacuation_status status = core.evacuations();
    if (status.revision != 0) {
        channel->send(status);
    }
}

void report_service::answer(const messaging::channel_pointer& channel,
                            const discovery::list_request& request) {
    const discovery::list_part part = list_.answer(request, http::steady_now());
    metrics_.list_parts_sent.Increment();
    metrics_.list_part_bytes_sent.Increment(static_cast<double>(part.bytes.size()));
    channel->send(part);
}

void report_service::record_failure(const discovery::failure_report& report) {
    failures_.add(report.backend, http::steady_now());
}

void report_service::on_proof(const directory_core& core, const directory_proof& proof) {
    const auto found = questions_.find(proof.token);
    if (found == questions_.end()) {
        return;
    }
    const messaging::channel_pointer channel = found->second.channel.lock();
    if (proof.proved && channel) {
        node_report_answer answer = core.answer_to(found->second.report);
        answer.question = found->second.report.question;
        channel->send(answer);
        metrics_.proofs_given.Increment();
    }
    questions_.erase(found);
}

}  // namespace tallyfold::directory
