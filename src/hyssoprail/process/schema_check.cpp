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

constexpr std::size_t MaxShownValue = 120; // characters of a wrong value

/// A place in a document with the part of the schema that describes it.
struct Place {
  std::string Path;
  const Json *Value;
  const Json *Rules;
};

Error invalidSettings(std::string Field, std::string Message,
                      std::string Remedy) {
  return Error{.Kind = ErrorKind::InvalidSettings,
               .Message = std::move(Message),
               .Remedy = std::move(Remedy),
               .Field = std::move(Field)};
}

std::string joined(const std::string &Path, const std::string &Name) {
  return Path.empty() ? Name : Path + "." + Name;
}

std::string shown(const Json &Value, const Json &Rules) {
  if (Rules.value("writeOnly", false))
    return "(hidden)";
  std::string Text = Value.dump(-1, ' ', false, Json::error_handler_t::replace);
  if (Text.size() > MaxShownValue)
    Text = Text.substr(0, MaxShownValue) + "...";
  return Text;
}

std::string described(const Json &Rules) {
  return Rules.value("description", "a value that the schema allows");
}

/// Follows valijson's context, whose steps look like "[name]" or "[0]".
Place locate(const Json &Document, const Json &Schema,
             const std::vector<std::string> &Context) {
  Place P{"", &Document, &Schema};
  for (std::size_t I = 1; I < Context.size(); ++I) {
    const std::string Step = Context[I].substr(1, Context[I].size() - 2);
    if (P.Value->is_array()) {
      P.Value = &P.Value->at(std::stoul(Step));
      P.Rules = &P.Rules->at("items");
    } else {
      P.Value = &P.Value->at(Step);
      P.Rules = &P.Rules->at("properties").at(Step);
    }
    P.Path = joined(P.Path, Step);
  }
  return P;
}

std::string knownFields(const Json &Properties) {
  std::vector<std::string> Names;
  for (const auto &[Name, Rules] : Properties.items())
    Names.push_back(Name);
  return fmt::format("{}", fmt::join(Names, ", "));
}

Error describeObject(const Place &P) {
  const Json Properties = P.Rules->value("properties", Json::object());
  for (const auto &[Name, Value] : P.Value->items())
    if (!Properties.contains(Name))
      return invalidSettings(
          joined(P.Path, Name),
          fmt::format("the field \"{}\" is unknown (its value is {})",
                      joined(P.Path, Name), shown(Value, Json::object())),
          fmt::format("remove it, or use one of: {}", knownFields(Properties)));
  for (const Json &Name : P.Rules->value("required", Json::array())) {
    const std::string Missing = Name.get<std::string>();
    if (!P.Value->contains(Missing))
      return invalidSettings(
          joined(P.Path, Missing),
          fmt::format("the field \"{}\" is missing", joined(P.Path, Missing)),
          fmt::format("set it to {}", described(Properties.at(Missing))));
  }
  return invalidSettings(P.Path, "the document does not match its schema",
                         "compare it with the schema in schemas/");
}

Error describe(const Place &P) {
  if (P.Value->is_object() && P.Rules->contains("properties"))
    return describeObject(P);
  const std::string Field = P.Path.empty() ? "(document)" : P.Path;
  return invalidSettings(Field,
                         fmt::format("the field \"{}\" has the wrong value {}",
                                     Field, shown(*P.Value, *P.Rules)),
                         fmt::format("use {}", described(*P.Rules)));
}

/// The error of the deepest field is the most precise one.
std::vector<std::string> deepest(const valijson::ValidationResults &Results) {
  std::vector<std::string> Out;
  for (const valijson::ValidationResults::Error &E : Results)
    if (E.context.size() > Out.size())
      Out = E.context;
  return Out;
}

Status check(const Json &Document, const Json &Rules) {
  valijson::Schema Schema;
  valijson::SchemaParser Parser;
  Parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(Rules), Schema);
  valijson::Validator Validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults Results;
  if (Validator.validate(
          Schema, valijson::adapters::NlohmannJsonAdapter(Document), &Results))
    return {};
  return describe(locate(Document, Rules, deepest(Results)));
}

} // namespace

Result<nlohmann::json> parseJson(std::string_view Text) {
  try {
    return Json::parse(Text);
  } catch (const Json::exception &E) {
    return invalidSettings("(document)",
                           fmt::format("the text is not JSON: {}", E.what()),
                           "correct the text at the position named");
  }
}

Status checkAgainstSchema(const nlohmann::json &Document,
                          std::string_view Schema) {
  try {
    return check(Document, Json::parse(Schema));
  } catch (const std::exception &E) {
    // valijson and nlohmann-json throw on faults of the schema itself.
    return invalidSettings(
        "(document)", fmt::format("the schema cannot be used: {}", E.what()),
        "report this as a defect of the program");
  }
}

} // namespace hyssoprail
