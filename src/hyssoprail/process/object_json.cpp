#include "hyssoprail/process/object_json.hpp"

#include <fmt/format.h>
#include <google/protobuf/util/json_util.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/version/change_rules.hpp"

namespace hyssoprail {
namespace {

using Json = nlohmann::json;
using google::protobuf::Message;

/// Name of the field of wire::Object that holds the value of a kind.
std::string kindFieldName(wire::ObjectKind Kind) {
  return std::string(enumName(ObjectKindNames, Kind));
}

/// Returns the value of \p Object, creating it if it is absent.
Message *mutableValue(wire::Object &Object) {
  const auto *Field =
      wire::Object::descriptor()->FindFieldByName(kindFieldName(Object.kind()));
  return wire::Object::GetReflection()->MutableMessage(&Object, Field);
}

/// Sets the name inside the value. It is field 1 in every kind of object and is
/// called "id" in keys.
void setName(Message &Value, const std::string &Name) {
  const auto *Field = Value.GetDescriptor()->FindFieldByNumber(1);
  Value.GetReflection()->SetString(&Value, Field, Name);
}

std::string nameOf(const Message &Value) {
  const auto *Field = Value.GetDescriptor()->FindFieldByNumber(1);
  return Value.GetReflection()->GetString(Value, Field);
}

Error invalidRequest(std::string Field, std::string Message,
                     std::string Remedy) {
  return Error{.Kind = ErrorKind::InvalidRequest,
               .Message = std::move(Message),
               .Remedy = std::move(Remedy),
               .Field = std::move(Field)};
}

std::string fieldList(const Message &Value) {
  std::string Out;
  for (int I = 0; I < Value.GetDescriptor()->field_count(); ++I)
    Out += (I == 0 ? "" : ", ") + Value.GetDescriptor()->field(I)->name();
  return Out;
}

} // namespace

Result<wire::ObjectKind> parseObjectKind(std::string_view Name) {
  if (const auto Kind = enumFromName(ObjectKindNames, Name))
    return *Kind;
  return invalidRequest("kind",
                        fmt::format("unknown kind of object \"{}\"", Name),
                        "use zone, vm, account, key, pool, endpoint, route or "
                        "selector");
}

Result<wire::Object> objectFromJson(wire::ObjectKind Kind,
                                    const std::string &Name,
                                    const nlohmann::json &Value) {
  wire::Object Out;
  Out.set_kind(Kind);
  Out.set_name(Name);
  Message *Target = mutableValue(Out);
  const std::string Text =
      Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  const auto Parsed = google::protobuf::util::JsonStringToMessage(Text, Target);
  if (!Parsed.ok())
    return invalidRequest("value",
                          fmt::format("the value of {} \"{}\" is wrong: {}",
                                      kindFieldName(Kind), Name,
                                      std::string(Parsed.message())),
                          fmt::format("use the fields {}", fieldList(*Target)));
  if (nameOf(*Target).empty())
    setName(*Target, Name);
  return Out;
}

nlohmann::json objectToJson(const wire::Object &Object) {
  google::protobuf::util::JsonPrintOptions Options;
  Options.preserve_proto_field_names = true;
  Options.always_print_primitive_fields = true;
  std::string Text;
  wire::Object Copy = Object;
  const auto Printed = google::protobuf::util::MessageToJsonString(
      *mutableValue(Copy), &Text, Options);
  return Json{{"kind", kindFieldName(Object.kind())},
              {"name", Object.name()},
              {"version", Object.version()},
              {"value", Printed.ok() ? Json::parse(Text, nullptr, false)
                                     : Json::object()}};
}

} // namespace hyssoprail
