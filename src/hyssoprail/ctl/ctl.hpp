#ifndef HYSSOPRAIL_CTL_CTL_HPP
#define HYSSOPRAIL_CTL_CTL_HPP

#include <chrono>
#include <iosfwd>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/ctl/admin_client.hpp"

namespace hyssoprail::ctl {

/// Exit codes of hyssoprailctl.
enum class ExitCode {
  Success = 0,
  Differences = 1,     ///< diff found differences
  Usage = 2,           ///< the command line or a file is wrong
  Rejected = 3,        ///< the entry rejected the request
  Conflict = 4,        ///< another change came first
  Unavailable = 5,     ///< the entry or the log cannot be reached
  NotInEffect = 6,     ///< some process did not report the version in time
  Unauthenticated = 7, ///< the operator token is wrong
};

/// One line for each exit code.
std::string exitCodeHelp();

/// A field of an object's value that was given as an option.
struct GivenField {
  std::string Name; ///< the option, which is called like the field
  Json Value;
};

struct CtlOptions {
  bool JsonOutput = false;
  bool Wait = false;            ///< after changes, until they are in effect
  std::string OperationId = {}; ///< of a change that is made again; or empty
  bool Prune = false; ///< apply removes objects that are not in the file
  std::chrono::milliseconds Timeout{30'000}; ///< of waiting
  std::vector<GivenField> Fields;
};

using Words = std::vector<std::string>;

/// What commands work with.
struct Ctl {
  AdminClient &Admin;
  const CtlOptions &Options;
  std::ostream &Out;
  std::ostream &Err;
};

/// Prints an error and returns its exit code.
ExitCode report(Ctl &C, const Error &E);

/// Prints an error of the command line.
ExitCode usageError(Ctl &C, std::string Message, std::string Remedy);

/// Prints a document, or \p Text in its place for text output.
void print(Ctl &C, const Json &Document, std::string_view Text);

// Commands; \p Line holds all words of the command line.
ExitCode setObject(Ctl &C, const Words &Line);
ExitCode removeObject(Ctl &C, const Words &Line);
ExitCode issueKey(Ctl &C, const Words &Line);
ExitCode moveZone(Ctl &C, const Words &Line);
ExitCode labelObject(Ctl &C, const Words &Line);
ExitCode showObject(Ctl &C, const Words &Line);
ExitCode listObjects(Ctl &C, const Words &Line);
ExitCode applyFile(Ctl &C, const Words &Line);
ExitCode diffFile(Ctl &C, const Words &Line);
ExitCode showStatus(Ctl &C, const Words &Line);
ExitCode waitVersion(Ctl &C, const Words &Line);

/// Waits until every live process reports \p Version; names those that do not.
ExitCode waitUntilInEffect(Ctl &C, std::uint64_t Version);

/// Runs the command that \p Line names.
ExitCode runCommand(Ctl &C, const Words &Line);

/// Help for the commands that begin with \p Line; for all if it is empty.
std::string commandHelp(const Words &Line);

} // namespace hyssoprail::ctl

#endif // HYSSOPRAIL_CTL_CTL_HPP
