#ifndef HYSSOPRAIL_LOAD_PROMPT_HPP
#define HYSSOPRAIL_LOAD_PROMPT_HPP

#include <string>

#include "hyssoprail/load/arrivals.hpp"

namespace hyssoprail::load {

/// Words that all prompts of an account begin with, so that engines can reuse
/// cached prefixes.
constexpr unsigned SharedPrefixTokens = 64;

/// Makes the prompt of \p A: one word for each token, unique after the shared
/// prefix of the account.
std::string makePrompt(const Arrival &A);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_PROMPT_HPP
