#ifndef HYSSOPRAIL_ENTRY_LIMIT_RUNTIME_HPP
#define HYSSOPRAIL_ENTRY_LIMIT_RUNTIME_HPP

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/peer_links.hpp"
#include "hyssoprail/connection/platform_client.hpp"
#include "hyssoprail/process/limit_service.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail::entry {

/// Functions that LimitRuntime needs; all are called without its lock.
struct LimitPorts {
  /// Sends to another entry.
  std::function<void(const SendToEntry &)> Send;
  /// Answers a debit that was not answered at once.
  std::function<void(const std::string &RequestId, const Status &)> Answer;
  /// Applies records that were read from the log to the store.
  std::function<void(const std::vector<wire::OffsetRecord> &)> Apply;
  /// The log's end was read; the read began at this time.
  std::function<void(TimePoint Began)> LogRead;
};

/// The limit service of an entry under its own lock, with its log reads and
/// appends. Debits are identified by the request id.
class LimitRuntime {
public:
  LimitRuntime(std::unique_ptr<LimitService> Service, ConfigStore &Store,
               boost::asio::io_context &Context, PlatformClient &Platform,
               const Clock &Time, std::string Author, LimitPorts Ports);

  /// Debits tokens; returns the answer if it is known at once.
  std::optional<Status> debit(const std::string &RequestId,
                              const std::string &Account, std::uint64_t Tokens);

  /// Returns unused tokens of the request's debit.
  void refund(const std::string &RequestId, const std::string &Account,
              std::uint64_t Tokens);

  /// The request ended; nothing more is returned.
  void forget(const std::string &RequestId);

  /// Handles a message of another entry.
  void message(const wire::Envelope &Message);

  /// The store has new records. Called in version order.
  void configChanged(const ConfigUpdate &Update);

  void tick(std::vector<LivePeer> Peers);

  LimitStatus status() const;

private:
  struct LogRead;

  /// Carries out actions; returns the answer to \p Own if it is among them.
  std::optional<Status> carryOut(LimitActions Actions,
                                 const std::string &Own = {});
  Status noteAnswer(const AnswerDebit &Answer);
  void startRead(std::uint64_t ReadId);
  void readOn(const std::shared_ptr<LogRead> &R);
  void endRead(const LogRead &R, bool Succeeded);
  void append(const AppendTakeOver &Append);

  mutable std::mutex Mutex;
  std::unique_ptr<LimitService> Service;
  AccountLimitsPtr Accounts;
  std::map<std::string, std::uint64_t> Epochs; ///< of granted debits
  ConfigStore &Store;
  boost::asio::io_context &Context;
  PlatformClient &Platform;
  const Clock &Time;
  std::string Author;
  LimitPorts Ports;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_LIMIT_RUNTIME_HPP
