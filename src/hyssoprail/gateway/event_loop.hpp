#ifndef HYSSOPRAIL_GATEWAY_EVENT_LOOP_HPP
#define HYSSOPRAIL_GATEWAY_EVENT_LOOP_HPP

#include <functional>
#include <string_view>

#include <boost/asio/io_context.hpp>

namespace hyssoprail::gateway {

/// Runs the event loop until it is stopped, and its DeferredWork in slices
/// after the handlers that are ready. If a handler throws, only its own event
/// is lost: \p OnError is called and the loop continues with the others.
void runEventLoop(boost::asio::io_context &Context,
                  const std::function<void(std::string_view Why)> &OnError);

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_EVENT_LOOP_HPP
