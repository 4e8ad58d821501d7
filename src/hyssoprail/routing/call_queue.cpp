#include "hyssoprail/routing/call_queue.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "hyssoprail/routing/duration_seconds.hpp"

namespace hyssoprail::routing {
namespace {

/// Most calls that wait for one service at one entry. Each takes some hundred
/// bytes here; BodyAdmission bounds the memory of the requests themselves.
constexpr std::size_t MaxWaiting = 256;

/// One in this number of releases goes to a call that was overtaken.
constexpr unsigned FairReleaseInterval = 4;

/// Time constant of the mean run time and of the releases by account.
constexpr double DecaySeconds = 2;

/// Retry time while the rate at which calls end is unknown.
constexpr milliseconds UnknownRetryAfter{400};

constexpr milliseconds MinRetryAfter{20};
constexpr milliseconds MaxRetryAfter{5'000};

/// Calls of an account with more recent releases than this multiple of the mean
/// over the accounts come after other calls of the same priorities.
constexpr double HeavyUseFactor = 1.5;

/// An account with fewer recent releases is forgotten.
constexpr double MinReleases = 0.01;

} // namespace

// ---- Run times --------------------------------------------------------------

void CallQueue::Queue::measure(TimePoint Now) {
  const double Passed = std::max(0.0, seconds(Now - MeasuredAt));
  MeasuredAt = std::max(MeasuredAt, Now);
  const double Kept = std::exp(-Passed / DecaySeconds);
  HeldSeconds = HeldSeconds * Kept + Counts.InUse * Passed;
  Ends *= Kept;
  for (auto &[Account, Releases] : RecentReleases)
    Releases *= Kept;
  std::erase_if(RecentReleases,
                [](const auto &Item) { return Item.second < MinReleases; });
}

std::optional<Duration> CallQueue::Queue::meanRunTime() const {
  if (Ends <= 0)
    return std::nullopt;
  return fromSeconds(HeldSeconds / Ends);
}

std::optional<Duration>
CallQueue::Queue::expectedWait(std::size_t Ahead) const {
  const auto Run = meanRunTime();
  if (!Run || Counts.Slots == 0)
    return std::nullopt;
  const double Needed = static_cast<double>(Ahead) + 1 + Counts.InUse -
                        static_cast<double>(Counts.Slots);
  return fromSeconds(std::max(0.0, Needed) * seconds(*Run) / Counts.Slots);
}

// ---- Order ------------------------------------------------------------------

bool CallQueue::Queue::canBeOnTime(const Waiting &W, TimePoint Now) const {
  return Now + meanRunTime().value_or(Duration{0}) <= W.Call.ObjectiveDeadline;
}

/// A single account is never above the threshold.
double CallQueue::Queue::heavyUseThreshold() const {
  double Sum = 0;
  for (const auto &[Account, Releases] : RecentReleases)
    Sum += Releases;
  return HeavyUseFactor * Sum /
         static_cast<double>(std::max<std::size_t>(1, RecentReleases.size()));
}

bool CallQueue::Queue::isBefore(const Waiting &A, const Waiting &B,
                                double HeavyUse, TimePoint Now) const {
  const auto Rank = [&](const Waiting &W) {
    const auto Releases = RecentReleases.find(W.Call.Account);
    return std::tuple(
        !canBeOnTime(W, Now), W.Call.Priority, W.Call.RoutePriority,
        Releases != RecentReleases.end() && Releases->second > HeavyUse,
        W.Arrival);
  };
  return Rank(A) < Rank(B);
}

void CallQueue::Queue::sort(TimePoint Now) {
  const double HeavyUse = heavyUseThreshold();
  std::sort(Calls.begin(), Calls.end(),
            [&](const Waiting &A, const Waiting &B) {
              return isBefore(A, B, HeavyUse, Now);
            });
}

/// Takes the first call of the sorted queue, or one that was overtaken.
CallQueue::Waiting CallQueue::Queue::takeNext() {
  auto Next = Calls.begin();
  if (++SinceFairRelease >= FairReleaseInterval) {
    SinceFairRelease = 0;
    for (auto It = Calls.begin(); It != Calls.end(); ++It)
      if (It->Overtaken && (!Next->Overtaken || It->Arrival < Next->Arrival))
        Next = It;
  }
  Waiting Out = std::move(*Next);
  Calls.erase(Next);
  for (Waiting &W : Calls)
    W.Overtaken = W.Overtaken || W.Arrival < Out.Arrival;
  return Out;
}

/// A call that would be late without any wait is judged by its deadline. While
/// the wait is unknown, a call stays until it can no longer be on time.
bool CallQueue::Queue::isServable(const Waiting &W,
                                  std::optional<Duration> Wait,
                                  TimePoint Now) const {
  const bool OnTime = canBeOnTime(W, Now);
  if (!Wait && !OnTime && !W.WasLate)
    return false;
  const Duration Run = meanRunTime().value_or(Duration{0});
  const TimePoint End = OnTime ? W.Call.ObjectiveDeadline : W.Call.GiveUpAt;
  return Now + Wait.value_or(Duration{0}) + Run <= End;
}

/// Callers that return together would be refused again, so each gets a time of
/// its own at the rate at which slots become free.
CallRefusal CallQueue::Queue::refuse(const Waiting &W, std::size_t Position,
                                     TimePoint Now) {
  ++Counts.Refused;
  CallRefusal R{W.Call.Id, UnknownRetryAfter, Duration{0}, Position};
  const auto Run = meanRunTime();
  if (!Run || Counts.Slots == 0)
    return R;
  R.ExpectedWait = expectedWait(Position).value_or(Duration{0});
  const Duration Interval = *Run / static_cast<int>(Counts.Slots);
  const TimePoint Emptied =
      Now +
      expectedWait(Position == 0 ? 0 : Position - 1).value_or(Duration{0});
  LastReturn = std::clamp<TimePoint>(std::max(LastReturn, Emptied) + Interval,
                                     Now + MinRetryAfter, Now + MaxRetryAfter);
  R.RetryAfter = std::chrono::ceil<milliseconds>(LastReturn - Now);
  return R;
}

// ---- Events -----------------------------------------------------------------

CallQueue::Queue &CallQueue::queue(std::string_view Service) {
  const auto It = Queues.find(Service);
  return It != Queues.end() ? It->second : Queues[std::string(Service)];
}

void CallQueue::setSlots(std::string_view Service, unsigned Slots,
                         TimePoint Now) {
  Queue &Q = queue(Service);
  Q.measure(Now);
  Q.Counts.Slots = Slots;
}

bool CallQueue::tryTake(std::string_view Service, TimePoint Now) {
  Queue &Q = queue(Service);
  if (!Q.Calls.empty() || Q.Counts.InUse >= Q.Counts.Slots)
    return false;
  Q.measure(Now);
  ++Q.Counts.InUse;
  return true;
}

void CallQueue::submit(QueuedCall Call, TimePoint Now) {
  Queue &Q = queue(Call.Service);
  Waiting W{std::move(Call), ++LastArrival, Now};
  W.WasLate = !Q.canBeOnTime(W, Now);
  Q.Calls.push_back(std::move(W));
  ++Q.Counts.Waited;
}

void CallQueue::cancel(std::string_view Id, TimePoint Now) {
  if (const auto It = Unconfirmed.find(Id); It != Unconfirmed.end()) {
    Queue &Q = queue(It->second);
    Q.measure(Now);
    --Q.Counts.InUse; // it did not run, so it is not a call that ended
    Unconfirmed.erase(It);
    return;
  }
  for (auto &[Service, Q] : Queues)
    if (std::erase_if(Q.Calls,
                      [&](const Waiting &W) { return W.Call.Id == Id; }) > 0)
      return;
}

bool CallQueue::confirm(std::string_view Id) {
  const auto It = Unconfirmed.find(Id);
  if (It == Unconfirmed.end())
    return false;
  Unconfirmed.erase(It);
  return true;
}

void CallQueue::ended(std::string_view Service, TimePoint Now) {
  Queue &Q = queue(Service);
  if (Q.Counts.InUse == 0)
    return;
  Q.measure(Now);
  --Q.Counts.InUse;
  ++Q.Ends;
}

// ---- Decisions --------------------------------------------------------------

std::vector<CallQueueDecision> CallQueue::poll(std::string_view Service,
                                               TimePoint Now) {
  std::vector<CallQueueDecision> Out;
  if (const auto It = Queues.find(Service);
      It != Queues.end() && !It->second.Calls.empty())
    pollQueue(It->first, It->second, Now, Out);
  return Out;
}

void CallQueue::pollQueue(const std::string &Service, Queue &Q, TimePoint Now,
                          std::vector<CallQueueDecision> &Out) {
  Q.measure(Now);
  Q.sort(Now);
  while (!Q.Calls.empty() && Q.Counts.InUse < Q.Counts.Slots) {
    const Waiting W = Q.takeNext();
    ++Q.Counts.InUse;
    ++Q.RecentReleases[W.Call.Account];
    Unconfirmed.emplace(W.Call.Id, Service);
    Out.emplace_back(CallRelease{W.Call.Id, Now - W.Since});
  }
  std::vector<Waiting> Kept;
  Kept.reserve(Q.Calls.size());
  std::vector<Waiting> Refused;
  for (Waiting &W : Q.Calls) {
    const auto Wait = Q.expectedWait(Kept.size());
    const bool Stays = Kept.size() < MaxWaiting && Q.isServable(W, Wait, Now);
    (Stays ? Kept : Refused).push_back(std::move(W));
  }
  Q.Calls = std::move(Kept);
  for (const Waiting &W : Refused)
    Out.emplace_back(Q.refuse(W, Q.Calls.size(), Now));
}

std::optional<Duration> CallQueue::expectedWait(std::string_view Service,
                                                std::size_t Ahead) const {
  const auto It = Queues.find(Service);
  return It == Queues.end() ? std::nullopt : It->second.expectedWait(Ahead);
}

std::size_t CallQueue::position(std::string_view Id, TimePoint Now) const {
  for (const auto &Item : Queues) {
    const Queue &Q = Item.second;
    const auto It =
        std::find_if(Q.Calls.begin(), Q.Calls.end(),
                     [&](const Waiting &W) { return W.Call.Id == Id; });
    if (It == Q.Calls.end())
      continue;
    const double HeavyUse = Q.heavyUseThreshold();
    return static_cast<std::size_t>(
        std::count_if(Q.Calls.begin(), Q.Calls.end(), [&](const Waiting &W) {
          return Q.isBefore(W, *It, HeavyUse, Now);
        }));
  }
  return 0;
}

CallQueueState CallQueue::state(std::string_view Service) const {
  const auto It = Queues.find(Service);
  if (It == Queues.end())
    return {};
  CallQueueState Out = It->second.Counts;
  Out.Waiting = It->second.Calls.size();
  return Out;
}

std::vector<std::string> CallQueue::services() const {
  std::vector<std::string> Out;
  for (const auto &[Service, Q] : Queues)
    Out.push_back(Service);
  return Out;
}

} // namespace hyssoprail::routing
