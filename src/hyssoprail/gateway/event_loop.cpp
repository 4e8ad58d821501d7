#include "hyssoprail/gateway/event_loop.hpp"

#include <exception>

#include "hyssoprail/core/deferred_work.hpp"

namespace hyssoprail::gateway {
namespace {

/// Handlers that run between two rounds of deferred ones, so that both kinds
/// go on whatever the load.
constexpr unsigned MaxReadyHandlers = 128;

/// Deferred handlers that run before the next look at what is ready. Each look
/// costs a system call.
constexpr unsigned MaxDeferredHandlers = 4;

void runReadyHandlers(boost::asio::io_context &Context, DeferredWork &Work) {
  if (Work.empty()) {
    Context.run_one();
    return;
  }
  for (unsigned I = 0; I < MaxReadyHandlers && Context.poll_one() > 0; ++I) {
  }
  for (unsigned I = 0; I < MaxDeferredHandlers && Work.runOne(); ++I) {
  }
}

} // namespace

void runEventLoop(boost::asio::io_context &Context,
                  const std::function<void(std::string_view Why)> &OnError) {
  auto &Work = boost::asio::use_service<DeferredWork>(Context);
  while (!Context.stopped()) {
    try {
      runReadyHandlers(Context, Work);
    } catch (const std::exception &E) {
      OnError(E.what());
    }
  }
}

} // namespace hyssoprail::gateway
