#include "hyssoprail/core/random.hpp"

#include <random>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

namespace hyssoprail {

std::uint64_t RandomSource::below(std::uint64_t Bound) {
  boost::random::uniform_int_distribution<std::uint64_t> Distribution(0, Bound -
                                                                             1);
  return Distribution(Engine);
}

double RandomSource::unit() {
  boost::random::uniform_01<double> Distribution;
  return Distribution(Engine);
}

double RandomSource::exponential(double Mean) {
  boost::random::exponential_distribution<double> Distribution(1.0 / Mean);
  return Distribution(Engine);
}

std::uint64_t RandomSource::identifier() {
  std::uint64_t Id = 0;
  while (Id == 0)
    Id = Engine();
  return Id;
}

std::uint64_t systemSeed() {
  std::random_device Device;
  return (static_cast<std::uint64_t>(Device()) << 32) | Device();
}

std::string hexId(std::uint64_t High, std::uint64_t Low) {
  return fmt::format("{:016x}{:016x}", High, Low);
}

} // namespace hyssoprail
