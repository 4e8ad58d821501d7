#include "hyssoprail/process/decision_log.hpp"

#include <array>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace hyssoprail {
namespace {

/// A pipe that is read only by calls of read().
struct Pipe {
  Pipe() { REQUIRE(::pipe(Ends.data()) == 0); }
  ~Pipe() {
    ::close(Ends[0]);
    ::close(Ends[1]);
  }

  std::string read() const {
    ::fcntl(Ends[0], F_SETFL, O_NONBLOCK);
    std::string Out;
    std::array<char, 65'536> Data{};
    ssize_t Size = 0;
    while ((Size = ::read(Ends[0], Data.data(), Data.size())) > 0)
      Out.append(Data.data(), static_cast<std::size_t>(Size));
    return Out;
  }

  std::array<int, 2> Ends{};
};

std::vector<nlohmann::json> parseLines(const std::string &Text) {
  std::vector<nlohmann::json> Out;
  std::size_t At = 0;
  while (At < Text.size()) {
    const std::size_t End = Text.find('\n', At);
    Out.push_back(nlohmann::json::parse(Text.substr(At, End - At)));
    At = End + 1;
  }
  return Out;
}

} // namespace

// Guards against lines that lack the request id or an input, or that are not
// valid JSON.
TEST_CASE("a decision is one JSON line with its request id and inputs") {
  Pipe P;
  ManualClock Time;
  DecisionLog Log(P.Ends[1], "entry-1", Time);
  Log.write(LogCategory::Outcome, "reject", "id\n\"7",
            {{"reason", "over_quota"}, {"debt", 12.5}, {"known", true}});
  const auto Lines = parseLines(P.read());
  REQUIRE(Lines.size() == 1);
  REQUIRE(Lines[0]["process"] == "entry-1");
  REQUIRE(Lines[0]["what"] == "reject");
  REQUIRE(Lines[0]["request"] == "id\n\"7");
  REQUIRE(Lines[0]["reason"] == "over_quota");
  REQUIRE(Lines[0]["debt"] == 12.5);
  REQUIRE(Lines[0]["known"] == true);
}

// Guards against a flood of lines, and against lines that are dropped without a
// report.
TEST_CASE("the line rate is limited and dropped lines are reported") {
  Pipe P;
  ManualClock Time;
  DecisionLog Log(P.Ends[1], "entry-1", Time);
  for (int I = 0; I < 10'000; ++I)
    Log.write(LogCategory::Routine, "place", "r", {});
  std::size_t RoutineLines = 0;
  for (const auto &Line : parseLines(P.read()))
    RoutineLines += Line["what"] == "place" ? 1 : 0;
  REQUIRE(RoutineLines > 0);
  REQUIRE(RoutineLines <= 300); // burst of two seconds
  Log.write(LogCategory::Outcome, "reject", "r", {});
  REQUIRE(parseLines(P.read()).size() >= 1); // own budget
  Time.advance(std::chrono::seconds(2));
  Log.write(LogCategory::Routine, "place", "r", {});
  bool DropsReported = false;
  for (const auto &Line : parseLines(P.read()))
    DropsReported =
        DropsReported || (Line["what"] == "lines_left_out" &&
                          Line["lines"].get<std::uint64_t>() > 9'000);
  REQUIRE(DropsReported);
}

// Guards against a process that blocks because nobody reads its log.
TEST_CASE("a reader that has stopped does not block the writer") {
  Pipe P;
  ManualClock Time;
  DecisionLog Log(P.Ends[1], "entry-1", Time);
  const std::string LongRequestId(2'000, 'x');
  for (int I = 0; I < 2'000; ++I) {
    Time.advance(milliseconds(100));
    Log.write(LogCategory::Outcome, "reject", LongRequestId, {});
  }
  REQUIRE(Log.dropped() > 1'000);
}

} // namespace hyssoprail
