#ifndef HYSSOPRAIL_LOAD_ARRIVALS_HPP
#define HYSSOPRAIL_LOAD_ARRIVALS_HPP

#include <chrono>
#include <cstdint>
#include <vector>

#include "hyssoprail/load/profile.hpp"

namespace hyssoprail::load {

/// One request of a plan.
struct Arrival {
  std::chrono::microseconds At{0}; ///< after the start of the run
  std::size_t Account = 0;         ///< index in the profile
  RequestKind Kind = RequestKind::Chat;
  unsigned PromptTokens = 0;
  unsigned MaxTokens = 0;
  unsigned Tokens = 0;     ///< debited: prompt and maximum output, or per call
  bool WithinRate = false; ///< a single bucket for the account would admit it
  std::uint64_t Serial = 0;
};

/// Rate and burst of one account.
struct AccountLimit {
  double Rate = 0;  ///< tokens per second
  double Burst = 0; ///< tokens
};

/// Draws an open-loop plan: Poisson arrivals per account, sizes spread
/// exponentially around the means of the mix. \p RequestsPerSecond is the load
/// of all accounts at overload 1. The same seed gives the same plan.
std::vector<Arrival> makePlan(const Profile &P, double RequestsPerSecond,
                              std::chrono::milliseconds Length,
                              const std::vector<AccountLimit> &Limits,
                              std::uint64_t Seed);

/// Returns the limits that entitle each account to its share of
/// \p RequestsPerSecond times \p Headroom, with a burst of \p BurstSeconds of
/// its rate.
std::vector<AccountLimit> entitlements(const Profile &P,
                                       double RequestsPerSecond,
                                       double Headroom, double BurstSeconds);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_ARRIVALS_HPP
