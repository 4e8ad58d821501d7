#include "hyssoprail/routing/stream_request.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

/// Callers give up if no event arrives for the longest of MinEventTimeout
/// and these multiples of the route's latency and gap objectives.
constexpr int TimeoutInObjectives = 4;
constexpr int TimeoutInGaps = 8;

/// The deadline of a first try is close to the route's timeout; a caller with a
/// shorter one is retrying.
constexpr double FirstTryDeadlineShare = 0.84;

} // namespace

StreamRequest makeStreamRequest(const FlowRequest &Request,
                                const LengthEstimator &Lengths,
                                TimePoint WaitingSince) {
  const RoutePolicy &Route = Request.Route;
  const TokenCounts Tokens = Request.Info.Tokens.value_or(TokenCounts{});
  StreamRequest N;
  N.Id = Request.SessionId;
  N.Service = Request.Service;
  N.Account = Request.Account;
  N.Priority = Request.Priority;
  N.BeyondQuota = Request.BeyondQuota;
  N.PromptTokens = Tokens.Prompt;
  N.OutputTokens = Lengths.estimate(Request.Info.OutputHint, Tokens.MaxOutput);
  N.Arrival = Request.Arrival;
  N.ObjectiveDeadline = Request.Arrival + Route.LatencyObjective;
  N.CallerBudget = std::chrono::duration_cast<milliseconds>(Request.AnswerBy -
                                                            Request.Arrival);
  N.IsRetry = Request.Info.Deadline > milliseconds(0) &&
              Request.Info.Deadline < Route.Timeout * FirstTryDeadlineShare;
  const milliseconds EventTimeout =
      std::max({MinEventTimeout, Route.LatencyObjective * TimeoutInObjectives,
                Route.EventGapObjective * TimeoutInGaps});
  N.GiveUpAt =
      std::min(WaitingSince + EventTimeout, Request.AnswerBy - AnswerMargin);
  return N;
}

} // namespace hyssoprail::routing
