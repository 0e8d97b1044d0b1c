#include "stand_ins/answer_content.hpp"

#include "tallyfold/base/common/hash.hpp"

namespace tallyfold::stand_ins {

namespace {

constexpr std::uint64_t vocabulary_size = 10'000;

std::uint64_t call_hash(const program_id& program, sequence_number sequence) {
    return combine_hash(stable_hash(program), sequence);
}

}  // namespace

std::string completion_piece(const program_id& program, sequence_number sequence,
                             scheduling::prefix_hash history, std::uint64_t position) {
    const std::uint64_t seed = combine_hash(call_hash(program, sequence), history);
    return "w" + std::to_string(combine_hash(seed, position) % vocabulary_size) + " ";
}

std::string completion_text(const program_id& program, sequence_number sequence,
                            scheduling::prefix_hash history, std::uint64_t length) {
    std::string text;
    for (std::uint64_t position = 0; position < length; ++position) {
        text += completion_piece(program, sequence, history, position);
    }
    return text;
}

std::string service_answer(const program_id& program, sequence_number sequence,
                           const std::string& operation, const std::string& argument) {
    const std::uint64_t contents = stable_hash(operation + "\n" + argument);
    return operation + "#" + std::to_string(combine_hash(call_hash(program, sequence), contents));
}

}  // namespace tallyfold::stand_ins
