#include "hyssoprail/process/endpoint_view.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

/// Used until an endpoint has reported its own figure.
constexpr std::uint32_t DefaultPrefillMicros = 50;

/// Used until an endpoint has reported the rate of its link.
constexpr std::uint64_t DefaultLinkBytesPerSecond = 1'000'000'000;

} // namespace

void EndpointView::report(const wire::LoadReport &Report, bool IsLeaving,
                          TimePoint Now) {
  Load = Report;
  Held = {Report.cached_prefixes().begin(), Report.cached_prefixes().end()};
  Leaving = IsLeaving;
  Reported = true;
  ReportedAt = Now;
  FullUntil = TimePoint();
  ++ReportNumber;
  SlotChange = TokenChange = PieceChange = 0;
}

LocalWork EndpointView::started(std::uint32_t Tokens, std::uint32_t Pieces) {
  ++LocalCount;
  LocalTokens += Tokens;
  LocalPieces += Pieces;
  ++SlotChange;
  TokenChange += Tokens;
  PieceChange += Pieces;
  return {Tokens, Pieces, ReportNumber};
}

void EndpointView::ended(const LocalWork &Work) {
  --LocalCount;
  LocalTokens -= Work.Tokens;
  LocalPieces -= Work.Pieces;
  --SlotChange;
  TokenChange -= Work.Tokens;
  PieceChange -= Work.Pieces;
}

std::int64_t EndpointView::usedSlots() const {
  return std::max(LocalCount, std::int64_t{Load.slots_used()} + SlotChange);
}

std::int64_t EndpointView::usedPieces() const {
  return std::max(LocalPieces, std::int64_t{Load.pieces_used()} + PieceChange);
}

DecodeRoom EndpointView::room(std::uint32_t Pieces, TimePoint Now) const {
  DecodeRoom Room;
  Room.FreeSlots = slots() - usedSlots();
  Room.FreePieces = std::int64_t{Load.pieces()} - usedPieces();
  Room.NeededPieces = Pieces;
  if (Load.next_release_ms() > 0) {
    const auto Age = std::chrono::duration_cast<milliseconds>(Now - ReportedAt);
    Room.NextRelease =
        std::max(milliseconds(1), milliseconds(Load.next_release_ms()) - Age);
  }
  Room.PredictedTaken = Room.FreeSlots < 0;
  return Room;
}

std::int64_t EndpointView::queuedTokens() const {
  return std::max(LocalTokens, static_cast<std::int64_t>(Load.queued_tokens()) +
                                   TokenChange);
}

milliseconds EndpointView::prefillTime(std::uint32_t Tokens) const {
  const std::int64_t PerToken = Load.prefill_us_per_token() > 0
                                    ? Load.prefill_us_per_token()
                                    : DefaultPrefillMicros;
  return milliseconds((queuedTokens() + Tokens) * PerToken / 1000);
}

milliseconds EndpointView::transferTime(std::uint64_t Bytes) const {
  const std::uint64_t Rate = Load.link_bytes_per_s() > 0
                                 ? Load.link_bytes_per_s()
                                 : DefaultLinkBytesPerSecond;
  const std::uint64_t Sharing = std::uint64_t{Load.transfers()} + 1;
  return milliseconds(Bytes * 1000 / Rate * Sharing);
}

} // namespace hyssoprail
