#ifndef HYSSOPRAIL_CORE_RANDOM_HPP
#define HYSSOPRAIL_CORE_RANDOM_HPP

#include <cstdint>
#include <string>

#include <boost/random/mersenne_twister.hpp>

namespace hyssoprail {

/// Seeded random source, injected wherever a decision needs chance.
/// Not thread-safe: each shard owns one.
class RandomSource {
public:
  explicit RandomSource(std::uint64_t Seed) : Engine(Seed) {}

  /// Uniform integer in [0, Bound); \p Bound must not be 0.
  std::uint64_t below(std::uint64_t Bound);

  /// Uniform number in [0, 1).
  double unit();

  /// Exponentially distributed number with the given mean.
  double exponential(double Mean);

  /// Non-zero 64-bit identifier.
  std::uint64_t identifier();

private:
  boost::random::mt19937_64 Engine;
};

/// Returns a seed from the operating system.
std::uint64_t systemSeed();

/// Formats \p High and \p Low as 32 hexadecimal digits, the shape of a request
/// id.
std::string hexId(std::uint64_t High, std::uint64_t Low);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_RANDOM_HPP
