#include <fstream>
#include <iterator>
#include <map>

#include <fmt/format.h>

#include "hyssoprail/ctl/ctl.hpp"
#include "hyssoprail/process/object_json.hpp"
#include "hyssoprail/process/schema_check.hpp"
#include "hyssoprail/version/change_rules.hpp"
#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::ctl {
namespace {

/// A change that brings one object to the state of the file.
struct PlannedChange {
  ChangeRequest Change;
  Json Before; ///< null if the object is new
};

using Plan = std::vector<PlannedChange>;

Error fileError(std::string Message, std::string Remedy, std::string Field) {
  return Error{.Kind = ErrorKind::InvalidSettings,
               .Message = std::move(Message),
               .Remedy = std::move(Remedy),
               .Field = std::move(Field)};
}

Result<Json> readDocument(const std::string &Name) {
  std::ifstream In(Name, std::ios::binary);
  if (!In)
    return fileError(fmt::format("the file \"{}\" cannot be read", Name),
                     "name a file with a configuration in JSON", "FILE");
  const std::string Text{std::istreambuf_iterator<char>(In), {}};
  Result<Json> Document = parseJson(Text);
  if (!succeeded(Document))
    return Document;
  if (!valueOf(Document).is_object())
    return fileError("the file holds no JSON object",
                     R"(write {"account": {"NAME": {"rate": 100}}, ...})",
                     "FILE");
  for (const auto &[Kind, Objects] : valueOf(Document).items()) {
    if (!enumFromName(ObjectKindNames, Kind))
      return fileError(fmt::format("\"{}\" is no kind of object", Kind),
                       "use zone, vm, account, key, pool, endpoint, route or "
                       "selector",
                       Kind);
    if (!Objects.is_object())
      return fileError(fmt::format("\"{}\" holds no JSON object", Kind),
                       "write values by name", Kind);
  }
  return Document;
}

/// Parses a stored object as the admin API shows it.
Result<wire::Object> parseStored(wire::ObjectKind Kind, const Json &Stored) {
  return objectFromJson(Kind, Stored["name"].get<std::string>(),
                        Stored["value"]);
}

/// Adds the change for one object of the file, if it differs from \p Stored.
Status planObject(wire::ObjectKind Kind, const std::string &Name,
                  const Json &Value, const Json &Stored, Plan &Out) {
  Result<wire::Object> Wanted = objectFromJson(Kind, Name, Value);
  if (const Error *E = errorOf(Wanted))
    return *E;
  ChangeRequest Change{.Kind = Kind, .Name = Name, .Value = Value};
  if (!Stored.is_null()) {
    const Result<wire::Object> Now = parseStored(Kind, Stored);
    if (const Error *E = errorOf(Now))
      return *E;
    // A file names the account of a key; its digest stays as it is.
    if (Kind == wire::OBJECT_KIND_KEY && !Value.contains("digest")) {
      const std::string &Digest = valueOf(Now).key().digest();
      valueOf(Wanted).mutable_key()->set_digest(Digest);
      Change.Value["digest"] = Digest;
    }
    if (encodeStable(valueOf(Wanted)) == encodeStable(valueOf(Now)))
      return {};
    Change.BaseVersion = Stored["version"];
  }
  Out.push_back({Change, Stored});
  return {};
}

/// Stored objects of one kind by name.
std::map<std::string, Json> byName(const std::vector<Json> &Objects,
                                   std::string_view Kind) {
  std::map<std::string, Json> Out;
  for (const Json &Object : Objects)
    if (Object["kind"] == Kind)
      Out[Object["name"]] = Object;
  return Out;
}

/// Creations and changes in the order of references, then removals in the
/// opposite order. Kinds that the file does not name are left alone.
Result<Plan> makePlan(const Json &Document, const std::vector<Json> &Stored) {
  Plan Out;
  Plan Removals;
  for (const auto &[Kind, KindName] : ObjectKindNames) {
    if (!Document.contains(KindName))
      continue;
    auto Present = byName(Stored, KindName);
    for (const auto &[Name, Value] : Document[KindName].items()) {
      const auto Found = Present.find(Name);
      const Json Now = Found == Present.end() ? Json() : Found->second;
      if (Status S = planObject(Kind, Name, Value, Now, Out); !succeeded(S))
        return *errorOf(S);
      Present.erase(Name);
    }
    for (const auto &[Name, Object] : Present)
      Removals.insert(Removals.begin(), {{.Kind = Kind,
                                          .Name = Name,
                                          .BaseVersion = Object["version"],
                                          .Remove = true},
                                         Object});
  }
  Out.insert(Out.end(), Removals.begin(), Removals.end());
  return Out;
}

Result<Plan> planFor(Ctl &C, const std::string &File) {
  const Result<Json> Document = readDocument(File);
  if (const Error *E = errorOf(Document))
    return *E;
  const Result<std::vector<Json>> Stored = C.Admin.objects(std::nullopt);
  if (const Error *E = errorOf(Stored))
    return *E;
  return makePlan(valueOf(Document), valueOf(Stored));
}

std::string_view verb(const PlannedChange &P) {
  if (P.Change.Remove)
    return "remove";
  return P.Before.is_null() ? "create" : "change";
}

Json planRow(const PlannedChange &P) {
  return {{"action", verb(P)},
          {"kind", enumName(ObjectKindNames, P.Change.Kind)},
          {"name", P.Change.Name},
          {"base_version", P.Change.BaseVersion},
          {"before", P.Before.is_null() ? Json() : P.Before["value"]},
          {"after", P.Change.Remove ? Json() : P.Change.Value}};
}

std::string planText(const PlannedChange &P) {
  std::string Out =
      fmt::format("{} {} {}\n", verb(P),
                  enumName(ObjectKindNames, P.Change.Kind), P.Change.Name);
  if (!P.Before.is_null())
    Out += fmt::format("  - {}\n", P.Before["value"].dump());
  if (!P.Change.Remove)
    Out += fmt::format("  + {}\n", P.Change.Value.dump());
  return Out;
}

/// Makes the changes one by one; stops at the first that fails.
ExitCode commitPlan(Ctl &C, const Plan &Changes) {
  Json Rows = Json::array();
  std::string Text;
  std::uint64_t Version = 0;
  std::size_t Kept = 0;
  ExitCode Code = ExitCode::Success;
  for (const PlannedChange &P : Changes) {
    if (P.Change.Remove && !C.Options.Prune) {
      ++Kept;
      continue;
    }
    const Result<ChangeResult> Done = C.Admin.change(P.Change);
    if (const Error *E = errorOf(Done)) {
      Code = report(C, *E);
      break;
    }
    Version = valueOf(Done).Version;
    Json Row = planRow(P);
    Row["version"] = Version;
    Text += fmt::format("{} {} {} at version {}\n", verb(P),
                        enumName(ObjectKindNames, P.Change.Kind), P.Change.Name,
                        Version);
    if (!valueOf(Done).Key.empty()) {
      Row["key"] = valueOf(Done).Key;
      Text += fmt::format("key: {}\n", valueOf(Done).Key);
    }
    Rows.push_back(Row);
  }
  if (Kept > 0)
    Text += fmt::format("{} objects are not in the file and were kept; "
                        "--prune removes them\n",
                        Kept);
  print(C, Json{{"changes", Rows}, {"kept", Kept}, {"version", Version}}, Text);
  if (Code == ExitCode::Success && C.Options.Wait && Version > 0)
    return waitUntilInEffect(C, Version);
  return Code;
}

} // namespace

ExitCode applyFile(Ctl &C, const Words &Line) {
  if (!C.Options.OperationId.empty())
    return usageError(C, "--operation_id has no meaning for several changes",
                      "run apply again without it; what was applied is not "
                      "repeated");
  const Result<Plan> Changes = planFor(C, Line[1]);
  if (const Error *E = errorOf(Changes))
    return report(C, *E);
  return commitPlan(C, valueOf(Changes));
}

ExitCode diffFile(Ctl &C, const Words &Line) {
  const Result<Plan> Changes = planFor(C, Line[1]);
  if (const Error *E = errorOf(Changes))
    return report(C, *E);
  Json Rows = Json::array();
  std::string Text;
  for (const PlannedChange &P : valueOf(Changes)) {
    Rows.push_back(planRow(P));
    Text += planText(P);
  }
  print(C, Rows, Text);
  return Rows.empty() ? ExitCode::Success : ExitCode::Differences;
}

} // namespace hyssoprail::ctl
