#include <array>
#include <ostream>

#include <fmt/format.h>

#include "hyssoprail/ctl/ctl.hpp"

namespace hyssoprail::ctl {
namespace {

struct ExitCodeRow {
  ExitCode Code;
  const char *Help;
};

constexpr std::array<ExitCodeRow, 8> ExitCodes{{
    {ExitCode::Success, "done"},
    {ExitCode::Differences, "diff found differences"},
    {ExitCode::Usage, "the command line or a file is wrong"},
    {ExitCode::Rejected, "the entry rejected the request"},
    {ExitCode::Conflict, "another change came first; its version is named"},
    {ExitCode::Unavailable, "the entry or the log cannot be reached"},
    {ExitCode::NotInEffect, "a process did not report the version in time"},
    {ExitCode::Unauthenticated, "the operator token is missing or wrong"},
}};

ExitCode exitCodeOf(ErrorKind Kind) {
  switch (Kind) {
  case ErrorKind::Unauthenticated:
    return ExitCode::Unauthenticated;
  case ErrorKind::Conflict:
    return ExitCode::Conflict;
  case ErrorKind::Unavailable:
    return ExitCode::Unavailable;
  case ErrorKind::InvalidSettings:
    return ExitCode::Usage;
  case ErrorKind::DeadlineExceeded:
    return ExitCode::NotInEffect;
  default:
    return ExitCode::Rejected;
  }
}

} // namespace

std::string exitCodeHelp() {
  std::string Out;
  for (const ExitCodeRow &Row : ExitCodes)
    Out += fmt::format("  {}  {}\n", static_cast<int>(Row.Code), Row.Help);
  return Out;
}

ExitCode report(Ctl &C, const Error &E) {
  if (C.Options.JsonOutput) {
    const Json Body{{"code", errorCode(E.Kind)},
                    {"message", E.Message},
                    {"remedy", E.Remedy},
                    {"field", E.Field}};
    C.Err << Json{{"error", Body}}.dump() << '\n';
  } else {
    C.Err << fmt::format("error: {}\nremedy: {}\n", E.Message, E.Remedy);
  }
  return exitCodeOf(E.Kind);
}

ExitCode usageError(Ctl &C, std::string Message, std::string Remedy) {
  return report(C, {.Kind = ErrorKind::InvalidSettings,
                    .Message = std::move(Message),
                    .Remedy = std::move(Remedy),
                    .Field = {}});
}

void print(Ctl &C, const Json &Document, std::string_view Text) {
  if (C.Options.JsonOutput)
    C.Out << Document.dump() << '\n';
  else
    C.Out << Text;
}

} // namespace hyssoprail::ctl
