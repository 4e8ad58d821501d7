#include "hyssoprail/process/timeline_json.hpp"

#include <nlohmann/json.hpp>

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

ReceivedEvent parseEvent(const Json &Object) {
  ReceivedEvent E;
  E.UnixMicros = Object.at("unix_us").get<std::int64_t>();
  E.Kind = Object.at("kind").get<std::string>();
  E.RequestId = Object.value("request_id", "");
  E.Attempt = Object.value("attempt", 0U);
  E.Account = Object.value("account", "");
  E.Endpoint = Object.value("endpoint", "");
  E.Version = Object.value("version", std::uint64_t{0});
  E.Detail = Object.value("detail", "");
  return E;
}

} // namespace

std::string encodeTimeline(std::string_view Process, std::int64_t NowUnixMicros,
                           const std::vector<Event> &Events) {
  Json List = Json::array();
  for (const Event &E : Events)
    List.push_back(Json{{"unix_us", E.UnixMicros},
                        {"kind", eventKindName(E.Kind)},
                        {"request_id", E.RequestId},
                        {"attempt", E.Attempt},
                        {"account", E.Account},
                        {"endpoint", E.Endpoint},
                        {"version", E.Version},
                        {"detail", E.Detail}});
  const Json Body{{"process", Process},
                  {"now_unix_us", NowUnixMicros},
                  {"events", std::move(List)}};
  return Body.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<ProcessTimeline> decodeTimeline(std::string_view Body) {
  try {
    const Json Object = Json::parse(Body);
    ProcessTimeline Out;
    Out.Process = Object.at("process").get<std::string>();
    Out.NowUnixMicros = Object.at("now_unix_us").get<std::int64_t>();
    for (const Json &E : Object.at("events"))
      Out.Events.push_back(parseEvent(E));
    return Out;
  } catch (const Json::exception &E) {
    return Error{
        ErrorKind::UpstreamFailed,
        std::string("the response is not a timeline: ") + E.what(),
        "check that the address is an admin or HTTP port of hyssoprail",
        "",
        {}};
  }
}

} // namespace hyssoprail
