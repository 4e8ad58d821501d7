#ifndef HYSSOPRAIL_TESTBED_BACKGROUND_STREAM_HPP
#define HYSSOPRAIL_TESTBED_BACKGROUND_STREAM_HPP

#include <atomic>
#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_client.hpp"

namespace hyssoprail::testbed {

/// A streamed call that runs on a thread of its own, so that a test can
/// disturb the fleet meanwhile.
///
/// \code
///   BackgroundStream Stream(Call);
///   Stream.waitForTokens(3, std::chrono::seconds(5));
///   Fleet.process("agent-decode-0").kill();
///   Stream.finish();
/// \endcode
class BackgroundStream {
public:
  explicit BackgroundStream(HttpCall Call);
  ~BackgroundStream();

  BackgroundStream(const BackgroundStream &) = delete;
  BackgroundStream &operator=(const BackgroundStream &) = delete;

  /// Waits until \p Count events arrived; false when \p Timeout passed or the
  /// stream ended first.
  bool waitForTokens(unsigned Count, std::chrono::milliseconds Timeout);

  /// Closes the connection, as a caller that gives up does.
  void cancel();

  /// Waits for the end of the stream.
  void finish();

  /// After finish(): whether the connection ended as HTTP requires, the
  /// status and the data received.
  bool whole() const { return Whole; }
  unsigned status() const { return Code; }
  const std::string &data() const { return Data; }

private:
  boost::asio::io_context Context;
  std::unique_ptr<HttpClient> Client;
  std::shared_ptr<HttpStream> Stream;
  std::atomic<unsigned> Events{0};
  std::atomic<bool> Ended{false};
  std::atomic<unsigned> Code{0};
  bool Whole = false;
  std::string Data;
  std::thread Thread;
};

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_BACKGROUND_STREAM_HPP
