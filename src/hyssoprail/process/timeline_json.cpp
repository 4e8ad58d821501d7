#include "hyssoprail/process/timeline_json.hpp"

#include <nlohmann/json.hpp>

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

ReceivedEvent readEntry(const Json &From) {
  ReceivedEvent E;
  E.UnixMicros = From.at("unix_us").get<std::int64_t>();
  E.Kind = From.at("kind").get<std::string>();
  E.RequestId = From.value("request_id", "");
  E.Attempt = From.value("attempt", 0U);
  E.Account = From.value("account", "");
  E.Endpoint = From.value("endpoint", "");
  E.Version = From.value("version", std::uint64_t{0});
  E.Detail = From.value("detail", "");
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
    const Json From = Json::parse(Body);
    ProcessTimeline Out;
    Out.Process = From.at("process").get<std::string>();
    Out.NowUnixMicros = From.at("now_unix_us").get<std::int64_t>();
    for (const Json &E : From.at("events"))
      Out.Events.push_back(readEntry(E));
    return Out;
  } catch (const Json::exception &E) {
    return Error{
        ErrorKind::UpstreamFailed,
        std::string("the answer is not a time line: ") + E.what(),
        "check that the address is an admin or HTTP port of hyssoprail",
        "",
        {}};
  }
}

} // namespace hyssoprail
