#ifndef HYSSOPRAIL_ROUTING_USABLE_TOTAL_HPP
#define HYSSOPRAIL_ROUTING_USABLE_TOTAL_HPP

#include <cmath>

namespace hyssoprail::routing {

/// True if a peer can have granted or owe \p Tokens. Other numbers are ignored:
/// sums and differences of larger ones overflow, and an account with an
/// infinite debt gets nothing any more.
inline bool isUsableTotal(double Tokens) {
  constexpr double MaxTokens = 1e15; // up to here a double counts single tokens
  return std::isfinite(Tokens) && std::abs(Tokens) <= MaxTokens;
}

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_USABLE_TOTAL_HPP
