#include "hyssoprail/load/profile.hpp"

namespace hyssoprail::load {
namespace {

/// Twelve assistant workers and three ordering workers each. Prompt and output
/// sizes are reduced so that a run of tens of seconds on one machine holds
/// thousands of requests; the ratios between kinds are those of the users.
const std::vector<Profile> &profiles() {
  static const std::vector<Profile> Table{
      {"tayyara",
       5,
       7,
       3,
       {{RequestKind::Summary, 0.25, 900, 80, 0},
        {RequestKind::Chat, 0.35, 200, 56, 0},
        {RequestKind::StockCheck, 0.25, 0, 0, 1},
        {RequestKind::Order, 0.15, 0, 0, 10}},
       {{"amman-1", 0.34, 1},
        {"amman-2", 0.26, 1},
        {"irbid", 0.20, 5},
        {"zarqa", 0.12, 1},
        {"aqaba", 0.08, 1}}},
      {"randstein",
       5,
       7,
       3,
       {{RequestKind::Summary, 0.05, 900, 80, 0},
        {RequestKind::Chat, 0.60, 320, 64, 0},
        {RequestKind::StockCheck, 0.20, 0, 0, 1},
        {RequestKind::Order, 0.15, 0, 0, 10}},
       {{"landscape", 0.30, 1},
        {"municipal", 0.25, 1},
        {"depot", 0.20, 5},
        {"order-desk", 0.15, 1},
        {"garden", 0.10, 1}}},
  };
  return Table;
}

} // namespace

const Profile *profile(std::string_view Name) {
  for (const Profile &P : profiles())
    if (P.Name == Name)
      return &P;
  return nullptr;
}

double meanTokens(const MixRow &Row) {
  return Row.PromptTokens + Row.OutputTokens + Row.TokensPerCall;
}

double meanTokens(const Profile &P) {
  double Sum = 0;
  for (const MixRow &Row : P.Mix)
    Sum += Row.Share * meanTokens(Row);
  return Sum;
}

} // namespace hyssoprail::load
