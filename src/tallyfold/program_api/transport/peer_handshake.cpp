#include "tallyfold/program_api/transport/peer_handshake.hpp"

#include "tallyfold/base/protocol/binary_codec.hpp"

namespace tallyfold::net {

namespace {

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t nonce_bytes = 32;

/// First frame of the dialling side.
struct hello {
    std::uint32_t version = protocol_version;
    node_name node;
    std::string nonce;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(version, node, nonce);
    }
};

/// Reply of the accepting side, with its proof of the cluster key.
struct challenge {
    node_name node;
    std::string nonce;
    std::string proof;
    template <class Archive>
    void serialize(Archive& archive) {
        archive(node, nonce, proof);
    }
};

std::string proof_text(std::string_view side, const node_name& dialler, const node_name& acceptor,
                       const std::string& dialler_nonce, const std::string& acceptor_nonce) {
    std::string text(side);
    for (const std::string& part : {dialler, acceptor, dialler_nonce, acceptor_nonce}) {
        text += '\0';
        text += part;
    }
    return text;
}

}  // namespace

peer_handshake::peer_handshake(cluster_keys& keys, node_name self, node_name expected)
    : keys_(keys), self_(std::move(self)), peer_(std::move(expected)), dialled_(!peer_.empty()) {}

std::optional<std::string> peer_handshake::begin() {
    if (!dialled_) {
        return std::nullopt;
    }
    nonce_ = random_bytes(nonce_bytes);
    return protocol::encode(hello{protocol_version, self_, nonce_});
}

peer_handshake::progress peer_handshake::refuse(std::string reason) {
    return {std::nullopt, false, std::move(reason)};
}

peer_handshake::progress peer_handshake::receive(const std::string& payload) {
    if (dialled_) {
        return on_challenge(payload);
    }
    return nonce_.empty() ? on_hello(payload) : on_proof(payload);
}

peer_handshake::progress peer_handshake::on_hello(const std::string& payload) {
    const auto hello_message = protocol::decode<hello>(payload);
    if (!hello_message || hello_message->version != protocol_version ||
        hello_message->nonce.size() != nonce_bytes) {
        return refuse("malformed hello");
    }
    peer_ = hello_message->node;
    peer_nonce_ = hello_message->nonce;
    nonce_ = random_bytes(nonce_bytes);
    const auto proof = keys_.prove(proof_text("acceptor", peer_, self_, peer_nonce_, nonce_));
    if (!proof) {
        return refuse(proof.error().detail);
    }
    return {protocol::encode(challenge{self_, nonce_, *proof}), false, {}};
}

peer_handshake::progress peer_handshake::on_challenge(const std::string& payload) {
    const auto answer = protocol::decode<challenge>(payload);
    if (!answer || answer->nonce.size() != nonce_bytes || answer->node != peer_) {
        return refuse("malformed challenge or unexpected node");
    }
    const std::string acceptor_text = proof_text("acceptor", self_, peer_, nonce_, answer->nonce);
    if (!keys_.verify(acceptor_text, answer->proof)) {
        return refuse("wrong key");
    }
    const auto proof = keys_.prove(proof_text("dialler", self_, peer_, nonce_, answer->nonce));
    if (!proof) {
        return refuse(proof.error().detail);
    }
    return {*proof, true, {}};
}

peer_handshake::progress peer_handshake::on_proof(const std::string& payload) {
    if (!keys_.verify(proof_text("dialler", peer_, self_, peer_nonce_, nonce_), payload)) {
        return refuse("wrong key");
    }
    return {std::nullopt, true, {}};
}

}  // namespace tallyfold::net
