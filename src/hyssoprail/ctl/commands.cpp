#include <algorithm>
#include <array>

#include <fmt/format.h>

#include "hyssoprail/ctl/ctl.hpp"
#include "hyssoprail/ctl/object_fields.hpp"
#include "hyssoprail/version/change_rules.hpp"

namespace hyssoprail::ctl {
namespace {

/// One subcommand. Words in capitals stand for arguments; a last word that
/// ends in "..." may be repeated or absent.
struct Command {
  std::string_view Usage;
  std::string_view Summary;
  ExitCode (*Run)(Ctl &, const Words &);
  wire::ObjectKind Fields = wire::OBJECT_KIND_UNSPECIFIED; ///< its options
};

constexpr std::array<Command, 27> Commands{{
    {"account set NAME", "create or change a client account", setObject,
     wire::OBJECT_KIND_ACCOUNT},
    {"account remove NAME", "remove a client account", removeObject},
    {"key issue NAME", "issue a key; it is shown once", issueKey,
     wire::OBJECT_KIND_KEY},
    {"key withdraw NAME", "withdraw a key", removeObject},
    {"pool set NAME", "create or change a pool", setObject,
     wire::OBJECT_KIND_POOL},
    {"pool remove NAME", "remove a pool", removeObject},
    {"endpoint set NAME", "create or change an endpoint", setObject,
     wire::OBJECT_KIND_ENDPOINT},
    {"endpoint remove NAME", "remove an endpoint", removeObject},
    {"vm set NAME", "create or change a VM", setObject, wire::OBJECT_KIND_VM},
    {"vm remove NAME", "remove a VM", removeObject},
    {"label vm NAME LABEL...", "set (LABEL=VALUE) or remove (LABEL-) labels",
     labelObject},
    {"label zone NAME LABEL...", "set (LABEL=VALUE) or remove (LABEL-) labels",
     labelObject},
    {"zone set NAME", "create or change an availability zone", setObject,
     wire::OBJECT_KIND_ZONE},
    {"zone in NAME", "put a zone into service", moveZone},
    {"zone out NAME", "take a zone out of service", moveZone},
    {"zone remove NAME", "remove a zone", removeObject},
    {"selector set NAME", "create or change a selector", setObject,
     wire::OBJECT_KIND_SELECTOR},
    {"selector remove NAME", "remove a selector", removeObject},
    {"route set NAME", "create or change a route", setObject,
     wire::OBJECT_KIND_ROUTE},
    {"route remove NAME", "remove a route", removeObject},
    {"apply FILE", "bring the configuration to the state of a file", applyFile},
    {"diff FILE", "show what apply would change", diffFile},
    {"status", "show the live processes with versions and load", showStatus},
    {"wait VERSION", "wait until every live process reports a version",
     waitVersion},
    {"get KIND NAME", "show one object", showObject},
    {"list", "show all objects", listObjects},
    {"list KIND", "show the objects of a kind", listObjects},
}};

Words split(std::string_view Text) {
  Words Out;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(' '), Text.size());
    Out.emplace_back(Text.substr(0, End));
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  return Out;
}

bool isArgument(const std::string &Word) { return Word[0] < 'a'; }

/// True if the fixed words of \p Usage agree with the beginning of \p Line.
bool agrees(const Words &Usage, const Words &Line) {
  for (std::size_t I = 0; I < std::min(Usage.size(), Line.size()); ++I)
    if (!isArgument(Usage[I]) && Usage[I] != Line[I])
      return false;
  return true;
}

bool complete(const Words &Usage, const Words &Line) {
  if (Usage.back().ends_with("..."))
    return Line.size() >= Usage.size();
  return Line.size() == Usage.size();
}

std::vector<const Command *> commandsFor(const Words &Line) {
  std::vector<const Command *> Out;
  for (const Command &Row : Commands)
    if (agrees(split(Row.Usage), Line))
      Out.push_back(&Row);
  return Out;
}

std::string fieldHelp(wire::ObjectKind Kind) {
  std::string Out;
  for (const ObjectField &Field : ObjectFields)
    if (Field.Kind == Kind)
      Out += fmt::format("      --{:<18} {}\n", Field.Name, Field.Help);
  return Out;
}

} // namespace

ExitCode runCommand(Ctl &C, const Words &Line) {
  for (const Command *Row : commandsFor(Line)) {
    const Words Usage = split(Row->Usage);
    if (!complete(Usage, Line))
      continue;
    if (Row->Fields == wire::OBJECT_KIND_UNSPECIFIED &&
        !C.Options.Fields.empty())
      return usageError(C,
                        fmt::format("--{} has no meaning here",
                                    C.Options.Fields.front().Name),
                        fmt::format("see hyssoprailctl {} --help", Usage[0]));
    return Row->Run(C, Line);
  }
  return usageError(C,
                    Line.empty() ? "no command was given"
                                 : fmt::format("\"{}\" is no complete command",
                                               fmt::join(Line, " ")),
                    "see hyssoprailctl --help");
}

std::string commandHelp(const Words &Line) {
  std::string Out = "Usage: hyssoprailctl COMMAND --entry IP:PORT [options]\n\n"
                    "Commands:\n";
  for (const Command *Row : commandsFor(Line)) {
    Out += fmt::format("  {:<26} {}\n", Row->Usage, Row->Summary);
    if (!Line.empty() && Row->Fields != wire::OBJECT_KIND_UNSPECIFIED)
      Out += fieldHelp(Row->Fields);
  }
  Out += "\nCommon options:\n"
         "  --entry IP:PORT       admin port of any entry\n"
         "  --token TOKEN         operator token; better in the environment "
         "as HYSSOPRAIL_TOKEN\n"
         "  --output text|json    form of the output (text)\n"
         "  --wait                after a change, wait until it is in effect\n"
         "  --timeout_ms N        longest wait (30000)\n"
         "  --operation_id ID     repeat a change whose result is unknown\n"
         "  --prune               apply: remove objects that are not in the "
         "file\n"
         "\nA file for apply and diff is one JSON document with the objects by "
         "kind and name:\n"
         "  {\"account\": {\"acme\": {\"rate\": 100, \"burst\": 500}}, ...}\n"
         "Kinds that it does not name are left alone.\n"
         "\nExit codes:\n" +
         exitCodeHelp();
  return Out;
}

} // namespace hyssoprail::ctl
