#include "tallyfold/plane/directory/configuration_proofs.hpp"

namespace tallyfold::directory {

namespace {

/// Maximum number of pending questions: about 3 s of them at one per 50 ms. Requests that wait for
/// an older one have timed out.
constexpr std::size_t max_open_questions = 64;
/// Maximum number of proofs for versions that are not held yet. While versions follow each other
/// quickly, several may be proved before they are fetched.
constexpr std::size_t max_pending_proofs = 16;

}  // namespace

std::uint64_t configuration_proofs::start_question(instant now) {
    question_times_[++last_question_] = now;
    if (question_times_.size() > max_open_questions) {
        question_times_.erase(question_times_.begin());
    }
    return last_question_;
}

void configuration_proofs::on_answer(const node_name& node, std::uint64_t question,
                                     routing::configuration_version version) {
    const auto asked = question_times_.find(question);
    if (asked == question_times_.end()) {
        return;
    }
    const configuration_proof proof{node, version, asked->second};
    question_times_.erase(asked);
    if (version <= held_version_) {
        keep_if_newer(proof);
        return;
    }
    pending_proofs_.push_back(proof);
    if (pending_proofs_.size() > max_pending_proofs) {
        pending_proofs_.pop_front();
    }
}

void configuration_proofs::set_held_version(routing::configuration_version version) {
    held_version_ = version;
    for (const configuration_proof& proof : pending_proofs_) {
        if (proof.version <= held_version_) {
            keep_if_newer(proof);
        }
    }
    std::erase_if(pending_proofs_,
                  [&](const configuration_proof& proof) { return proof.version <= held_version_; });
}

void configuration_proofs::keep_if_newer(const configuration_proof& proof) {
    if (proof.requested_at > newest_.requested_at) {
        newest_ = proof;
    }
}

}  // namespace tallyfold::directory
