#include "hyssoprail/process/endpoint_view.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// Used until an endpoint has reported its own prefill rate.
constexpr std::uint32_t DefaultPrefillMicrosPerToken = 50;

/// Used until an endpoint has reported the rate of its link.
constexpr std::uint64_t DefaultLinkBytesPerSecond = 1'000'000'000;

} // namespace

void EndpointView::updateLoad(const wire::LoadReport &Report, bool IsLeaving,
                              TimePoint Now) {
  Load = Report;
  CachedPrefixes = {Report.cached_prefixes().begin(),
                    Report.cached_prefixes().end()};
  Leaving = IsLeaving;
  Reported = true;
  ReportedAt = Now;
  FullUntil = TimePoint();
  ++ReportNumber;
  SlotDelta = TokenDelta = PieceDelta = 0;
}

LocalWork EndpointView::addWork(std::uint32_t Tokens, std::uint32_t Pieces) {
  ++LocalSlots;
  LocalTokens += Tokens;
  LocalPieces += Pieces;
  ++SlotDelta;
  TokenDelta += Tokens;
  PieceDelta += Pieces;
  return {Tokens, Pieces, ReportNumber};
}

void EndpointView::removeWork(const LocalWork &Work) {
  --LocalSlots;
  LocalTokens -= Work.Tokens;
  LocalPieces -= Work.Pieces;
  --SlotDelta;
  TokenDelta -= Work.Tokens;
  PieceDelta -= Work.Pieces;
}

std::int64_t EndpointView::usedSlots() const {
  return std::max(LocalSlots, std::int64_t{Load.slots_used()} + SlotDelta);
}

std::int64_t EndpointView::usedPieces() const {
  return std::max(LocalPieces, std::int64_t{Load.pieces_used()} + PieceDelta);
}

DecodeCapacity EndpointView::decodeCapacity(std::uint32_t Pieces,
                                            TimePoint Now) const {
  DecodeCapacity Capacity;
  Capacity.FreeSlots = slots() - usedSlots();
  Capacity.FreePieces = std::int64_t{Load.pieces()} - usedPieces();
  Capacity.NeededPieces = Pieces;
  if (Load.next_release_ms() > 0) {
    const auto Age = std::chrono::duration_cast<milliseconds>(Now - ReportedAt);
    Capacity.NextRelease =
        std::max(milliseconds(1), milliseconds(Load.next_release_ms()) - Age);
  }
  Capacity.NextReleaseTaken = Capacity.FreeSlots < 0;
  return Capacity;
}

std::int64_t EndpointView::queuedTokens() const {
  return std::max(LocalTokens,
                  static_cast<std::int64_t>(Load.queued_tokens()) + TokenDelta);
}

milliseconds EndpointView::prefillTime(std::uint32_t Tokens) const {
  const std::int64_t PerToken = Load.prefill_us_per_token() > 0
                                    ? Load.prefill_us_per_token()
                                    : DefaultPrefillMicrosPerToken;
  return milliseconds((queuedTokens() + Tokens) * PerToken / 1000);
}

milliseconds EndpointView::transferTime(std::uint64_t Bytes) const {
  const std::uint64_t Rate = Load.link_bytes_per_s() > 0
                                 ? Load.link_bytes_per_s()
                                 : DefaultLinkBytesPerSecond;
  const std::uint64_t ConcurrentTransfers = std::uint64_t{Load.transfers()} + 1;
  return milliseconds(Bytes * 1000 / Rate * ConcurrentTransfers);
}

} // namespace hyssoprail
