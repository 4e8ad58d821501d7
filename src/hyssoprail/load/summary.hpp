#ifndef HYSSOPRAIL_LOAD_SUMMARY_HPP
#define HYSSOPRAIL_LOAD_SUMMARY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "hyssoprail/load/sample.hpp"

namespace hyssoprail::load {

/// Latency targets for goodput.
struct Targets {
  std::chrono::microseconds FirstToken{890'000};
  std::chrono::microseconds BetweenTokens{37'000};
  std::chrono::microseconds Call{500'000}; ///< whole answer of a plain call
};

/// Tokens that the prefill engines computed and those that were decoded.
struct PrefillCounters {
  std::uint64_t ComputedTokens = 0;
  std::uint64_t UsedTokens = 0;
  std::uint64_t EngineCrashes = 0;
};

/// What one account got.
struct AccountSummary {
  std::string Name;
  std::size_t Offered = 0;
  std::size_t Complete = 0;
  double OfferedTokens = 0;
  double ServedTokens = 0;
  double EntitledTokens = 0; ///< that a single ideal bucket would admit
  /// Served over entitled, at most 1.
  double Share = 1;
};

/// The measures of one run.
struct Summary {
  std::string Label;
  double Seconds = 0;
  std::size_t Requests = 0;
  std::map<std::string, std::size_t> Outcomes;
  std::map<std::string, std::size_t> ErrorCodes;
  double Goodput = 0;         ///< requests/s that met their targets
  double Throughput = 0;      ///< complete requests/s
  double WastedPrefill = 0;   ///< share of computed prefill tokens
  double WorstServed = 1;     ///< smallest share of an account
  std::size_t WithinRate = 0; ///< requests of accounts that kept to their rate
  std::size_t WithinRateRefused = 0;
  double FirstTokenP50Ms = 0;
  double FirstTokenP95Ms = 0;
  double FirstTokenP99Ms = 0;
  double BetweenTokensP50Ms = 0;
  double BetweenTokensP95Ms = 0;
  double CallP50Ms = 0;
  double CallP99Ms = 0;
  std::uint64_t EngineCrashes = 0;
  std::vector<AccountSummary> Accounts;
  std::vector<double> GoodputPerSecond; ///< by second of sending
  std::vector<double> OfferedPerSecond;
};

/// Works out the measures. Refusals within the rate are counted for accounts
/// whose whole offered load fits their rate and burst; for an account that
/// sends more, which of its requests are within the rate depends on the order
/// of arrival at the limit.
Summary summarize(std::string Label, const Profile &P,
                  std::chrono::milliseconds Length,
                  const std::vector<Sample> &Samples, const Targets &T,
                  const PrefillCounters &Prefill);

/// True if the sample met the targets of its kind.
bool metTargets(const Sample &S, const Targets &T);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_SUMMARY_HPP
