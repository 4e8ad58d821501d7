#include <algorithm>
#include <cctype>

#include <fmt/format.h>

#include "hyssoprail/ctl/ctl.hpp"
#include "hyssoprail/ctl/object_fields.hpp"
#include "hyssoprail/process/object_json.hpp"
#include "hyssoprail/version/change_rules.hpp"

namespace hyssoprail::ctl {
namespace {

std::string kindName(wire::ObjectKind Kind) {
  return std::string(enumName(ObjectKindNames, Kind));
}

Error usage(std::string Message, std::string Remedy) {
  return Error{.Kind = ErrorKind::InvalidSettings,
               .Message = std::move(Message),
               .Remedy = std::move(Remedy),
               .Field = {}};
}

Error missing(wire::ObjectKind Kind, const std::string &Name) {
  return Error{
      .Kind = ErrorKind::NotFound,
      .Message = fmt::format("{} \"{}\" does not exist", kindName(Kind), Name),
      .Remedy = fmt::format("see hyssoprailctl list {}", kindName(Kind)),
      .Field = "name"};
}

const ObjectField *findField(wire::ObjectKind Kind, std::string_view Name) {
  for (const ObjectField &Field : ObjectFields)
    if (Field.Kind == Kind && Field.Name == Name)
      return &Field;
  return nullptr;
}

/// Full enumerator of a short name: "decode" gives ENDPOINT_ROLE_DECODE.
Json enumerator(std::string_view Prefix, const Json &Short) {
  std::string Out = Short.get<std::string>();
  std::transform(Out.begin(), Out.end(), Out.begin(), [](unsigned char C) {
    return static_cast<char>(std::toupper(C));
  });
  return Out.starts_with(Prefix) ? Out : std::string(Prefix) + Out;
}

/// The given options as fields of a value. Fails if one does not belong to the
/// kind.
Result<Json> givenValue(const CtlOptions &Options, wire::ObjectKind Kind) {
  Json Out = Json::object();
  for (const GivenField &Given : Options.Fields) {
    const ObjectField *Field = findField(Kind, Given.Name);
    if (Field == nullptr)
      return usage(
          fmt::format("--{} does not belong to {}", Given.Name, kindName(Kind)),
          fmt::format("see hyssoprailctl {} --help", kindName(Kind)));
    Out[Given.Name] = Field->EnumPrefix.empty()
                          ? Given.Value
                          : enumerator(Field->EnumPrefix, Given.Value);
  }
  return Out;
}

/// Makes a change, prints its result and waits if asked to.
ExitCode commit(Ctl &C, ChangeRequest Change, std::string_view Verb) {
  Change.OperationId = C.Options.OperationId;
  const Result<ChangeResult> Done = C.Admin.change(Change);
  if (const Error *E = errorOf(Done))
    return report(C, *E);
  const ChangeResult &Result = valueOf(Done);
  Json Document{{"kind", kindName(Change.Kind)},
                {"name", Change.Name},
                {"version", Result.Version}};
  std::string Text =
      fmt::format("{} {} {} at version {}\n", kindName(Change.Kind),
                  Change.Name, Verb, Result.Version);
  if (!Result.Key.empty()) {
    Document["key"] = Result.Key;
    Text += fmt::format("key: {}\nThe key is not stored and is shown only "
                        "now.\n",
                        Result.Key);
  }
  print(C, Document, Text);
  return C.Options.Wait ? waitUntilInEffect(C, Result.Version)
                        : ExitCode::Success;
}

/// Changes an existing object by \p Edit of its value.
template <typename Edit>
ExitCode editObject(Ctl &C, wire::ObjectKind Kind, const std::string &Name,
                    Edit EditValue) {
  const Result<Json> Stored = C.Admin.object(Kind, Name);
  if (const Error *E = errorOf(Stored))
    return report(C, *E);
  if (valueOf(Stored).is_null())
    return report(C, missing(Kind, Name));
  Json Value = valueOf(Stored)["value"];
  EditValue(Value);
  return commit(C,
                {.Kind = Kind,
                 .Name = Name,
                 .BaseVersion = valueOf(Stored)["version"],
                 .Value = Value},
                "changed");
}

std::string objectText(const Json &Object) {
  return fmt::format("{:<9} {:<24} version {:<8} {}\n",
                     Object["kind"].get<std::string>(),
                     Object["name"].get<std::string>(),
                     Object["version"].dump(), Object["value"].dump());
}

} // namespace

ExitCode setObject(Ctl &C, const Words &Line) {
  const wire::ObjectKind Kind = valueOf(parseObjectKind(Line[0]));
  const Result<Json> Given = givenValue(C.Options, Kind);
  if (const Error *E = errorOf(Given))
    return report(C, *E);
  const Result<Json> Stored = C.Admin.object(Kind, Line[2]);
  if (const Error *E = errorOf(Stored))
    return report(C, *E);
  ChangeRequest Change{.Kind = Kind, .Name = Line[2], .Value = Json::object()};
  const bool Exists = !valueOf(Stored).is_null();
  if (Exists) {
    Change.BaseVersion = valueOf(Stored)["version"];
    Change.Value = valueOf(Stored)["value"];
  }
  Change.Value.update(valueOf(Given));
  return commit(C, Change, Exists ? "changed" : "created");
}

ExitCode removeObject(Ctl &C, const Words &Line) {
  const wire::ObjectKind Kind = valueOf(parseObjectKind(Line[0]));
  const Result<Json> Stored = C.Admin.object(Kind, Line[2]);
  if (const Error *E = errorOf(Stored))
    return report(C, *E);
  if (valueOf(Stored).is_null())
    return report(C, missing(Kind, Line[2]));
  return commit(C,
                {.Kind = Kind,
                 .Name = Line[2],
                 .BaseVersion = valueOf(Stored)["version"],
                 .Remove = true},
                "removed");
}

ExitCode issueKey(Ctl &C, const Words &Line) {
  const Result<Json> Given = givenValue(C.Options, wire::OBJECT_KIND_KEY);
  if (const Error *E = errorOf(Given))
    return report(C, *E);
  return commit(
      C,
      {.Kind = wire::OBJECT_KIND_KEY, .Name = Line[2], .Value = valueOf(Given)},
      "issued");
}

ExitCode moveZone(Ctl &C, const Words &Line) {
  return editObject(C, wire::OBJECT_KIND_ZONE, Line[2],
                    [&](Json &Value) { Value["out"] = Line[1] == "out"; });
}

ExitCode labelObject(Ctl &C, const Words &Line) {
  const bool OfVm = Line[1] == "vm";
  if (!OfVm && Line[1] != "zone")
    return usageError(C, fmt::format("{} has no labels", Line[1]),
                      "use label vm NAME or label zone NAME");
  for (std::size_t I = 3; I < Line.size(); ++I)
    if (Line[I].find('=') == std::string::npos && !Line[I].ends_with('-'))
      return usageError(C, fmt::format("\"{}\" is no label", Line[I]),
                        "use LABEL=VALUE to set and LABEL- to remove");
  return editObject(C, OfVm ? wire::OBJECT_KIND_VM : wire::OBJECT_KIND_ZONE,
                    Line[2], [&](Json &Value) {
                      if (!Value["labels"].is_object())
                        Value["labels"] = Json::object();
                      for (std::size_t I = 3; I < Line.size(); ++I) {
                        const std::size_t Equals = Line[I].find('=');
                        if (Equals == std::string::npos)
                          Value["labels"].erase(
                              Line[I].substr(0, Line[I].size() - 1));
                        else
                          Value["labels"][Line[I].substr(0, Equals)] =
                              Line[I].substr(Equals + 1);
                      }
                    });
}

ExitCode showObject(Ctl &C, const Words &Line) {
  const auto Kind = parseObjectKind(Line[1]);
  if (const Error *E = errorOf(Kind))
    return usageError(C, E->Message, E->Remedy);
  const Result<Json> Found = C.Admin.object(valueOf(Kind), Line[2]);
  if (const Error *E = errorOf(Found))
    return report(C, *E);
  if (valueOf(Found).is_null())
    return report(C, missing(valueOf(Kind), Line[2]));
  print(C, valueOf(Found), objectText(valueOf(Found)));
  return ExitCode::Success;
}

ExitCode listObjects(Ctl &C, const Words &Line) {
  std::optional<wire::ObjectKind> Kind;
  if (Line.size() > 1) {
    const auto Parsed = parseObjectKind(Line[1]);
    if (const Error *E = errorOf(Parsed))
      return usageError(C, E->Message, E->Remedy);
    Kind = valueOf(Parsed);
  }
  const Result<std::vector<Json>> Found = C.Admin.objects(Kind);
  if (const Error *E = errorOf(Found))
    return report(C, *E);
  std::string Text;
  for (const Json &Object : valueOf(Found))
    Text += objectText(Object);
  print(C, Json(valueOf(Found)), Text);
  return ExitCode::Success;
}

} // namespace hyssoprail::ctl
