#ifndef HYSSOPRAIL_TESTBED_CHILD_PROCESS_HPP
#define HYSSOPRAIL_TESTBED_CHILD_PROCESS_HPP

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

#include "hyssoprail/core/result.hpp"

namespace hyssoprail::testbed {

/// A program started by a test or an experiment. It is killed by its process
/// id when this object goes away, and by the kernel if the parent dies.
///
/// \code
///   ChildProcess Child("build/standin-platform", {"--port=0"},
///   "platform.log"); if (const Error *E = errorOf(Child.start())) ...
///   Child.ready().at("http"); // port from the ready line
/// \endcode
class ChildProcess {
public:
  /// \p LogFile receives standard error.
  ChildProcess(std::string Program, std::vector<std::string> Arguments,
               std::string LogFile);
  ~ChildProcess();

  ChildProcess(const ChildProcess &) = delete;
  ChildProcess &operator=(const ChildProcess &) = delete;

  /// Starts the program and waits for its ready line. Fails with Conflict if it
  /// runs already: nothing would end the first one. Must be called on a thread
  /// that outlives the program.
  Status start();

  /// Fields of the ready line, for example {"http": "8080"}.
  const std::map<std::string, std::string> &ready() const { return Ready; }

  /// Replaces an argument for the next start.
  void replaceArgument(const std::string &Old, const std::string &New);

  /// Sends \p Signal if the program runs.
  void signal(int Signal) const;

  /// Waits until the program ended; returns its wait status, or nothing when
  /// \p Timeout passed first.
  std::optional<int> wait(std::chrono::milliseconds Timeout);

  /// Kills the program at once and reaps it.
  void kill();

  bool running();
  pid_t pid() const { return Pid; }

private:
  Status readReadyLine();

  std::string Program;
  std::vector<std::string> Arguments;
  std::string LogFile;
  pid_t Pid = -1;
  int OutputPipe = -1;
  std::optional<int> EndStatus;
  std::map<std::string, std::string> Ready;
};

} // namespace hyssoprail::testbed

#endif // HYSSOPRAIL_TESTBED_CHILD_PROCESS_HPP
