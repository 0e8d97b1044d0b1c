#pragma once
/// @file
/// The handshake of two nodes: each proves that it holds a cluster key, over a nonce of the
/// other's, before any message passes. No sockets: payloads of frames in, payloads out.
///
/// The dialling side sends a hello with its nonce, the accepting side answers with its own nonce
/// and its proof, the dialling side ends with its proof. Both proofs name both nodes and both
/// nonces.

#include <optional>
#include <string>

#include "tallyfold/base/common/types.hpp"
#include "tallyfold/program_api/transport/cluster_keys.hpp"

namespace tallyfold::net {

class peer_handshake {
  public:
    struct progress {
        /// Payload of a frame that goes to the peer.
        std::optional<std::string> send;
        /// Both sides have proved themselves; what is to be sent goes out first.
        bool ready = false;
        /// Why the peer is refused; empty when it isn't.
        std::string refusal;
    };

    /// @param self this node's name. @param expected the peer's, when this side dials; empty for
    /// the accepting side, which learns it
    peer_handshake(cluster_keys& keys, node_name self, node_name expected);

    /// The first payload that goes out; nothing for the accepting side.
    std::optional<std::string> begin();
    /// Takes the payload of the peer's next frame.
    progress receive(const std::string& payload);

    /// The peer; empty until it has named itself.
    [[nodiscard]] const node_name& peer() const { return peer_; }

  private:
    progress on_hello(const std::string& payload);
    progress on_challenge(const std::string& payload);
    progress on_proof(const std::string& payload);
    static progress refuse(std::string reason);

    cluster_keys& keys_;
    node_name self_;
    node_name peer_;
    bool dialled_;
    std::string nonce_;
    std::string peer_nonce_;
};

}  // namespace tallyfold::net
