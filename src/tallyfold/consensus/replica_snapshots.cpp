/// @file
/// Members of replica_fsm for snapshots: installing one from the leader, and log compaction.

#include "tallyfold/consensus/replica_fsm.hpp"

namespace tallyfold::consensus {

void replica_fsm::on_snapshot_request(const replica_message& message, const snapshot_request& body,
                                      instant now) {
    if (message.term < state_.term) {
        send(message.from, append_reply{false, log_.last_index(), body.round}, true);
        return;
    }
    accept_leader(message, now);
    if (body.contents.index <= commit_index_) {
        send(message.from, append_reply{true, commit_index_, body.round}, true);
        return;
    }
    log_.reset(body.contents.index, body.contents.term);
    memberships_ = {{body.contents.index, body.contents.members}};
    commit_index_ = body.contents.index;
    persisted_index_ = body.contents.index;
    first_unsaved_index_.reset();
    latest_snapshot_ = body.contents;
    ready_.received_snapshot = body.contents;
    ready_.committed.clear();
    confirm_follower_reads();
    send(message.from, append_reply{true, body.contents.index, body.round}, true);
}

void replica_fsm::compacted(log_index index) {
    const std::optional<term_number> term = log_.term_at(index);
    if (!term.has_value() || index > commit_index_) {
        return;
    }
    log_.compact(index, *term);
    while (memberships_.size() > 1 && memberships_[1].index <= index) {
        memberships_.erase(memberships_.begin());
    }
}

}  // namespace tallyfold::consensus
