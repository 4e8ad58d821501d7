#ifndef HYSSOPRAIL_CORE_RANDOM_HPP
#define HYSSOPRAIL_CORE_RANDOM_HPP

#include <cstdint>
#include <string>

#include <boost/random/mersenne_twister.hpp>

namespace hyssoprail {

/// Seeded random number generator, injected wherever a decision is randomized.
/// Not thread-safe: each shard owns one.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : Engine(Seed) {}

  /// Returns a uniform integer in [0, Bound); \p Bound must not be 0.
  std::uint64_t below(std::uint64_t Bound);

  /// Returns a uniform number in [0, 1).
  double unit();

  /// Returns an exponentially distributed number with the given mean.
  double exponential(double Mean);

  /// Returns a non-zero 64-bit identifier.
  std::uint64_t identifier();

private:
  boost::random::mt19937_64 Engine;
};

/// Returns a seed from the operating system.
std::uint64_t systemSeed();

/// Formats \p High and \p Low as 32 hexadecimal digits, the format of request
/// ids.
std::string hexId(std::uint64_t High, std::uint64_t Low);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_RANDOM_HPP
