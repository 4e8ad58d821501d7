#include "hyssoprail/process/decision_log.hpp"

#include <array>

#include <catch2/catch.hpp>
#include <fcntl.h>
#include <nlohmann/json.hpp>
#include <unistd.h>

namespace hyssoprail {
namespace {

/// A pipe whose reader takes nothing until it is asked.
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

std::vector<nlohmann::json> lines(const std::string &Text) {
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

// Guards against lines that lack the request or an input, or are no JSON.
TEST_CASE("a decision is one line with its request and inputs") {
  Pipe P;
  ManualClock Time;
  DecisionLog Log(P.Ends[1], "entry-1", Time);
  Log.write(LogCategory::Outcome, "reject", "id\n\"7",
            {{"reason", "over_quota"}, {"debt", 12.5}, {"known", true}});
  const auto Written = lines(P.read());
  REQUIRE(Written.size() == 1);
  REQUIRE(Written[0]["process"] == "entry-1");
  REQUIRE(Written[0]["what"] == "reject");
  REQUIRE(Written[0]["request"] == "id\n\"7");
  REQUIRE(Written[0]["reason"] == "over_quota");
  REQUIRE(Written[0]["debt"] == 12.5);
  REQUIRE(Written[0]["known"] == true);
}

// Guards against a flood of lines, and against silence about those left out.
TEST_CASE("lines a second are bounded, and those left out are counted") {
  Pipe P;
  ManualClock Time;
  DecisionLog Log(P.Ends[1], "entry-1", Time);
  for (int I = 0; I < 10'000; ++I)
    Log.write(LogCategory::Routine, "place", "r", {});
  std::size_t Places = 0;
  for (const auto &Line : lines(P.read()))
    Places += Line["what"] == "place" ? 1 : 0;
  REQUIRE(Places > 0);
  REQUIRE(Places <= 300); // two seconds of lines
  Log.write(LogCategory::Outcome, "reject", "r", {});
  REQUIRE(lines(P.read()).size() >= 1); // failures are still written
  Time.advance(std::chrono::seconds(2));
  Log.write(LogCategory::Routine, "place", "r", {});
  bool Counted = false;
  for (const auto &Line : lines(P.read()))
    Counted = Counted || (Line["what"] == "lines_left_out" &&
                          Line["lines"].get<std::uint64_t>() > 9'000);
  REQUIRE(Counted);
}

// Guards against a process that stops because nobody reads its log.
TEST_CASE("a reader that has stopped blocks nobody") {
  Pipe P;
  ManualClock Time;
  DecisionLog Log(P.Ends[1], "entry-1", Time);
  const std::string Long(2'000, 'x');
  for (int I = 0; I < 2'000; ++I) {
    Time.advance(milliseconds(100));
    Log.write(LogCategory::Outcome, "reject", Long, {});
  }
  REQUIRE(Log.dropped() > 1'000);
}

} // namespace hyssoprail
