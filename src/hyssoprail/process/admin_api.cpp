#include "hyssoprail/process/admin_api.hpp"

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <openssl/crypto.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/process/object_json.hpp"
#include "hyssoprail/process/query.hpp"
#include "hyssoprail/process/schema_check.hpp"
#include "hyssoprail/process/timeline_json.hpp"
#include "hyssoprail/version/change_rules.hpp"
#include "hyssoprail/version/key_digest.hpp"

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

constexpr std::size_t MaxOperationIdLength = 128;
constexpr std::chrono::milliseconds OutageRetryAfter{1'000};
constexpr std::string_view BearerPrefix = "Bearer ";
constexpr std::string_view PathPrefix = "/admin/v1/";

Error makeError(ErrorKind Kind, std::string Field, std::string Message,
                std::string Remedy) {
  return Error{.Kind = Kind,
               .Message = std::move(Message),
               .Remedy = std::move(Remedy),
               .Field = std::move(Field)};
}

AdminResponse errorResponse(const Error &E, bool NotRun = true,
                            std::uint64_t ConflictingVersion = 0) {
  return {.Status = httpStatus(E.Kind),
          .Body = adminErrorBody(E, NotRun, ConflictingVersion),
          .RetryAfter = E.RetryAfter};
}

/// Resource that a target names below /admin/v1/, for example "changes"; "" for
/// another path.
std::string_view resourceName(std::string_view Target) {
  const std::string_view Path = Target.substr(0, Target.find('?'));
  return Path.starts_with(PathPrefix) ? Path.substr(PathPrefix.size())
                                      : std::string_view();
}

bool isValidOperationId(const std::string &Id) {
  return !Id.empty() && Id.size() <= MaxOperationIdLength &&
         std::all_of(Id.begin(), Id.end(),
                     [](char C) { return C > ' ' && C <= '~'; });
}

Json processStatusJson(const ProcessStatus &P) {
  const wire::MemberStatus &M = P.Member;
  Json Out{{"name", M.name()},
           {"role", M.role()},
           {"zone", M.zone()},
           {"incarnation", fmt::format("{:016x}", M.incarnation())},
           {"version", M.version()},
           {"age_ms", M.age_ms()},
           {"leaving", M.leaving()},
           {"http_address", M.http_address()}};
  if (P.Load)
    Out["load"] = Json{
        {"slots", P.Load->slots()},   {"slots_used", P.Load->slots_used()},
        {"pieces", P.Load->pieces()}, {"pieces_used", P.Load->pieces_used()},
        {"queued", P.Load->queued()}, {"step_us", P.Load->step_us()},
        {"cold", P.Load->cold()}};
  return Out;
}

/// Checks presence, type and range of the fields of a change request. The
/// contents of "value" are checked by objectFromJson.
Status checkFields(const Json &Body) {
  const auto InvalidField = [](const char *Field, const char *Remedy) {
    return makeError(ErrorKind::InvalidRequest, Field,
                     fmt::format("the field \"{}\" is missing or has the wrong "
                                 "type",
                                 Field),
                     Remedy);
  };
  if (!Body.is_object())
    return InvalidField("(document)", "send a JSON object");
  if (!Body.contains("operation_id") || !Body["operation_id"].is_string() ||
      !isValidOperationId(Body["operation_id"].get<std::string>()))
    return InvalidField("operation_id",
                        "send a new random id of up to 128 visible "
                        "ASCII characters with each change");
  for (const char *Field : {"kind", "name"})
    if (!Body.contains(Field) || !Body[Field].is_string())
      return InvalidField(Field, "send a text");
  if (!Body.contains("base_version") ||
      !Body["base_version"].is_number_integer() ||
      (!Body["base_version"].is_number_unsigned() &&
       Body["base_version"].get<std::int64_t>() < -1))
    return InvalidField("base_version",
                        "send the version that the change is based "
                        "on, 0 to create, or -1 for the current one");
  if (Body.contains("remove") && !Body["remove"].is_boolean())
    return InvalidField("remove", "send true or false");
  if (Body.contains("value") && !Body["value"].is_object())
    return InvalidField("value", "send an object");
  return {};
}

} // namespace

AdminApi::AdminApi(AdminOptions Settings, const ConfigStore &Config,
                   const Timeline &EventTimeline,
                   std::function<FleetStatus()> FleetStatusReader)
    : Options(std::move(Settings)), Store(Config), Events(EventTimeline),
      ReadFleetStatus(std::move(FleetStatusReader)) {}

AdminActions AdminApi::request(AdminRequestId RequestId,
                               const AdminRequest &Request, TimePoint Now,
                               std::int64_t UnixMs) {
  if (!authorized(Request.Authorization))
    return {SendAdminResponse{
        RequestId, errorResponse(makeError(
                       ErrorKind::Unauthenticated, "Authorization",
                       "the operator token is missing or wrong",
                       "send Authorization: Bearer TOKEN with the "
                       "token of the settings' operator_token_digest"))}};
  const std::string_view Resource = resourceName(Request.Target);
  if (Resource == "changes" && Request.Method == "POST")
    return submitChange(RequestId, Request, Now, UnixMs);
  if (Resource == "timeline" && Request.Method == "GET")
    return {SendAdminResponse{
        RequestId,
        {.Body = timelineBody(Events, Options.ProcessName, Request.Target,
                              UnixMs * 1'000)}}};
  return {SendAdminResponse{RequestId, handleRead(Request)}};
}

bool AdminApi::authorized(std::string_view Authorization) const {
  if (!Authorization.starts_with(BearerPrefix))
    return false;
  const std::string Digest = sha256(Authorization.substr(BearerPrefix.size()));
  return Digest.size() == Options.OperatorTokenDigest.size() &&
         CRYPTO_memcmp(Digest.data(), Options.OperatorTokenDigest.data(),
                       Digest.size()) == 0;
}

AdminResponse AdminApi::handleRead(const AdminRequest &Request) const {
  const std::string_view Resource = resourceName(Request.Target);
  if (Resource == "objects" && Request.Method == "GET")
    return listObjects(Request);
  if (Resource == "status" && Request.Method == "GET")
    return statusResponse();
  const bool Known = Resource == "changes" || Resource == "objects" ||
                     Resource == "status" || Resource == "timeline";
  if (Known)
    return errorResponse(
        makeError(ErrorKind::MethodNotAllowed, "method",
                  fmt::format("{} is not possible here", Request.Method),
                  Resource == "changes" ? "use POST" : "use GET"));
  return errorResponse(
      makeError(ErrorKind::NotFound, "path", "there is no such call",
                "use changes, objects, status or timeline under "
                "/admin/v1"));
}

AdminResponse AdminApi::listObjects(const AdminRequest &Request) const {
  const Query Parameters = parseQuery(Request.Target);
  const std::string KindName = queryValue(Parameters, "kind");
  const std::string Name = queryValue(Parameters, "name");
  if (!KindName.empty())
    if (auto Kind = parseObjectKind(KindName); !succeeded(Kind))
      return errorResponse(*errorOf(Kind));
  const ConfigPtr Config = Store.current();
  Json Found = Json::array();
  for (const auto &[Kind, Text] : ObjectKindNames) {
    if (!KindName.empty() && KindName != Text)
      continue;
    for (const wire::Object *O : Config->objects(Kind))
      if (Name.empty() || Name == O->name())
        Found.push_back(objectToJson(*O));
  }
  const Json Body{{"version", Config->version()}, {"objects", Found}};
  return {.Body = Body.dump()};
}

AdminResponse AdminApi::statusResponse() const {
  const FleetStatus Now = ReadFleetStatus();
  Json Processes = Json::array();
  for (const ProcessStatus &P : Now.Processes)
    Processes.push_back(processStatusJson(P));
  const Json Body{{"version", Store.current()->version()},
                  {"processes", Processes},
                  {"log_age_ms", Now.LogAge.count()},
                  {"violations", Now.Violations}};
  return {.Body = Body.dump(-1, ' ', false, Json::error_handler_t::replace)};
}

AdminActions AdminApi::submitChange(AdminRequestId RequestId,
                                    const AdminRequest &Request, TimePoint Now,
                                    std::int64_t UnixMs) {
  Result<Json> Body = parseJson(Request.Body);
  if (const Error *E = errorOf(Body)) {
    Error Invalid = *E;
    Invalid.Kind = ErrorKind::InvalidRequest;
    return {SendAdminResponse{RequestId, errorResponse(Invalid)}};
  }
  const Result<wire::LogRecord> Record =
      makeChangeRecord(valueOf(Body), UnixMs);
  if (const Error *E = errorOf(Record))
    return {SendAdminResponse{RequestId, errorResponse(*E)}};
  const std::string &Id = valueOf(Record).operation_id();
  if (const auto Known = Store.operation(Id))
    return {SendAdminResponse{RequestId,
                              operationResponse(valueOf(Record), *Known)}};
  const auto PendingIt = Pending.find(Id);
  if (PendingIt != Pending.end()) {
    PendingIt->second.RequestIds.push_back(RequestId);
    return {};
  }
  Pending[Id] = {.Record = valueOf(Record),
                 .RequestIds = {RequestId},
                 .Deadline = Now + Options.ResponseTimeout,
                 .RetryAt = std::nullopt};
  return {AppendLogRecord{Id, valueOf(Record)}};
}

Result<wire::LogRecord> AdminApi::makeChangeRecord(const nlohmann::json &Body,
                                                   std::int64_t UnixMs) const {
  if (Status S = checkFields(Body); !succeeded(S))
    return *errorOf(S);
  Result<wire::Object> Object = parseChangeObject(Body);
  if (const Error *E = errorOf(Object))
    return *E;
  wire::Object &O = valueOf(Object);
  wire::LogRecord Out;
  Out.set_operation_id(Body["operation_id"].get<std::string>());
  Out.set_author(Options.ProcessName);
  Out.set_unix_ms(UnixMs);
  wire::Change &Change = *Out.mutable_change();
  Change.set_remove(Body.value("remove", false));
  // The reducer decides whether the change conflicts with the configuration:
  // this entry may not have read the record yet that the change is based on.
  if (Body["base_version"].is_number_unsigned())
    Change.set_base_version(Body["base_version"].get<std::uint64_t>());
  else
    Change.set_base_version(
        currentVersion(*Store.current(), O.kind(), O.name()));
  fillKeyDigest(Out.operation_id(), O);
  *Change.mutable_object() = std::move(O);
  return Out;
}

Result<wire::Object>
AdminApi::parseChangeObject(const nlohmann::json &Body) const {
  const auto Kind = parseObjectKind(Body["kind"].get<std::string>());
  if (const Error *E = errorOf(Kind))
    return *E;
  return objectFromJson(valueOf(Kind), Body["name"].get<std::string>(),
                        Body.value("value", Json::object()));
}

/// Issues a key for a key object without a digest: sets the digest of the key
/// that is derived from the operation id.
void AdminApi::fillKeyDigest(const std::string &OperationId,
                             wire::Object &Object) const {
  if (Object.kind() != wire::OBJECT_KIND_KEY || !Object.key().digest().empty())
    return;
  const std::string Key = issuedKey(Options.KeySecret, OperationId);
  Object.mutable_key()->set_digest(keyDigest(Options.KeySecret, Key));
}

AdminResponse
AdminApi::operationResponse(const wire::LogRecord &Record,
                            const wire::OperationResult &Result) const {
  if (!Result.accepted())
    return errorResponse(makeError(Result.conflict()
                                       ? ErrorKind::Conflict
                                       : ErrorKind::InvalidRequest,
                                   Result.conflict() ? "base_version" : "value",
                                   Result.message(), Result.remedy()),
                         true, Result.conflicting_version());
  Json Body{{"version", Result.offset()}};
  const wire::Change &Change = Record.change();
  const wire::Object &O = Change.object();
  const std::string Key = issuedKey(Options.KeySecret, Record.operation_id());
  // The digest differs if the client supplied its own key, or if the operation
  // id was used before for another change.
  const wire::Key *Stored = Store.current()->keyByDigest(O.key().digest());
  if (!Change.remove() && Stored != nullptr && Stored->id() == O.name() &&
      O.key().digest() == keyDigest(Options.KeySecret, Key))
    Body["key"] = Key;
  return {.Body = Body.dump()};
}

AdminActions AdminApi::onAppendResult(const std::string &OperationId,
                                      const Result<std::uint64_t> &Offset,
                                      TimePoint Now) {
  const auto Found = Pending.find(OperationId);
  if (Found == Pending.end())
    return {};
  PendingChange &Change = Found->second;
  const Error *E = errorOf(Offset);
  if (E == nullptr) {
    Change.MayHaveTakenEffect = true;
    Change.RetryAt.reset();
    return onRecordsApplied();
  }
  const bool Sent = E->Kind != ErrorKind::Unavailable;
  Change.MayHaveTakenEffect = Change.MayHaveTakenEffect || Sent;
  if (!Change.MayHaveTakenEffect)
    return respondAndErase(OperationId, unavailableResponse(Change));
  Change.RetryAt = Now + Options.AppendRetryDelay;
  return {};
}

AdminActions AdminApi::onRecordsApplied() {
  AdminActions Out;
  std::vector<std::pair<std::string, AdminResponse>> Done;
  for (const auto &[Id, Change] : Pending)
    if (const auto Result = Store.operation(Id))
      Done.emplace_back(Id, operationResponse(Change.Record, *Result));
  for (const auto &[Id, Response] : Done)
    for (AdminAction &Action : respondAndErase(Id, Response))
      Out.push_back(std::move(Action));
  return Out;
}

AdminActions AdminApi::tick(TimePoint Now) {
  AdminActions Out = onRecordsApplied();
  std::vector<std::pair<std::string, AdminResponse>> Expired;
  for (auto &[Id, Change] : Pending) {
    if (Now >= Change.Deadline) {
      Expired.emplace_back(Id, unavailableResponse(Change));
    } else if (Change.RetryAt && Now >= *Change.RetryAt) {
      Change.RetryAt.reset();
      Out.push_back(AppendLogRecord{Id, Change.Record});
    }
  }
  for (const auto &[Id, Response] : Expired)
    for (AdminAction &Action : respondAndErase(Id, Response))
      Out.push_back(std::move(Action));
  return Out;
}

void AdminApi::onClientDisconnected(AdminRequestId RequestId) {
  for (auto &[Id, Change] : Pending)
    std::erase(Change.RequestIds, RequestId);
}

AdminActions AdminApi::respondAndErase(const std::string &OperationId,
                                       const AdminResponse &Response) {
  AdminActions Out;
  const auto Found = Pending.find(OperationId);
  if (Found == Pending.end())
    return Out;
  for (const AdminRequestId RequestId : Found->second.RequestIds)
    Out.push_back(SendAdminResponse{RequestId, Response});
  Pending.erase(Found);
  return Out;
}

AdminResponse AdminApi::unavailableResponse(const PendingChange &Change) const {
  Error E =
      makeError(ErrorKind::Unavailable, "",
                Change.MayHaveTakenEffect
                    ? "the log did not confirm the change in time; it may have "
                      "taken effect"
                    : "the log cannot be reached; this request changed nothing",
                "send the change again with the same operation_id, which has "
                "no second effect");
  E.RetryAfter = OutageRetryAfter;
  return errorResponse(E, !Change.MayHaveTakenEffect);
}

std::string adminErrorBody(const Error &E, bool NotRun,
                           std::uint64_t ConflictingVersion) {
  Json Out{{"code", errorCode(E.Kind)},
           {"message", E.Message},
           {"remedy", E.Remedy},
           {"not_run", NotRun}};
  if (!E.Field.empty())
    Out["field"] = E.Field;
  if (E.RetryAfter.count() > 0)
    Out["retry_after_ms"] = E.RetryAfter.count();
  if (E.Kind == ErrorKind::Conflict)
    Out["conflicting_version"] = ConflictingVersion;
  return Json{{"error", Out}}.dump(-1, ' ', false,
                                   Json::error_handler_t::replace);
}

std::string timelineBody(const Timeline &Events, std::string_view ProcessName,
                         std::string_view Target, std::int64_t NowUnixMicros) {
  const Query Parameters = parseQuery(Target);
  EventFilter Filter{.RequestId = queryValue(Parameters, "request"),
                     .Account = queryValue(Parameters, "account"),
                     .Endpoint = queryValue(Parameters, "endpoint")};
  const std::string Limit = queryValue(Parameters, "limit");
  if (!Limit.empty())
    Filter.Limit = std::strtoul(Limit.c_str(), nullptr, 10);
  return encodeTimeline(ProcessName, NowUnixMicros, Events.select(Filter));
}

} // namespace hyssoprail
