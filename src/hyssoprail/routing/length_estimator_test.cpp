#include "hyssoprail/routing/length_estimator.hpp"

#include <cmath>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/normal_distribution.hpp>
#include <catch2/catch.hpp>

namespace hyssoprail::routing {

// Uses lengths and hints as callers send them (log-normal; standard deviation
// of the logarithm 0.6 for lengths and 0.5 for hint errors): the estimate must
// be closer to the actual length than the hint alone.
TEST_CASE("the estimate is closer to the length than the hint") {
  boost::random::mt19937 Random(7);
  boost::random::normal_distribution<double> Length(std::log(900), 0.6);
  boost::random::normal_distribution<double> Error(0, 0.5);
  LengthEstimator Lengths;
  double HintError = 0;
  double EstimateError = 0;
  constexpr std::uint32_t MaxOutput = 2'720;
  for (int I = 0; I < 2'000; ++I) {
    const double True = std::min<double>(MaxOutput, std::exp(Length(Random)));
    const auto Hint =
        static_cast<std::uint32_t>(True * std::exp(Error(Random)));
    const std::uint32_t Estimate = Lengths.estimate(Hint, MaxOutput);
    REQUIRE(Estimate <= MaxOutput);
    HintError += std::abs(std::min<double>(Hint, MaxOutput) - True);
    EstimateError += std::abs(Estimate - True);
    Lengths.record(static_cast<std::uint64_t>(True), Duration{0});
  }
  REQUIRE(EstimateError < HintError);
}

// Guards against an estimate of zero, which would reserve no memory.
TEST_CASE("a request without a hint gets the typical length") {
  LengthEstimator Lengths;
  const std::uint32_t Before = Lengths.estimate(0, 1'000);
  REQUIRE(Before > 0);
  for (int I = 0; I < 200; ++I)
    Lengths.record(800, std::chrono::seconds(4));
  REQUIRE(Lengths.estimate(0, 1'000) > Before);
  REQUIRE(Lengths.estimate(10, 0) == 0);
  REQUIRE(Lengths.generationTime(400) > milliseconds(1'950));
  REQUIRE(Lengths.generationTime(400) < milliseconds(2'050));
}

} // namespace hyssoprail::routing
