#ifndef HYSSOPRAIL_ENTRY_ADMIN_HANDLER_HPP
#define HYSSOPRAIL_ENTRY_ADMIN_HANDLER_HPP

#include <map>
#include <memory>
#include <mutex>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/connection/platform_client.hpp"
#include "hyssoprail/process/admin_api.hpp"

namespace hyssoprail::entry {

/// The admin API of an entry under its own lock, with its open requests.
class AdminHandler {
public:
  AdminHandler(AdminOptions Options, const ConfigStore &Store,
               const Timeline &Events, std::function<FleetStatus()> Fleet,
               boost::asio::io_context &Context, PlatformClient &Platform,
               const Clock &Time);

  /// Handles a request below /admin/v1/.
  void handle(const std::shared_ptr<HttpExchange> &Exchange);

  /// The store has new records.
  void reduced();

  /// To be called every 100 ms or more often.
  void tick();

private:
  void carryOut(AdminActions Actions);
  void append(const AppendLogRecord &Append);
  std::shared_ptr<HttpExchange> take(AdminRequestId Ticket);

  std::mutex Mutex;
  AdminApi Api;
  std::map<AdminRequestId, std::shared_ptr<HttpExchange>> Open;
  AdminRequestId LastTicket = 0;
  boost::asio::io_context &Context;
  PlatformClient &Platform;
  const Clock &Time;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_ADMIN_HANDLER_HPP
