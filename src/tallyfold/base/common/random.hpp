#pragma once
/// @file
/// Seeded pseudo-random number generator (splitmix64) with the same sequence on every platform.
/// Each object that needs random numbers owns an instance.

#include <cstdint>

namespace tallyfold {

class random_source {
  public:
    explicit random_source(std::uint64_t seed) : state_(seed) {}

    /// Next 64 uniformly distributed bits.
    std::uint64_t next() {
        state_ += 0x9e3779b97f4a7c15ULL;
        std::uint64_t mixed = state_;
        mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
        mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
        return mixed ^ (mixed >> 31U);
    }

    /// Integer in [0, bound); 0 when `bound` is 0.
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : next() % bound; }

    /// Integer in [low, high].
    std::int64_t between(std::int64_t low, std::int64_t high) {
        return low + static_cast<std::int64_t>(below(static_cast<std::uint64_t>(high - low) + 1));
    }

    /// Real number in [0, 1).
    double unit() { return static_cast<double>(next() >> 11U) * 0x1.0p-53; }

    /// True with probability `probability`.
    bool chance(double probability) { return unit() < probability; }

  private:
    std::uint64_t state_;
};

}  // namespace tallyfold
