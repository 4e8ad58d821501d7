#include "hyssoprail/routing/admission_client.hpp"

#include <algorithm>

namespace hyssoprail::routing {
namespace {

/// A caller that leaves sooner than this is told before it does.
constexpr milliseconds LatestAnswer{300};

/// Time to return if no coordinator has answered.
constexpr milliseconds UndecidedReturn{400};

std::int64_t millis(Duration D) {
  return std::chrono::duration_cast<milliseconds>(D).count();
}

std::uint32_t positiveMillis(Duration D) {
  return static_cast<std::uint32_t>(std::max<std::int64_t>(0, millis(D)));
}

wire::StreamWant asWire(const StreamRequest &Need, std::uint64_t Key,
                        TimePoint Now) {
  wire::StreamWant W;
  W.set_key(Key);
  W.set_service(Need.Service);
  W.set_account(Need.Account);
  W.set_priority(Need.Priority);
  W.set_prompt_tokens(Need.PromptTokens);
  W.set_output_tokens(Need.OutputTokens);
  W.set_waited_ms(positiveMillis(Now - Need.Arrival));
  W.set_on_time_ms(static_cast<std::int32_t>(millis(Need.ObjectiveDeadline - Now)));
  W.set_give_up_ms(positiveMillis(Need.GiveUpAt - Now));
  W.set_time_left_ms(positiveMillis(Need.CallerBudget));
  W.set_beyond_quota(Need.BeyondQuota);
  W.set_returning(Need.IsRetry);
  W.set_has_cache(Need.HasKvCache);
  for (const std::string &Id : Need.ExcludedEndpoints)
    W.add_avoid(Id);
  return W;
}

StreamPlacement asPlace(const std::string &Id, const StreamRequest &Need,
                    const wire::StreamGrant &Grant, TimePoint Now) {
  StreamPlacement P;
  P.Id = Id;
  P.Decode = Grant.decode();
  P.Prefill = Grant.prefill();
  P.QueueTime = Now - Need.Arrival;
  P.DecodeLoad.Runs = static_cast<std::int32_t>(Grant.decode_runs());
  P.DecodeLoad.Tokens = static_cast<std::int64_t>(Grant.decode_tokens());
  P.RequiredTokens = requiredKvTokens(Need);
  P.PrefillBacklog = static_cast<std::int64_t>(Grant.prefill_backlog());
  return P;
}

} // namespace

void AdmissionClient::submit(StreamRequest Need) {
  std::string Id = Need.Id;
  Wants.insert_or_assign(std::move(Id), Want{std::move(Need), ++LastKey, 0});
  Changed = true;
}

void AdmissionClient::cancel(std::string_view Id) {
  const auto It = Wants.find(Id);
  if (It == Wants.end())
    return;
  Wants.erase(It);
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

bool AdmissionClient::hasRoom(std::string_view Service, std::int64_t Tokens,
                              std::string_view Except, TimePoint) {
  const auto It = Rooms.find(Service);
  if (It == Rooms.end())
    return false;
  const wire::ServiceRoom &Room = It->second;
  const std::uint64_t Free = Room.endpoint() == Except
                                 ? Room.second_largest_free()
                                 : Room.largest_free();
  return static_cast<std::int64_t>(Free) >= Tokens;
}

void AdmissionClient::fillReport(wire::EntryReport &Report, TimePoint Now) {
  for (auto &[Id, W] : Wants) {
    *Report.add_wants() = asWire(W.Need, W.Key, Now);
    if (W.ReportedIn != 0)
      continue;
    W.ReportedIn = Report.sequence();
    NewestWant = Report.sequence();
  }
  for (const auto &[Id, R] : Runs)
    *Report.add_runs() = R;
  Changed = false;
}

AdmissionClient::WantMap::iterator
AdmissionClient::findWant(std::uint64_t Key) {
  return std::find_if(Wants.begin(), Wants.end(),
                      [&](const auto &W) { return W.second.Key == Key; });
}

std::vector<StreamDecision>
AdmissionClient::applyUpdate(const wire::CoordinatorUpdate &Update, TimePoint Now) {
  std::vector<StreamDecision> Out;
  Confirmed = Update.heard_sequence();
  for (const wire::ServiceRoom &Room : Update.rooms())
    Rooms[Room.service()] = Room;
  for (const wire::StreamGrant &Grant : Update.grants()) {
    const auto It = findWant(Grant.key());
    if (It == Wants.end())
      continue;
    const StreamRequest &Need = It->second.Need;
    wire::StreamRun R;
    R.set_key(Grant.key());
    R.set_service(Need.Service);
    R.set_account(Need.Account);
    R.set_decode(Grant.decode());
    R.set_prefill(Grant.prefill());
    R.set_tokens(requiredKvTokens(Need));
    R.set_prompt_tokens(Need.PromptTokens);
    Out.push_back(asPlace(It->first, Need, Grant, Now));
    Runs.insert_or_assign(It->first, std::move(R));
    Wants.erase(It);
    Changed = true;
  }
  for (const wire::StreamDenial &Denial : Update.denials()) {
    const auto It = findWant(Denial.key());
    if (It == Wants.end())
      continue;
    Out.push_back(StreamRefusal{It->first,
                                streamRefusalFromNumber(Denial.reason()),
                                milliseconds(Denial.retry_after_ms()),
                                milliseconds(Denial.expected_wait_ms())});
    Wants.erase(It);
    Changed = true;
  }
  return Out;
}

std::vector<StreamDecision> AdmissionClient::expire(TimePoint Now) {
  std::vector<StreamDecision> Out;
  std::erase_if(Wants, [&](const auto &Item) {
    const StreamRequest &Need = Item.second.Need;
    if (Now + LatestAnswer < Need.GiveUpAt)
      return false;
    Out.push_back(StreamRefusal{Item.first, StreamRefusalReason::WaitedTooLong,
                                UndecidedReturn, Duration{0}});
    return true;
  });
  Changed = Changed || !Out.empty();
  return Out;
}

} // namespace hyssoprail::routing
