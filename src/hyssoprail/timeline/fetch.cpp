#include "hyssoprail/timeline/fetch.hpp"

#include <boost/asio/io_context.hpp>
#include <nlohmann/json.hpp>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::timeline {
namespace {

HttpCall makeCall(const std::string &Address, std::string Target,
                  const std::string &Token, std::chrono::milliseconds Timeout) {
  HttpCall Call;
  Call.Authority = Address;
  Call.Request.Method = "GET";
  Call.Request.Target = std::move(Target);
  if (!Token.empty())
    Call.Request.Headers.push_back({"Authorization", "Bearer " + Token});
  Call.Timeout = Timeout;
  Call.FreshConnection = true;
  return Call;
}

std::string failureOf(const Result<HttpResponse> &Answer) {
  if (const Error *E = errorOf(Answer))
    return E->Message;
  const unsigned Status = valueOf(Answer).Status;
  return Status == 200 ? "" : "HTTP status " + std::to_string(Status);
}

} // namespace

Fetched fetchTimelines(const FetchOptions &Options) {
  boost::asio::io_context Context;
  const auto Client = makeHttpClient(Context);
  const SteadyClock Time;
  Fetched Out;
  for (const std::string &Address : Options.Addresses) {
    const std::int64_t Asked = Time.unixMicros();
    Client->call(makeCall(Address, "/admin/v1/timeline?" + Options.Query,
                          Options.Token, Options.Timeout),
                 [&Out, &Time, Address, Asked](Result<HttpResponse> Answer) {
                   std::string Failure = failureOf(Answer);
                   if (!Failure.empty()) {
                     Out.Missing.push_back({Address, std::move(Failure)});
                     return;
                   }
                   auto Read = decodeTimeline(valueOf(Answer).Body);
                   if (const Error *E = errorOf(Read))
                     Out.Missing.push_back({Address, E->Message});
                   else
                     Out.Timelines.push_back(
                         {std::move(valueOf(Read)), Asked, Time.unixMicros()});
                 });
  }
  Context.run();
  return Out;
}

ProcessList fetchProcessList(const std::string &Entry, const std::string &Token,
                             std::chrono::milliseconds Timeout) {
  boost::asio::io_context Context;
  const auto Client = makeHttpClient(Context);
  ProcessList Out;
  Out.Addresses.push_back(Entry);
  Client->call(
      makeCall(Entry, "/admin/v1/status", Token, Timeout),
      [&Out, &Entry](Result<HttpResponse> Answer) {
        std::string Failure = failureOf(Answer);
        if (!Failure.empty()) {
          Out.Missing.push_back({"process list of " + Entry, Failure});
          return;
        }
        const auto Body =
            nlohmann::json::parse(valueOf(Answer).Body, nullptr, false);
        if (!Body.is_object() || !Body.contains("processes"))
          return;
        for (const auto &Process : Body["processes"]) {
          const std::string Address = Process.value("http_address", "");
          if (Address.empty())
            Out.Missing.push_back(
                {Process.value("name", "unnamed"),
                 "its HTTP address is not in the entry's status; add it with "
                 "--processes"});
          else if (Address != Entry)
            Out.Addresses.push_back(Address);
        }
      });
  Context.run();
  return Out;
}

} // namespace hyssoprail::timeline
