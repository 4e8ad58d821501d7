#ifndef HYSSOPRAIL_ENTRY_LOG_FOLLOWER_HPP
#define HYSSOPRAIL_ENTRY_LOG_FOLLOWER_HPP

#include <functional>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/platform_client.hpp"
#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/random.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail::entry {

/// Follows the platform's log with long polls and feeds the configuration
/// store. All functions run on the thread of the io_context.
class LogFollower {
public:
  /// Called after each successful read of the log's end, with the time at which
  /// the read began.
  using ReadCallback = std::function<void(TimePoint Began)>;

  LogFollower(boost::asio::io_context &Context, PlatformClient &Platform,
              ConfigStore &Store, const Clock &Time, std::string Author,
              std::uint64_t Seed, ReadCallback OnRead);

  void start();
  void stop();

private:
  void read();
  void onBatch(const LogBatch &Batch, TimePoint Began);
  void onFailure(const Error &Why);
  void readLater(Duration Pause);
  void considerCheckpoint(const LogBatch &Batch);
  void appendCheckpoint(std::uint64_t Seen);

  boost::asio::steady_timer Timer;
  boost::asio::steady_timer CheckpointTimer;
  PlatformClient &Platform;
  ConfigStore &Store;
  const Clock &Time;
  std::string Author;
  RandomSource Random;
  ReadCallback OnRead;
  std::uint64_t Position = 0;
  bool Running = false;
  bool CheckpointDue = false;
  unsigned Failures = 0;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_LOG_FOLLOWER_HPP
