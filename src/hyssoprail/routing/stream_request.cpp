#include "hyssoprail/routing/stream_request.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace hyssoprail::routing {
namespace {

/// Callers give up if no event arrives for the longest of this time and these
/// multiples of the route's latency and gap objectives.
constexpr milliseconds MinEventTimeout{2'000};
constexpr int TimeoutInObjectives = 4;
constexpr int TimeoutInGaps = 8;

/// Separates the session from the number in the id of an admission request.
constexpr char PlacementSeparator = '/';

/// The deadline of a first try is close to the route's timeout; a caller with a
/// shorter one is retrying.
constexpr double FirstTryDeadlineShare = 0.84;

} // namespace

std::string placementId(std::string_view SessionId, unsigned Number) {
  return fmt::format("{}{}{}", SessionId, PlacementSeparator, Number);
}

std::string sessionOfPlacement(std::string_view Id) {
  return std::string(Id.substr(0, Id.find(PlacementSeparator)));
}

milliseconds callerEventTimeout(const RoutePolicy &Route) {
  return std::max({MinEventTimeout,
                   Route.LatencyObjective * TimeoutInObjectives,
                   Route.EventGapObjective * TimeoutInGaps});
}

bool isReturning(const FlowRequest &Request) {
  return Request.Info.Deadline > milliseconds(0) &&
         Request.Info.Deadline < Request.Route.Timeout * FirstTryDeadlineShare;
}

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
  N.RoutePriority = Route.Priority;
  N.BeyondQuota = Request.BeyondQuota;
  N.PromptTokens = Tokens.Prompt;
  N.OutputTokens = Lengths.estimate(Request.Info.OutputHint, Tokens.MaxOutput);
  N.Arrival = Request.Arrival;
  N.ObjectiveDeadline = Request.Arrival + Route.LatencyObjective;
  N.CallerBudget = std::chrono::duration_cast<milliseconds>(Request.AnswerBy -
                                                            Request.Arrival);
  N.IsRetry = isReturning(Request);
  N.GiveUpAt = std::min(WaitingSince + callerEventTimeout(Route),
                        Request.AnswerBy - AnswerMargin);
  return N;
}

} // namespace hyssoprail::routing
