#ifndef HYSSOPRAIL_STANDIN_PROGRAM_HPP
#define HYSSOPRAIL_STANDIN_PROGRAM_HPP

#include <csignal>
#include <cstdio>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/standin/json_fields.hpp"

namespace hyssoprail::standin {

using ExchangePtr = std::shared_ptr<HttpExchange>;

/// Answers with a JSON body.
inline void answer(HttpExchange &Exchange, unsigned Status, const Json &Body) {
  Exchange.respond(jsonResponse(Status, Body.dump()));
}

/// Answers with an error body.
inline void answerError(HttpExchange &Exchange, unsigned Status,
                        const std::string &Message) {
  answer(Exchange, Status, {{"error", Message}});
}

/// Serves HTTP until SIGTERM or SIGINT. \p Handler runs on the thread of
/// \p Context, so the emulator needs no locks. Returns the exit code.
inline int runProgram(boost::asio::io_context &Context,
                      const std::string &Address, std::uint16_t Port,
                      HttpHandler Handler) {
  HttpServerOptions Options;
  Options.Address = Address;
  Options.Port = Port;
  Options.MaxBodyBytes = 64ULL * 1024 * 1024;
  auto Server = makeHttpServer(Options, [&](ExchangePtr Exchange) {
    boost::asio::post(Context,
                      [&Handler, E = std::move(Exchange)] { Handler(E); });
  });
  const Status Started = Server->start();
  if (const Error *E = errorOf(Started)) {
    std::fprintf(stderr, "%s; %s\n", E->Message.c_str(), E->Remedy.c_str());
    return 1;
  }
  std::printf("ready http=%u peer=none\n", unsigned{Server->port()});
  std::fflush(stdout);
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  Signals.async_wait([&](auto, int) { Context.stop(); });
  Context.run();
  Server->stop();
  return 0;
}

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_PROGRAM_HPP
