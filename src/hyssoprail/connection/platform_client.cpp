#include "hyssoprail/connection/platform_client.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/connection/base64.hpp"

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

Error platformError(ErrorKind Kind, const std::string &Reason) {
  return {Kind,
          Reason,
          "check the platform service and its address in the settings",
          "platform",
          {}};
}

Error unexpectedStatus(unsigned Status) {
  return platformError(
      Status == 503 ? ErrorKind::Unavailable : ErrorKind::UpstreamFailed,
      fmt::format("the platform responded with status {}", Status));
}

Error malformed(const std::string &Reason) {
  return platformError(ErrorKind::UpstreamFailed,
                       "the response of the platform is malformed: " + Reason);
}

LogBatch parseBatch(const Json &Body) {
  LogBatch Batch;
  Batch.OldestOffset = Body.at("first").get<std::uint64_t>();
  Batch.NewestOffset = Body.at("end").get<std::uint64_t>();
  for (const Json &Item : Body.at("records")) {
    auto Data = decodeBase64(Item.at("record").get_ref<const std::string &>());
    if (!Data)
      throw std::invalid_argument("a record is not valid base64");
    Batch.Records.push_back(
        {Item.at("offset").get<std::uint64_t>(), std::move(*Data)});
  }
  return Batch;
}

std::vector<VmInfo> parseVms(const Json &Body) {
  std::vector<VmInfo> Out;
  for (const Json &Item : Body.at("vms"))
    Out.push_back({Item.at("name").get<std::string>(), Item.value("zone", ""),
                   Item.value("role", ""), Item.value("peer_address", ""),
                   Item.value("leaving", false)});
  return Out;
}

/// Parses the body of a response and converts exceptions to typed errors.
template <typename F>
auto parseBody(const HttpResponse &Response, F Parse)
    -> Result<decltype(Parse(Json()))> {
  try {
    return Parse(Json::parse(Response.Body));
  } catch (const std::exception &E) {
    return malformed(E.what());
  }
}

Result<LogBatch> readResult(const HttpResponse &Response) {
  if (Response.Status == 410)
    return parseBody(Response, [](const Json &Body) {
      LogBatch Batch;
      Batch.OldestOffset = Body.at("first").get<std::uint64_t>();
      Batch.PositionExpired = true;
      return Batch;
    });
  if (Response.Status != 200)
    return unexpectedStatus(Response.Status);
  return parseBody(Response, parseBatch);
}

Result<std::uint64_t> appendResult(const Result<HttpResponse> &R) {
  if (const Error *E = errorOf(R)) {
    if (E->Kind == ErrorKind::Unavailable)
      return *E;
    return platformError(ErrorKind::OutcomeUnknown,
                         "the append may have taken effect: " + E->Message);
  }
  const HttpResponse &Response = valueOf(R);
  if (Response.Status != 200)
    return unexpectedStatus(Response.Status);
  auto Offset = parseBody(Response, [](const Json &Body) {
    return Body.at("offset").get<std::uint64_t>();
  });
  if (const Error *E = errorOf(Offset))
    return platformError(ErrorKind::OutcomeUnknown, E->Message);
  return Offset;
}

} // namespace

PlatformClient::PlatformClient(HttpClient &Client, std::string Authority)
    : Client(Client), Authority(std::move(Authority)) {}

void PlatformClient::append(std::string_view Record,
                            std::function<void(Result<std::uint64_t>)> OnDone,
                            std::chrono::milliseconds Timeout) {
  HttpCall Call = makeCall("POST", "/log/append", Timeout);
  Call.Request.Body = Json({{"record", encodeBase64(Record)}}).dump();
  Client.call(std::move(Call),
              [OnDone = std::move(OnDone)](const Result<HttpResponse> &R) {
                OnDone(appendResult(R));
              });
}

void PlatformClient::read(std::uint64_t After, std::uint64_t Max,
                          std::chrono::milliseconds Wait,
                          std::function<void(Result<LogBatch>)> OnDone,
                          std::chrono::milliseconds Timeout) {
  const std::string Target = fmt::format("/log/read?after={}&max={}&wait_ms={}",
                                         After, Max, Wait.count());
  Client.call(makeCall("GET", Target, Wait + Timeout),
              [OnDone = std::move(OnDone)](const Result<HttpResponse> &R) {
                if (const Error *E = errorOf(R))
                  return OnDone(*E);
                OnDone(readResult(valueOf(R)));
              });
}

void PlatformClient::vms(
    std::function<void(Result<std::vector<VmInfo>>)> OnDone) {
  Client.call(makeCall("GET", "/vms", std::chrono::seconds(2)),
              [OnDone = std::move(OnDone)](const Result<HttpResponse> &R) {
                if (const Error *E = errorOf(R))
                  return OnDone(*E);
                if (valueOf(R).Status != 200)
                  return OnDone(unexpectedStatus(valueOf(R).Status));
                OnDone(parseBody(valueOf(R), parseVms));
              });
}

HttpCall PlatformClient::makeCall(std::string Method, std::string Target,
                                  std::chrono::milliseconds Timeout) const {
  HttpCall Call;
  Call.Authority = Authority;
  Call.Request = {std::move(Method), std::move(Target), {}, {}};
  Call.Timeout = Timeout;
  return Call;
}

} // namespace hyssoprail
