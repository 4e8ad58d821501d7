#ifndef HYSSOPRAIL_ENTRY_CONFIG_FOLLOWER_HPP
#define HYSSOPRAIL_ENTRY_CONFIG_FOLLOWER_HPP

#include <functional>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/platform_client.hpp"
#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/version/config_feed.hpp"

namespace hyssoprail::entry {

/// Connects a ConfigFeed to the platform's log and to the other processes. The
/// feed runs on the thread of the io_context.
class ConfigFollower {
public:
  /// Sends a message to one peer. Thread-safe.
  using Reply = std::function<void(wire::Envelope)>;

  /// Called after each successful read of the log's end, with the time at which
  /// the read began.
  using ReadCallback = std::function<void(TimePoint Began)>;

  ConfigFollower(boost::asio::io_context &Context, PlatformClient &Platform,
                 ConfigStore &Store, const Clock &Time, FeedOptions Options,
                 ReadCallback OnRead);

  /// A heartbeat or an ack of \p Peer arrived; \p Send reaches it. Any thread.
  void heard(FeedPeer Peer, Reply Send);

  /// Handles ConfigRequest, ConfigRecords and ConfigSnapshot; answers go to
  /// \p Answer. Returns false if \p Message is none of them. Any thread.
  bool receive(const wire::Envelope &Message, Reply Answer);

  /// Applies records that this process read from the log for another purpose.
  /// On the thread of the io_context.
  void apply(const std::vector<wire::OffsetRecord> &Records);

  /// To be called every 50 ms or so, on the thread of the io_context.
  void tick();

private:
  struct Route {
    Reply Send;
    TimePoint HeardAt;
  };

  void onMessage(const wire::Envelope &Message, const Reply &Answer);
  void run(FeedActions Actions, const std::string &Peer = "",
           const Reply &Answer = {});
  void read(std::uint64_t After);
  void onBatch(const LogBatch &Batch, TimePoint Began);
  void append(wire::LogRecord Record);

  boost::asio::io_context &Context;
  PlatformClient &Platform;
  ConfigStore &Store;
  const Clock &Time;
  ReadCallback OnRead;
  ConfigFeed Feed;
  std::map<std::string, Route> Routes; ///< by process name
  bool LogFails = false;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_CONFIG_FOLLOWER_HPP
