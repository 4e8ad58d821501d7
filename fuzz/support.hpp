#ifndef HYSSOPRAIL_FUZZ_SUPPORT_HPP
#define HYSSOPRAIL_FUZZ_SUPPORT_HPP

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

/// Entry point of a target: libFuzzer and replay_main.cpp call it for each
/// input.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size);

namespace hyssoprail::fuzz {

/// Ends the process with \p Promise as the message unless \p Holds, so that the
/// input is kept and reported.
void require(bool Holds, std::string_view Promise);

/// Splits \p Input at lines that consist of "--". The parts are messages,
/// records or responses that arrive one after the other.
std::vector<std::string_view> splitParts(std::string_view Input);

/// Splits an input whose first line decides where: the rest is cut into chunks,
/// and the value of each byte of the line is the length of one chunk. The
/// lengths repeat; with an empty line there is one chunk.
std::vector<std::string_view> splitChunks(std::string_view Input);

/// The input as text.
inline std::string_view asText(const std::uint8_t *Data, std::size_t Size) {
  return {reinterpret_cast<const char *>(Data), Size};
}

} // namespace hyssoprail::fuzz

#endif // HYSSOPRAIL_FUZZ_SUPPORT_HPP
