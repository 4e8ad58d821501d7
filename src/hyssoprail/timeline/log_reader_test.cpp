#include "hyssoprail/timeline/log_reader.hpp"

#include <sstream>

#include <catch2/catch.hpp>

namespace hyssoprail::timeline {
namespace {

/// Lines of two entries as a run of the users' bench printed them.
constexpr const char *Stored =
    R"(   9.0310 entry-c-1 {"time_us":1785448291031000,"process":"entry-c-1","what":"admit","request":"3fe852b1","route":"r-1","account":"tiny141","tokens":5890.0,"version":3}
   9.0361 entry-c-1 {"time_us":1785448291036100,"process":"entry-c-1","what":"send","request":"3fe852b1","kind":"prefill","endpoint":"i-471b"}
not a decision at all
   9.0200 entry-a-1 {"time_us":1785448291020000,"process":"entry-a-1","what":"endpoint","endpoint":"i-471b","draining":true,"sequence":7}
   9.0400 entry-a-1 {"time_us":"never","what":"admit","request":"3fe852b1"}
   9.2940 entry-c-1 {"time_us":1785448291294000,"process":"entry-c-1","what":"reject","request":"3fe852b1","reason":"no_capacity","retry_after_ms":400}
   9.2950 entry-c-1 {"time_us":1785448291295000,"process":"entry-c-1","what":"admit","request":"another","route":"r-1"}
)";

std::vector<LogLine> read(const LogFilter &Filter) {
  std::istringstream In(Stored);
  return readLog(In, Filter);
}

} // namespace

// Guards against a story of a request that lacks a line or holds those of
// others.
TEST_CASE("the lines of one request are found, whatever surrounds them") {
  const auto Lines = read({.Request = "3fe852b1"});
  REQUIRE(Lines.size() == 3);
  REQUIRE(Lines.front().What == "admit");
  REQUIRE(Lines.back().What == "reject");
  REQUIRE(formatLine(Lines.back()) ==
          "21:51:31.294000 entry-c-1 reject reason=no_capacity "
          "retry_after_ms=400");
}

// Guards against lines of several processes in the order of their files.
TEST_CASE("lines of an endpoint are sorted by time") {
  auto Lines = read({.Endpoint = "i-471b"});
  REQUIRE(Lines.size() == 2);
  sortLog(Lines);
  REQUIRE(Lines.front().Process == "entry-a-1");
  REQUIRE(Lines.front().Fields.at(1).second == "true");
}

} // namespace hyssoprail::timeline
