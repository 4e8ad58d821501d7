#include "hyssoprail/standin/service/service.hpp"

#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::standin {

Service::Service(boost::asio::io_context &Context, ServiceOptions Options,
                 std::uint64_t Seed)
    : Context(Context), Options(Options), Random(Seed) {}

void Service::handle(const ExchangePtr &Exchange) {
  const std::string_view Path = Exchange->request().path();
  if (Path == "/executions")
    return answer(*Exchange, 200, {{"executions", Executions}});
  if (Path == "/faults")
    return setFaults(*Exchange);
  auto Timer =
      std::make_shared<boost::asio::steady_timer>(Context, Options.Delay);
  Timer->async_wait([this, Exchange, Timer](auto) { execute(Exchange); });
}

void Service::setFaults(HttpExchange &Exchange) {
  const Json Body = parseObject(Exchange.request().Body);
  Options.Delay = std::chrono::milliseconds(countField(
      Body, "delay_ms", static_cast<std::uint64_t>(Options.Delay.count())));
  Options.FailRate = numberField(Body, "fail_rate", Options.FailRate);
  Options.DropRate = numberField(Body, "drop_rate", Options.DropRate);
  Options.Hang = boolField(Body, "hang", Options.Hang);
  answer(Exchange, 200, Json::object());
}

void Service::execute(const ExchangePtr &Exchange) {
  if (Random.unit() < Options.FailRate)
    return answerError(*Exchange, 500, "the service fails on request");
  const auto &Request = Exchange->request();
  ++Executions[std::string(headerValue(Request.Headers, "X-Request-Id"))];
  if (Options.Hang)
    return Exchange->onDisconnect([Exchange] {});
  if (Random.unit() < Options.DropRate)
    return Exchange->abort();
  finish(*Exchange);
}

void Service::finish(HttpExchange &Exchange) {
  const HttpRequest &Request = Exchange.request();
  const std::string_view Path = Request.path();
  if (Path == "/orders" && Request.Method == "POST")
    return answer(Exchange, 201, {{"order", ++Orders}});
  if (Path.starts_with("/stock/") && Request.Method == "GET")
    return answer(Exchange, 200,
                  {{"item", std::string(Path.substr(7))},
                   {"count", stableHash(Path) % 100}});
  Json Headers = Json::object();
  for (const HttpHeader &H : Request.Headers)
    Headers[H.Name] = H.Value;
  answer(Exchange, 200,
         {{"method", Request.Method},
          {"target", Request.Target},
          {"headers", Headers},
          {"body_bytes", Request.Body.size()}});
}

} // namespace hyssoprail::standin
