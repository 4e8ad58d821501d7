#include "support.hpp"

#include <algorithm>
#include <cstdio>
#include <cstdlib>

namespace hyssoprail::fuzz {

void require(bool Holds, std::string_view Promise) {
  if (Holds)
    return;
  std::fprintf(stderr, "promise broken: %.*s\n",
               static_cast<int>(Promise.size()), Promise.data());
  std::abort();
}

std::vector<std::string_view> splitParts(std::string_view Input) {
  constexpr std::string_view Separator = "\n--\n";
  std::vector<std::string_view> Out;
  for (;;) {
    const std::size_t End = Input.find(Separator);
    Out.push_back(Input.substr(0, End));
    if (End == std::string_view::npos)
      return Out;
    Input.remove_prefix(End + Separator.size());
  }
}

std::vector<std::string_view> splitChunks(std::string_view Input) {
  const std::size_t LineEnd = Input.find('\n');
  if (LineEnd == std::string_view::npos)
    return {Input};
  const std::string_view Lengths = Input.substr(0, LineEnd);
  std::string_view Rest = Input.substr(LineEnd + 1);
  if (Lengths.empty())
    return {Rest};
  std::vector<std::string_view> Out;
  for (std::size_t I = 0; !Rest.empty(); ++I) {
    const auto Length = static_cast<unsigned char>(Lengths[I % Lengths.size()]);
    const std::size_t Taken =
        std::min<std::size_t>(Rest.size(), std::max<unsigned>(1, Length));
    Out.push_back(Rest.substr(0, Taken));
    Rest.remove_prefix(Taken);
  }
  return Out;
}

} // namespace hyssoprail::fuzz
