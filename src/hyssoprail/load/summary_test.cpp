#include "hyssoprail/load/summary.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/load/prompt.hpp"
#include "hyssoprail/load/report.hpp"
#include "hyssoprail/request/reference_answer.hpp"
#include "hyssoprail/testbed/answer_check.hpp"

namespace hyssoprail::load {
namespace {

constexpr std::chrono::seconds Length{5};

Sample completeSample(const Arrival &A) {
  Sample S;
  S.Planned = A;
  S.End = Outcome::Complete;
  S.FirstToken = std::chrono::milliseconds(100);
  S.BetweenTokens = std::chrono::milliseconds(20);
  S.OutputTokens = 10;
  return S;
}

std::string streamOf(const std::string &Prompt, unsigned Tokens) {
  std::string Out;
  for (unsigned I = 0; I < Tokens; ++I)
    Out += R"(data: {"choices":[{"text":")" + referenceToken(Prompt, I) +
           " \"}]}\n\n";
  return Out;
}

} // namespace

// Guards against runs that cannot be repeated from their seed.
TEST_CASE("a plan repeats from its seed") {
  const Profile &P = *profile("tayyara");
  const auto Limits = entitlements(P, 50, 1, 3);
  const auto First = makePlan(P, 50, Length, Limits, 7);
  const auto Second = makePlan(P, 50, Length, Limits, 7);
  REQUIRE(First.size() == Second.size());
  for (std::size_t I = 0; I < First.size(); ++I) {
    CHECK(First[I].At == Second[I].At);
    CHECK(First[I].Tokens == Second[I].Tokens);
  }
}

// Guards against a served share that counts what an account was not entitled
// to as missing.
TEST_CASE("an overloading account's excess does not lower its share") {
  const Profile &P = *profile("randstein");
  const auto Limits = entitlements(P, 100, 1, 1);
  std::vector<Sample> Samples;
  for (const Arrival &A : makePlan(P, 100, Length, Limits, 3)) {
    Sample S = completeSample(A);
    if (!A.WithinRate)
      S.End = Outcome::Refused;
    Samples.push_back(S);
  }
  const Summary Out = summarize("test", P, Length, Samples, {}, {1000, 990, 0});
  CHECK(Out.WorstServed > 0.95);
  CHECK(Out.WithinRateRefused == 0);
  CHECK(Out.WastedPrefill == Approx(0.01));
}

// Guards against goodput that counts late answers.
TEST_CASE("late answers are not goodput") {
  Arrival A;
  A.Kind = RequestKind::Chat;
  Sample S = completeSample(A);
  CHECK(metTargets(S, {}));
  S.FirstToken = std::chrono::milliseconds(900);
  CHECK_FALSE(metTargets(S, {}));
}

// Guards against a load tool that accepts an answer with a lost token.
TEST_CASE("an answer with a missing token is wrong") {
  Arrival A;
  A.PromptTokens = 5;
  A.Serial = 9;
  const std::string Prompt = makePrompt(A);
  testbed::AnswerCheck Whole(Prompt, 6);
  for (char C : streamOf(Prompt, 6) + "data: [DONE]\n\n")
    Whole.add(std::string_view(&C, 1));
  CHECK(Whole.ended());
  CHECK(Whole.correct());
  testbed::AnswerCheck Short(Prompt, 6);
  Short.add(streamOf(Prompt, 5) + "data: [DONE]\n\n");
  CHECK_FALSE(Short.correct());
}

// Guards against a plot that viewers reject.
TEST_CASE("the plot is one SVG document") {
  const Profile &P = *profile("tayyara");
  const auto Limits = entitlements(P, 20, 1, 1);
  std::vector<Sample> Samples;
  for (const Arrival &A : makePlan(P, 20, Length, Limits, 3))
    Samples.push_back(completeSample(A));
  const Summary S = summarize("a", P, Length, Samples, {}, {});
  const std::string Svg = svgReport({S, S}, "title");
  CHECK(Svg.starts_with("<svg"));
  CHECK(Svg.find("</svg>") == Svg.size() - 7);
}

} // namespace hyssoprail::load
