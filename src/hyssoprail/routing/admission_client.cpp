#include "hyssoprail/routing/admission_client.hpp"

#include <algorithm>

#include "hyssoprail/routing/message_time.hpp"

namespace hyssoprail::routing {
namespace {

/// A request is refused this long before its caller would give up.
constexpr milliseconds RefusalMargin{300};

/// Retry-after time of requests on which no coordinator has decided.
constexpr milliseconds UndecidedRetryAfter{400};

std::int64_t millis(Duration D) {
  return std::chrono::duration_cast<milliseconds>(D).count();
}

wire::StreamWant toWire(const StreamRequest &Request, std::uint64_t Key,
                        TimePoint Now) {
  wire::StreamWant W;
  W.set_key(Key);
  W.set_service(Request.Service);
  W.set_account(Request.Account);
  W.set_priority(Request.Priority);
  W.set_prompt_tokens(Request.PromptTokens);
  W.set_output_tokens(Request.OutputTokens);
  W.set_waited_ms(nonNegativeMillis(Now - Request.Arrival));
  W.set_on_time_ms(
      static_cast<std::int32_t>(millis(Request.ObjectiveDeadline - Now)));
  W.set_give_up_ms(nonNegativeMillis(Request.GiveUpAt - Now));
  W.set_time_left_ms(nonNegativeMillis(Request.CallerBudget));
  W.set_beyond_quota(Request.BeyondQuota);
  W.set_returning(Request.IsRetry);
  W.set_route_priority(Request.RoutePriority);
  W.set_began(Request.Began);
  W.set_has_cache(Request.HasKvCache);
  W.set_version(Request.Version);
  for (const std::string &Id : Request.ExcludedEndpoints)
    W.add_avoid(Id);
  return W;
}

StreamPlacement toPlacement(const std::string &Id, const StreamRequest &Request,
                            const wire::StreamGrant &Grant, TimePoint Now) {
  StreamPlacement P;
  P.Id = Id;
  P.Decode = Grant.decode();
  P.Prefill = Grant.prefill();
  P.QueueTime = Now - Request.Arrival;
  P.DecodeLoad.Runs = static_cast<std::int32_t>(Grant.decode_runs());
  P.DecodeLoad.Tokens = static_cast<std::int64_t>(Grant.decode_tokens());
  P.RequiredTokens = requiredKvTokens(Request);
  P.PrefillBacklog = static_cast<std::int64_t>(Grant.prefill_backlog());
  return P;
}

} // namespace

void AdmissionClient::submit(StreamRequest Request) {
  std::string Id = Request.Id;
  Pending.insert_or_assign(std::move(Id),
                           PendingRequest{std::move(Request), ++LastKey, 0});
  Changed = true;
}

void AdmissionClient::cancel(std::string_view Id) {
  const auto It = Pending.find(Id);
  if (It == Pending.end())
    return;
  Pending.erase(It);
  Changed = true;
}

void AdmissionClient::release(std::string_view Id, TimePoint) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  Runs.erase(It);
  Changed = true;
}

void AdmissionClient::outputGrew(std::string_view Id, std::uint64_t Tokens) {
  const auto It = Runs.find(Id);
  if (It == Runs.end())
    return;
  wire::StreamRun &R = It->second;
  if (R.prompt_tokens() + Tokens >= R.tokens())
    R.set_tokens(extendedKvTokens(R.prompt_tokens(), Tokens));
}

void AdmissionClient::prefillEnded(std::string_view Id, TimePoint) {
  const auto It = Runs.find(Id);
  if (It == Runs.end() || It->second.prefill().empty())
    return;
  It->second.clear_prefill();
  Changed = true;
}

/// The coordinator names only the engine with the most room. If that one may
/// not be used, the next one is taken to be usable.
bool AdmissionClient::hasRoom(std::string_view Service, std::int64_t Tokens,
                              const EngineFilter &MayUse, TimePoint) {
  const auto It = Rooms.find(Service);
  if (It == Rooms.end())
    return false;
  const wire::ServiceRoom &Room = It->second;
  const std::uint64_t Free = MayUse(Room.endpoint())
                                 ? Room.largest_free()
                                 : Room.second_largest_free();
  return static_cast<std::int64_t>(Free) >= Tokens;
}

void AdmissionClient::fillReport(wire::EntryReport &Report, TimePoint Now) {
  for (auto &[Id, W] : Pending) {
    *Report.add_wants() = toWire(W.Request, W.Key, Now);
    if (W.FirstReportSequence != 0)
      continue;
    W.FirstReportSequence = Report.sequence();
    LastNewRequestReport = Report.sequence();
  }
  for (const auto &[Id, R] : Runs)
    *Report.add_runs() = R;
  Changed = false;
}

void AdmissionClient::countPending(
    std::map<std::pair<std::string, int>, std::size_t> &Out) const {
  for (const auto &[Id, P] : Pending)
    ++Out[{P.Request.Service, P.Request.Priority}];
}

AdmissionClient::PendingMap::iterator
AdmissionClient::findPending(std::uint64_t Key) {
  return std::find_if(Pending.begin(), Pending.end(),
                      [&](const auto &W) { return W.second.Key == Key; });
}

std::vector<StreamDecision>
AdmissionClient::applyUpdate(const wire::CoordinatorUpdate &Update,
                             TimePoint Now) {
  std::vector<StreamDecision> Out;
  ConfirmedSequence = Update.heard_sequence();
  for (const wire::ServiceRoom &Room : Update.rooms())
    Rooms[Room.service()] = Room;
  for (const wire::StreamGrant &Grant : Update.grants()) {
    const auto It = findPending(Grant.key());
    if (It == Pending.end())
      continue;
    const StreamRequest &Request = It->second.Request;
    wire::StreamRun R;
    R.set_key(Grant.key());
    R.set_service(Request.Service);
    R.set_account(Request.Account);
    R.set_decode(Grant.decode());
    R.set_prefill(Grant.prefill());
    R.set_tokens(requiredKvTokens(Request));
    R.set_prompt_tokens(Request.PromptTokens);
    Out.push_back(toPlacement(It->first, Request, Grant, Now));
    Runs.insert_or_assign(It->first, std::move(R));
    Pending.erase(It);
    Changed = true;
  }
  for (const wire::StreamDenial &Denial : Update.denials()) {
    const auto It = findPending(Denial.key());
    if (It == Pending.end())
      continue;
    StreamRefusal R;
    R.Id = It->first;
    R.Reason = streamRefusalFromNumber(Denial.reason());
    R.RetryAfter = milliseconds(Denial.retry_after_ms());
    R.ExpectedWait = milliseconds(Denial.expected_wait_ms());
    if (Denial.by_policy())
      R.Inputs =
          RefusalInputs{Denial.place(), Denial.work(), Denial.promised()};
    Out.push_back(std::move(R));
    Pending.erase(It);
    Changed = true;
  }
  return Out;
}

std::vector<StreamDecision> AdmissionClient::expire(TimePoint Now) {
  std::vector<StreamDecision> Out;
  std::erase_if(Pending, [&](const auto &Item) {
    const StreamRequest &Request = Item.second.Request;
    if (Now + RefusalMargin < Request.GiveUpAt)
      return false;
    Out.push_back(StreamRefusal{Item.first, StreamRefusalReason::WaitedTooLong,
                                UndecidedRetryAfter, Duration{0},
                                std::nullopt});
    return true;
  });
  Changed = Changed || !Out.empty();
  return Out;
}

std::vector<StreamDecision> AdmissionClient::refusePaused(
    const std::function<std::optional<milliseconds>(const std::string &)>
        &WaitOf) {
  std::vector<StreamDecision> Out;
  std::map<std::string, std::optional<milliseconds>> Waits;
  std::erase_if(Pending, [&](const auto &Item) {
    const std::string &Service = Item.second.Request.Service;
    const auto [It, New] = Waits.try_emplace(Service);
    if (New)
      It->second = WaitOf(Service);
    if (!It->second)
      return false;
    Out.push_back(StreamRefusal{Item.first, StreamRefusalReason::QueueTooLong,
                                *It->second, *It->second, std::nullopt});
    return true;
  });
  Changed = Changed || !Out.empty();
  return Out;
}

} // namespace hyssoprail::routing
