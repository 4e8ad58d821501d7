#include <cstdlib>
#include <iostream>
#include <set>
#include <thread>

#include <gflags/gflags.h>

#include "hyssoprail/ctl/ctl.hpp"
#include "hyssoprail/ctl/object_fields.hpp"

DEFINE_string(entry, "", "IP:PORT of an entry's admin port");
DEFINE_string(token, "", "operator token; default: HYSSOPRAIL_TOKEN");
DEFINE_string(output, "text", "text or json");
DEFINE_bool(wait, false, "after a change, wait until it is in effect");
DEFINE_bool(prune, false, "apply: remove objects that are not in the file");
DEFINE_string(operation_id, "", "id of a change that is made again");
DEFINE_int32(timeout_ms, 30'000, "longest wait in milliseconds");
DEFINE_string(region, "", "zone");
DEFINE_string(zone, "", "vm");
DEFINE_double(rate, 0, "account");
DEFINE_double(burst, 0, "account");
DEFINE_string(account, "", "key, selector");
DEFINE_string(kind, "", "pool");
DEFINE_string(model, "", "pool, route");
DEFINE_string(pool, "", "endpoint, route");
DEFINE_string(role, "", "endpoint");
DEFINE_string(agent_address, "", "endpoint");
DEFINE_string(vm, "", "endpoint");
DEFINE_bool(checks_fencing, false, "endpoint");
DEFINE_string(model_version, "", "endpoint");
DEFINE_bool(leaving, false, "endpoint");
DEFINE_string(route, "", "selector");
DEFINE_string(expression, "", "selector");
DEFINE_string(path_prefix, "", "route");
DEFINE_string(route_class, "", "route");
DEFINE_bool(repeatable, false, "route");
DEFINE_bool(open, false, "route");
DEFINE_uint32(first_token_ms, 0, "route");
DEFINE_uint32(between_tokens_ms, 0, "route");
DEFINE_uint32(call_tokens, 0, "route");

namespace hyssoprail::ctl {
namespace {

constexpr std::chrono::milliseconds CallTimeout{15'000};

/// Value of a flag that was given on the command line.
Json flagValue(const gflags::CommandLineFlagInfo &Info) {
  if (Info.type == "string")
    return Info.current_value;
  Json Value = Json::parse(Info.current_value, nullptr, false);
  // gflags reads "nan" as a number, JSON does not; the entry rejects the text.
  return Value.is_discarded() ? Json(Info.current_value) : Value;
}

std::vector<GivenField> givenFields() {
  std::vector<GivenField> Out;
  std::set<std::string_view> Seen;
  for (const ObjectField &Field : ObjectFields) {
    const auto Info =
        gflags::GetCommandLineFlagInfoOrDie(std::string(Field.Name).c_str());
    if (!Info.is_default && Seen.insert(Field.Name).second)
      Out.push_back({Info.name, flagValue(Info)});
  }
  return Out;
}

std::string operatorToken() {
  if (!FLAGS_token.empty())
    return FLAGS_token;
  const char *FromEnvironment = std::getenv("HYSSOPRAIL_TOKEN");
  return FromEnvironment != nullptr ? FromEnvironment : "";
}

/// Checks what all commands need.
ExitCode run(Ctl &C, const Words &Line, const std::string &Token) {
  if (FLAGS_output != "text" && FLAGS_output != "json")
    return usageError(C, "--output is neither text nor json",
                      "use --output text or --output json");
  if (FLAGS_entry.empty())
    return usageError(C, "no entry was given", "add --entry IP:PORT");
  if (Token.empty())
    return usageError(C, "no operator token was given",
                      "set HYSSOPRAIL_TOKEN, or add --token TOKEN");
  return runCommand(C, Line);
}

int mainOf(const Words &Line) {
  const CtlOptions Options{.JsonOutput = FLAGS_output == "json",
                           .Wait = FLAGS_wait,
                           .OperationId = FLAGS_operation_id,
                           .Prune = FLAGS_prune,
                           .Timeout =
                               std::chrono::milliseconds(FLAGS_timeout_ms),
                           .Fields = givenFields()};
  RandomSource Random(systemSeed());
  const std::string Token = operatorToken();
  AdminClient Admin(makeHttpTransport(FLAGS_entry, CallTimeout), Token, Random,
                    [](std::chrono::milliseconds Time) {
                      std::this_thread::sleep_for(Time);
                    });
  Ctl C{Admin, Options, std::cout, std::cerr};
  try {
    return static_cast<int>(run(C, Line, Token));
  } catch (const Json::exception &E) {
    return static_cast<int>(
        usageError(C, E.what(),
                   "use UTF-8 text, and an entry of the same version as this "
                   "program"));
  }
}

} // namespace
} // namespace hyssoprail::ctl

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineNonHelpFlags(&Argc, &Argv, true);
  const hyssoprail::ctl::Words Line(Argv + 1, Argv + Argc);
  if (gflags::GetCommandLineFlagInfoOrDie("help").current_value == "true") {
    std::cout << hyssoprail::ctl::commandHelp(Line);
    return 0;
  }
  return hyssoprail::ctl::mainOf(Line);
}
