#include "hyssoprail/load/prompt.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace hyssoprail::load {

std::string makePrompt(const Arrival &A) {
  const unsigned Words = std::max(1U, A.PromptTokens);
  std::string Prompt;
  for (unsigned I = 0; I < Words; ++I) {
    if (I > 0)
      Prompt += ' ';
    Prompt += I + 1 < Words && I < SharedPrefixTokens
                  ? fmt::format("a{}w{}", A.Account, I)
                  : fmt::format("r{}w{}", A.Serial, I);
  }
  return Prompt;
}

} // namespace hyssoprail::load
