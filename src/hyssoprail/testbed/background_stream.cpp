#include "hyssoprail/testbed/background_stream.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "hyssoprail/testbed/fleet.hpp"

namespace hyssoprail::testbed {

BackgroundStream::BackgroundStream(HttpCall Call)
    : Client(makeHttpClient(Context)) {
  HttpStreamHandlers Handlers;
  Handlers.OnHeader = [this](unsigned Status) { Code = Status; };
  Handlers.OnData = [this](std::string_view Piece) {
    Data += Piece;
    Events +=
        static_cast<unsigned>(std::count(Piece.begin(), Piece.end(), '{') > 0);
  };
  Handlers.OnEnd = [this](const Status &End) {
    Whole = succeeded(End);
    Ended = true;
  };
  Stream = Client->stream(std::move(Call), std::move(Handlers));
  Thread = std::thread([this] { Context.run(); });
}

BackgroundStream::~BackgroundStream() {
  cancel();
  finish();
}

bool BackgroundStream::waitForTokens(unsigned Count,
                                     std::chrono::milliseconds Timeout) {
  Fleet::waitUntil([&] { return Events >= Count || Ended; }, Timeout);
  return Events >= Count && !Ended;
}

void BackgroundStream::cancel() {
  boost::asio::post(Context, [this] { Stream->cancel(); });
}

void BackgroundStream::finish() {
  if (Thread.joinable())
    Thread.join();
}

} // namespace hyssoprail::testbed
