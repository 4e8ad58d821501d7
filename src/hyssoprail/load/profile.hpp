#ifndef HYSSOPRAIL_LOAD_PROFILE_HPP
#define HYSSOPRAIL_LOAD_PROFILE_HPP

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::load {

/// Kinds of requests in a mix.
enum class RequestKind { Chat, Summary, StockCheck, Order };

constexpr std::array<EnumName<RequestKind>, 4> RequestKindNames{{
    {RequestKind::Chat, "chat"},
    {RequestKind::Summary, "summary"},
    {RequestKind::StockCheck, "stock_check"},
    {RequestKind::Order, "order"},
}};

/// Share of one kind in the mix of all accounts, and its sizes.
struct MixRow {
  RequestKind Kind = RequestKind::Chat;
  double Share = 0;           ///< of all requests
  unsigned PromptTokens = 0;  ///< mean
  unsigned OutputTokens = 0;  ///< mean of the maximum output
  unsigned TokensPerCall = 0; ///< tokens debited for a plain call
};

/// One client account of a profile.
struct AccountRow {
  std::string Name;
  double Share = 0;    ///< of the fleet's token capacity
  double Overload = 1; ///< offered load over the account's rate
};

/// A workload: who sends what against which fleet.
struct Profile {
  std::string Name;
  unsigned PrefillEngines = 0;
  unsigned DecodeEngines = 0;
  unsigned Services = 0;
  std::vector<MixRow> Mix;
  std::vector<AccountRow> Accounts;
};

/// Returns the profile called \p Name ("tayyara" or "randstein"), or null.
const Profile *profile(std::string_view Name);

/// Tokens that one request of \p Row is debited on average.
double meanTokens(const MixRow &Row);

/// Tokens per request over the whole mix.
double meanTokens(const Profile &P);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_PROFILE_HPP
