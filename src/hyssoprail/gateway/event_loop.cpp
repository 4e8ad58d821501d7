#include "hyssoprail/gateway/event_loop.hpp"

#include <exception>

namespace hyssoprail::gateway {

void runEventLoop(boost::asio::io_context &Context,
                  const std::function<void(std::string_view Why)> &OnError) {
  while (!Context.stopped()) {
    try {
      Context.run();
      return;
    } catch (const std::exception &E) {
      OnError(E.what());
    }
  }
}

} // namespace hyssoprail::gateway
