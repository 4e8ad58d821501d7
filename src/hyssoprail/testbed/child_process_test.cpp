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

// Guards against connections that stay open after their caller has closed them
// because a program that was started meanwhile inherited them.
TEST_CASE("a child inherits no connections of its parent") {
  const auto Directory = std::filesystem::temp_directory_path() /
                         fmt::format("child-process-test-{}", ::getpid());
  std::filesystem::create_directories(Directory);
  const std::string Program = Directory / "program";
  std::ofstream(Program) << "#!/bin/sh\necho ready\nexec sleep 20\n";
  std::filesystem::permissions(Program, std::filesystem::perms::owner_all);
  std::array<int, 2> Ends{};
  REQUIRE(::socketpair(AF_UNIX, SOCK_STREAM, 0, Ends.data()) == 0);

  ChildProcess Child(Program, {}, Directory / "log");
  REQUIRE(errorOf(Child.start()) == nullptr);
  ::close(Ends[0]);
  const timeval Limit{2, 0};
  ::setsockopt(Ends[1], SOL_SOCKET, SO_RCVTIMEO, &Limit, sizeof Limit);
  char Byte = 0;
  CHECK(::recv(Ends[1], &Byte, 1, 0) == 0);
  ::close(Ends[1]);
  Child.kill();
  std::filesystem::remove_all(Directory);
}

} // namespace hyssoprail::testbed
