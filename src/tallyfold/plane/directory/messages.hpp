#pragma once
/// @file
/// Messages between the nodes of the directory, and between them and all other nodes.

#include <cstdint>
#include <string>
#include <vector>

#include "tallyfold/consensus/messages.hpp"
#include "tallyfold/plane/discovery/backend_failures.hpp"
#include "tallyfold/plane/discovery/types.hpp"
#include "tallyfold/plane/routing/configuration.hpp"
#include "tallyfold/plane/turns/types.hpp"

namespace tallyfold::directory {

/// What a store says of itself.
struct store_report {
    turns::store_member member;
    /// The newest map for which it holds a whole copy.
    turns::map_epoch copied_epoch = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(member, copied_epoch);
    }
};

/// Any node to a directory node: what it knows, so that the answer brings what is newer.
struct node_report {
    node_name node;
    /// The version that the node holds; none when it has no use for the configuration.
    routing::configuration_version configuration = routing::no_version;
    /// Of the table of store groups.
    turns::map_epoch stores = 0;
    /// One entry when the node is a store.
    std::vector<store_report> store;
    /// True when the node has a use for the list of back ends.
    bool wants_list = true;
    /// The list of back ends that the node holds.
    discovery::list_fingerprint list = 0;
    /// Time since some node saw it, in milliseconds.
    std::uint32_t list_age_ms = 0;
    /// True when the node wants a newer configuration whole in the answer. The first form alone
    /// tells; in later ones a node asks for the parts that it lacks.
    bool wants_configuration = false;
    /// Above 0 when the node wants to know whether it holds the newest configuration: comes back
    /// in an answer once the directory node has proof of that. Grows with each question of a node.
    std::uint64_t question = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, configuration, stores, store);
        if (archive.format() < protocol::format_version::v2) {
            // Without the question: who reads this form can't prove anything.
            archive(wants_configuration, wants_list, list, list_age_ms);
            return;
        }
        archive(wants_list, list, list_age_ms, question);
    }
};

/// A directory node's answer. Everything in it is committed.
struct node_report_answer {
    /// The version that this node holds; whoever holds an older one asks for it.
    routing::configuration_version configuration = routing::no_version;
    /// The configuration itself where the node that reported wants it whole: one entry at most, and
    /// in the first form alone.
    std::vector<routing::configuration_pointer> newer_configuration;
    std::vector<turns::store_table> newer_stores;
    /// Addresses ("ip:port") of the directory's nodes.
    std::vector<std::string> directory_addresses;
    /// The list of back ends as this node saw it; at most one entry. It isn't part of the log: any
    /// node's own sight is as good as another's.
    std::vector<discovery::list_sight> list;
    /// The question that is answered; 0 when nothing proves that this node holds the newest
    /// configuration. Otherwise nothing newer was in force when the question was asked.
    std::uint64_t question = 0;
    /// Address of the node that leads, as far as this one knows; empty for none.
    node_name leader;
    consensus::term_number term = 0;
    /// Back ends that have broken calls off lately.
    std::vector<discovery::relayed_failure> backend_failures;

    template <class Archive>
    void save(Archive& archive) const {
        if (archive.format() < protocol::format_version::v2) {
            archive(configuration, cereal::make_size_tag(newer_configuration.size()));
            for (const routing::configuration_pointer& newer : newer_configuration) {
                archive(*newer);
            }
            // The others are hints, or answer what the first form can't ask.
            archive(newer_stores, directory_addresses, list);
            return;
        }
        archive(configuration, newer_stores, directory_addresses, list, question, leader, term,
                backend_failures);
    }
    template <class Archive>
    void load(Archive& archive) {
        if (archive.format() < protocol::format_version::v2) {
            std::vector<routing::configuration> newer;
            archive(configuration, newer, newer_stores, directory_addresses, list);
            for (routing::configuration& each : newer) {
                newer_configuration.push_back(
                    std::make_shared<const routing::configuration>(std::move(each)));
            }
            return;
        }
        archive(configuration, newer_stores, directory_addresses, list, question, leader, term,
                backend_failures);
    }
};

/// A node asks a directory node for a newer configuration, or for the next part of one.
struct configuration_request {
    /// The version that the node holds.
    routing::configuration_version held = routing::no_version;
    /// True when a difference from that version is of no use.
    bool whole = false;
    /// The content of which the node has the first `offset` bytes; 0 for none.
    std::uint64_t content = 0;
    std::uint64_t offset = 0;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(held, whole, content, offset);
    }
};

/// A part of what leads from an older configuration to a newer one: a compressed
/// routing::configuration_change.
struct configuration_part {
    /// Tells contents apart: a digest of all its bytes.
    std::uint64_t content = 0;
    /// The version that it leads to; none when the directory node holds nothing newer.
    routing::configuration_version version = routing::no_version;
    /// Bytes of the whole content, and where this part begins.
    std::uint64_t size = 0;
    std::uint64_t offset = 0;
    std::string bytes;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(content, version, size, offset, bytes);
    }
};

/// A directory node that is no member asks to become one.
struct join_request {
    consensus::replica_id replica = consensus::no_replica;
    /// "ip:port" of the sender; also its name in the membership.
    node_name address;

    template <class Archive>
    void serialize(Archive& archive) {
        archive(replica, address);
    }
};

}  // namespace tallyfold::directory
