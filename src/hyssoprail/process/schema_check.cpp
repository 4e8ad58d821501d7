#include "hyssoprail/process/schema_check.hpp"

#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

/// Longer names and values are truncated in error messages.
constexpr std::size_t MaxShownChars = 120;

/// Longer messages of the JSON parser, which name what it read, are truncated.
constexpr std::size_t MaxParserMessageChars = 300;

std::string truncated(std::string Text, std::size_t MaxChars = MaxShownChars) {
  if (Text.size() > MaxChars)
    Text = Text.substr(0, MaxChars) + "...";
  return Text;
}

/// A value in a document and the part of the schema that applies to it.
struct SchemaLocation {
  std::string Path;
  const Json *Value;
  const Json *Subschema;
};

Error invalidSettings(std::string Field, std::string Message,
                      std::string Remedy) {
  return Error{.Kind = ErrorKind::InvalidSettings,
               .Message = std::move(Message),
               .Remedy = std::move(Remedy),
               .Field = std::move(Field)};
}

std::string joinPath(const std::string &Path, const std::string &Name) {
  return Path.empty() ? Name : Path + "." + Name;
}

std::string displayValue(const Json &Value, const Json &Subschema) {
  if (Subschema.value("writeOnly", false))
    return "(hidden)";
  return truncated(Value.dump(-1, ' ', false, Json::error_handler_t::replace));
}

std::string expectedValue(const Json &Subschema) {
  return Subschema.value("description", "a value that the schema allows");
}

/// Finds the value that valijson's context leads to. After the first element,
/// each step of the context has the form "[name]" or "[0]".
SchemaLocation locate(const Json &Document, const Json &Schema,
                      const std::vector<std::string> &Context) {
  SchemaLocation P{"", &Document, &Schema};
  for (std::size_t I = 1; I < Context.size(); ++I) {
    const std::string Step = Context[I].substr(1, Context[I].size() - 2);
    if (P.Value->is_array()) {
      P.Value = &P.Value->at(std::stoul(Step));
      P.Subschema = &P.Subschema->at("items");
    } else {
      P.Value = &P.Value->at(Step);
      P.Subschema = &P.Subschema->at("properties").at(Step);
    }
    P.Path = joinPath(P.Path, Step);
  }
  return P;
}

std::string fieldNames(const Json &Properties) {
  std::vector<std::string> Names;
  for (const auto &[Name, Subschema] : Properties.items())
    Names.push_back(Name);
  return fmt::format("{}", fmt::join(Names, ", "));
}

Error describeObjectViolation(const SchemaLocation &P) {
  const Json Properties = P.Subschema->value("properties", Json::object());
  for (const auto &[Name, Value] : P.Value->items())
    if (!Properties.contains(Name))
      return invalidSettings(
          Name.empty() ? joinPath(P.Path, "(unnamed)") : joinPath(P.Path, Name),
          fmt::format("the field \"{}\" is unknown (its value is {})",
                      truncated(joinPath(P.Path, Name)),
                      displayValue(Value, Json::object())),
          fmt::format("remove it, or use one of: {}", fieldNames(Properties)));
  for (const Json &Name : P.Subschema->value("required", Json::array())) {
    const std::string Missing = Name.get<std::string>();
    if (!P.Value->contains(Missing))
      return invalidSettings(
          joinPath(P.Path, Missing),
          fmt::format("the field \"{}\" is missing", joinPath(P.Path, Missing)),
          fmt::format("set it to {}", expectedValue(Properties.at(Missing))));
  }
  return invalidSettings(P.Path, "the document does not match its schema",
                         "compare it with the schema in schemas/");
}

Error describeViolation(const SchemaLocation &P) {
  if (P.Value->is_object() && P.Subschema->contains("properties"))
    return describeObjectViolation(P);
  const std::string Field = P.Path.empty() ? "(document)" : P.Path;
  return invalidSettings(
      Field,
      fmt::format("the field \"{}\" has the invalid value {}", Field,
                  displayValue(*P.Value, *P.Subschema)),
      fmt::format("use {}", expectedValue(*P.Subschema)));
}

/// Returns the context of the most deeply nested error, which is the most
/// precise one.
std::vector<std::string>
deepestContext(const valijson::ValidationResults &Results) {
  std::vector<std::string> Out;
  for (const valijson::ValidationResults::Error &E : Results)
    if (E.context.size() > Out.size())
      Out = E.context;
  return Out;
}

Status check(const Json &Document, const Json &Subschema) {
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(Subschema),
                        Schema);
  valijson::Validator Validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults Results;
  if (Validator.validate(
          Schema, valijson::adapters::NlohmannJsonAdapter(Document), &Results))
    return {};
  return describeViolation(
      locate(Document, Subschema, deepestContext(Results)));
}

} // namespace

Result<nlohmann::json> parseJson(std::string_view Text) {
  try {
    return Json::parse(Text);
  } catch (const Json::exception &E) {
    return invalidSettings(
        "(document)",
        fmt::format("the text is not valid JSON: {}",
                    truncated(E.what(), MaxParserMessageChars)),
        "correct the text at that position");
  }
}

Status checkAgainstSchema(const nlohmann::json &Document,
                          std::string_view Schema) {
  try {
    return check(Document, Json::parse(Schema));
  } catch (const std::exception &E) {
    // valijson and nlohmann-json throw if the schema itself is invalid.
    return invalidSettings(
        "(document)", fmt::format("the schema cannot be used: {}", E.what()),
        "report this as a bug in hyssoprail");
  }
}

} // namespace hyssoprail
