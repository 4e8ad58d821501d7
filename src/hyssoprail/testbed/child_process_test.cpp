#include "hyssoprail/testbed/child_process.hpp"

#include <array>
#include <filesystem>
#include <fstream>

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

namespace hyssoprail::testbed {
namespace {

/// A program that is ready at once and then runs for longer than a test.
class SleepingProgram {
public:
  explicit SleepingProgram(const std::string &Name)
      : Directory(std::filesystem::temp_directory_path() /
                  fmt::format("child-process-test-{}-{}", Name, ::getpid())) {
    std::filesystem::create_directories(Directory);
    std::ofstream(path()) << "#!/bin/sh\necho ready\nexec sleep 20\n";
    std::filesystem::permissions(path(), std::filesystem::perms::owner_all);
  }
  ~SleepingProgram() { std::filesystem::remove_all(Directory); }

  std::string path() const { return Directory / "program"; }
  std::string logFile() const { return Directory / "log"; }

private:
  const std::filesystem::path Directory;
};

} // namespace

// Guards against connections that stay open after their caller has closed them
// because a program that was started meanwhile inherited them.
TEST_CASE("a child inherits no connections of its parent") {
  const SleepingProgram Program("inherits");
  std::array<int, 2> Ends{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, Ends.data()) == 0);

  ChildProcess Child(Program.path(), {}, Program.logFile());
  REQUIRE(errorOf(Child.start()) == nullptr);
  ::close(Ends[0]);
  const timeval Limit{2, 0};
  ::setsockopt(Ends[1], SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  char Byte = 0;
  CHECK(::recv(Ends[1], &Byte, 1, 0) == 0);
  ::close(Ends[1]);
  Child.kill();
}

// Guards against a second start that loses track of the first child, which then
// keeps its ports. Two faults of a soak may hit the same process, and both end
// with a restart.
TEST_CASE("a child that runs is not started again") {
  const SleepingProgram Program("twice");
  ChildProcess Child(Program.path(), {}, Program.logFile());
  REQUIRE(succeeded(Child.start()));
  const pid_t First = Child.pid();
  const Status Second = Child.start();
  REQUIRE_FALSE(succeeded(Second));
  CHECK(errorOf(Second)->Kind == ErrorKind::Conflict);
  CHECK(Child.pid() == First);
  CHECK(Child.running());
  Child.kill();
  REQUIRE(succeeded(Child.start()));
  CHECK(Child.pid() != First);
}

} // namespace hyssoprail::testbed
