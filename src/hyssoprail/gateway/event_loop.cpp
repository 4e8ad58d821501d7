#include "hyssoprail/gateway/event_loop.hpp"

#include <exception>

#include "hyssoprail/core/deferred_work.hpp"

namespace hyssoprail::gateway {
namespace {

/// Handlers that run between two slices of deferred ones, so that both kinds go
/// on whatever the load.
constexpr unsigned MaxReadyHandlers = 128;

/// Time for deferred handlers before the next look at what is ready. Each look
/// costs a system call.
constexpr milliseconds DeferredSlice{2};

/// \p SinceLook is the time of deferred handlers since the last look at what is
/// ready: Context.run_one() may take what was ready at an earlier look.
void runOnce(boost::asio::io_context &Context, DeferredWork &Work,
             Duration &SinceLook) {
  if (Work.empty() && SinceLook < DeferredSlice) {
    Context.run_one();
  } else {
    for (unsigned I = 0; I < MaxReadyHandlers && Context.poll_one() > 0; ++I) {
    }
    SinceLook = {};
  }
  SinceLook += Work.runFor(DeferredSlice);
}

} // namespace

void runEventLoop(boost::asio::io_context &Context,
                  const std::function<void(std::string_view Why)> &OnError) {
  auto &Work = boost::asio::use_service<DeferredWork>(Context);
  Duration SinceLook{};
  while (!Context.stopped()) {
    try {
      runOnce(Context, Work, SinceLook);
    } catch (const std::exception &E) {
      OnError(E.what());
    }
  }
}

} // namespace hyssoprail::gateway
