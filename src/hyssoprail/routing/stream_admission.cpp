#include "hyssoprail/routing/stream_admission.hpp"

#include <array>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail::routing {
namespace {

constexpr std::uint32_t BlockTokens = 16;

/// Further output expected of a generation that exceeds its estimate.
constexpr std::uint32_t GrowthTokens = 320;

constexpr std::array<EnumName<StreamRefusalReason>, 3> RefusalNames{{
    {StreamRefusalReason::TooLarge, "too_large"},
    {StreamRefusalReason::QueueTooLong, "queue_too_long"},
    {StreamRefusalReason::WaitedTooLong, "waited_too_long"},
}};

std::uint32_t wholeBlocks(std::uint64_t Tokens) {
  return static_cast<std::uint32_t>((Tokens + BlockTokens - 1) / BlockTokens *
                                    BlockTokens);
}

} // namespace

std::uint32_t requiredKvTokens(const StreamRequest &Request) {
  return wholeBlocks(std::uint64_t{Request.PromptTokens} +
                     Request.OutputTokens);
}

std::uint32_t extendedKvTokens(std::uint32_t PromptTokens,
                               std::uint64_t OutputTokens) {
  return wholeBlocks(PromptTokens + OutputTokens + GrowthTokens);
}

std::string_view streamRefusalName(StreamRefusalReason Reason) {
  return enumName(RefusalNames, Reason);
}

StreamRefusalReason streamRefusalFromNumber(std::uint32_t Number) {
  for (const auto &Row : RefusalNames)
    if (static_cast<std::uint32_t>(Row.Value) == Number)
      return Row.Value;
  return StreamRefusalReason::QueueTooLong;
}

} // namespace hyssoprail::routing
