#include "hyssoprail/routing/stream_need.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

/// Callers leave after a gap of the longest of these.
constexpr int PatienceInObjectives = 4;
constexpr int PatienceInGaps = 8;

/// Callers begin with most of the route's timeout as their deadline; one with
/// less has been here before.
constexpr double FreshDeadlineShare = 0.84;

} // namespace

StreamNeed streamNeed(const FlowRequest &Request,
                      const LengthEstimator &Lengths, TimePoint From) {
  const RoutePolicy &Route = Request.Route;
  const TokenCounts Tokens = Request.Info.Tokens.value_or(TokenCounts{});
  StreamNeed N;
  N.Id = Request.SessionId;
  N.Service = Request.Service;
  N.Account = Request.Account;
  N.Priority = Request.Priority;
  N.BeyondQuota = Request.BeyondQuota;
  N.PromptTokens = Tokens.Prompt;
  N.OutputTokens = Lengths.estimate(Request.Info.OutputHint, Tokens.MaxOutput);
  N.Arrival = Request.Arrival;
  N.OnTimeUntil = Request.Arrival + Route.LatencyObjective;
  N.TimeLeft = std::chrono::duration_cast<milliseconds>(Request.AnswerBy -
                                                        Request.Arrival);
  N.Returning = Request.Info.Deadline > milliseconds(0) &&
                Request.Info.Deadline < Route.Timeout * FreshDeadlineShare;
  const milliseconds Patience =
      std::max({CallerPatience, Route.LatencyObjective * PatienceInObjectives,
                Route.EventGapObjective * PatienceInGaps});
  N.GiveUpAt = std::min(From + Patience, Request.AnswerBy - AnswerMargin);
  return N;
}

} // namespace hyssoprail::routing
