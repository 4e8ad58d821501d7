#include "hyssoprail/standin/engine/kv_link.hpp"

#include <algorithm>

namespace hyssoprail::standin {
namespace {

constexpr std::chrono::milliseconds TickTime{2};

/// A receiver that does not read gets no more data than this ahead.
constexpr std::size_t MaxUnsentBytes = std::size_t{4} * 1024 * 1024;

} // namespace

KvLink::KvLink(boost::asio::io_context &Context, std::uint64_t BytesPerSecond)
    : Timer(Context), BytesPerSecond(BytesPerSecond) {}

void KvLink::send(ExchangePtr Exchange, std::string Head, std::uint64_t Bytes) {
  const std::uint64_t Left = Bytes > Head.size() ? Bytes - Head.size() : 0;
  Exchange->begin(200, {{"Content-Type", "application/octet-stream"}});
  Exchange->write(std::move(Head));
  Transfers.push_back({std::move(Exchange), Left});
  if (Ticking)
    return;
  Last = std::chrono::steady_clock::now();
  tick();
}

void KvLink::abortAll() {
  for (const Transfer &T : Transfers)
    T.Exchange->abort();
  Transfers.clear();
}

void KvLink::tick() {
  const auto Now = std::chrono::steady_clock::now();
  const double Seconds = std::chrono::duration<double>(Now - Last).count();
  Last = Now;
  Ticking = !Transfers.empty();
  if (!Ticking)
    return;
  const auto Share =
      static_cast<std::uint64_t>(Seconds * static_cast<double>(BytesPerSecond) /
                                 static_cast<double>(Transfers.size()));
  if (!Stalled)
    Transfers.remove_if([Share](Transfer &T) {
      const std::uint64_t Size = std::min(Share, T.Left);
      if (Size > 0 && T.Exchange->unsentBytes() < MaxUnsentBytes) {
        T.Exchange->write(std::string(Size, 'k'));
        T.Left -= Size;
      }
      if (T.Left == 0)
        T.Exchange->finish();
      return T.Left == 0;
    });
  Timer.expires_after(TickTime);
  Timer.async_wait([this](const auto &Code) {
    if (!Code)
      tick();
  });
}

} // namespace hyssoprail::standin
