#include "hyssoprail/entry/admin_handler.hpp"

#include <boost/asio/post.hpp>

#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::entry {

AdminHandler::AdminHandler(AdminOptions Options, const ConfigStore &Store,
                           const Timeline &Events,
                           std::function<FleetStatus()> Fleet,
                           boost::asio::io_context &Context,
                           PlatformClient &Platform, const Clock &Time)
    : Api(std::move(Options), Store, Events, std::move(Fleet)),
      Context(Context), Platform(Platform), Time(Time) {}

void AdminHandler::handle(const std::shared_ptr<HttpExchange> &Exchange) {
  const HttpRequest &R = Exchange->request();
  AdminRequest Request;
  Request.Method = R.Method;
  Request.Target = R.Target;
  Request.Authorization = headerValue(R.Headers, "Authorization");
  Request.Body = R.Body;
  AdminRequestId Ticket = 0;
  AdminActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Ticket = ++LastTicket;
    Open.emplace(Ticket, Exchange);
    Actions =
        Api.request(Ticket, Request, Time.now(), Time.unixMicros() / 1000);
  }
  carryOut(std::move(Actions));
  Exchange->onDisconnect([this, Ticket] {
    if (!take(Ticket))
      return;
    std::lock_guard Lock(Mutex);
    Api.onClientDisconnected(Ticket);
  });
}

void AdminHandler::reduced() {
  AdminActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Actions = Api.onRecordsApplied();
  }
  carryOut(std::move(Actions));
}

void AdminHandler::tick() {
  AdminActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Actions = Api.tick(Time.now());
  }
  carryOut(std::move(Actions));
}

void AdminHandler::carryOut(AdminActions Actions) {
  for (AdminAction &Action : Actions) {
    if (const auto *Append = std::get_if<AppendLogRecord>(&Action)) {
      append(*Append);
      continue;
    }
    auto &Answer = std::get<SendAdminResponse>(Action);
    const std::shared_ptr<HttpExchange> Exchange = take(Answer.RequestId);
    if (!Exchange)
      continue;
    HttpResponse Response =
        jsonResponse(Answer.Response.Status, std::move(Answer.Response.Body));
    const auto Pause = Answer.Response.RetryAfter.count();
    if (Pause > 0)
      Response.Headers.push_back(
          {"Retry-After", std::to_string((Pause + 999) / 1000)});
    Exchange->respond(std::move(Response));
  }
}

void AdminHandler::append(const AppendLogRecord &Append) {
  boost::asio::post(Context, [this, Id = Append.OperationId,
                              Data = encodeStable(Append.Record)] {
    Platform.append(Data, [this, Id](const Result<std::uint64_t> &Offset) {
      AdminActions Actions;
      {
        std::lock_guard Lock(Mutex);
        Actions = Api.onAppendResult(Id, Offset, Time.now());
      }
      carryOut(std::move(Actions));
    });
  });
}

std::shared_ptr<HttpExchange> AdminHandler::take(AdminRequestId Ticket) {
  std::lock_guard Lock(Mutex);
  const auto It = Open.find(Ticket);
  if (It == Open.end())
    return nullptr;
  std::shared_ptr<HttpExchange> Exchange = std::move(It->second);
  Open.erase(It);
  return Exchange;
}

} // namespace hyssoprail::entry
