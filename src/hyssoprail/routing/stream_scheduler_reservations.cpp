// The part of StreamScheduler that keeps reservations and samples utilization.
#include <chrono>
#include <utility>

#include "hyssoprail/routing/duration_seconds.hpp"
#include "hyssoprail/routing/stream_scheduler.hpp"

namespace hyssoprail::routing {
namespace {

/// Weight of the newest run time in its moving average.
constexpr double RunTimeSmoothing = 0.1;

EndpointLoad decodeLoad(const StreamReservation &Reservation) {
  return {1, Reservation.Tokens, 0};
}

EndpointLoad prefillLoad(const StreamReservation &Reservation) {
  return {1, 0, Reservation.PromptTokens};
}

} // namespace

void StreamScheduler::reserveEngines(StreamReservation Reservation,
                                     std::int64_t Backlog, TimePoint Now) {
  Table.reserve(Reservation.Decode, decodeLoad(Reservation));
  if (!Reservation.Prefill.empty())
    Table.reserve(Reservation.Prefill, prefillLoad(Reservation));
  AccountTokens[Reservation.Account] += Reservation.Tokens;
  std::string Id = Reservation.Id;
  Running.insert_or_assign(std::move(Id),
                           Placed{std::move(Reservation), Now, Backlog});
}

void StreamScheduler::adopt(const StreamReservation &Reservation,
                            TimePoint Now) {
  cancel(Reservation.Id);
  if (!isRunning(Reservation.Id))
    reserveEngines(Reservation, 0, Now);
}

void StreamScheduler::release(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return;
  Placed &P = It->second;
  releasePrefill(P);
  Table.release(P.Reservation.Decode, decodeLoad(P.Reservation));
  AccountTokens[P.Reservation.Account] -= P.Reservation.Tokens;
  const std::chrono::duration<double> RunTime = Now - P.Since;
  MeanRunSeconds += RunTimeSmoothing * (RunTime.count() - MeanRunSeconds);
  Running.erase(It);
}

void StreamScheduler::clear(TimePoint Now) {
  Waiting.clear();
  Overloads.clear();
  const double KeptMean = MeanRunSeconds;
  while (!Running.empty())
    release(std::string(Running.begin()->first), Now);
  MeanRunSeconds = KeptMean;
}

void StreamScheduler::outputGrew(std::string_view Id, std::uint64_t Tokens) {
  const auto It = Running.find(Id);
  if (It == Running.end())
    return;
  const StreamReservation &Reservation = It->second.Reservation;
  if (Reservation.PromptTokens + Tokens >= Reservation.Tokens)
    resize(Id, extendedKvTokens(Reservation.PromptTokens, Tokens));
}

void StreamScheduler::resize(std::string_view Id, std::uint32_t Tokens) {
  const auto It = Running.find(Id);
  if (It == Running.end() || It->second.Reservation.Tokens == Tokens)
    return;
  StreamReservation &Reservation = It->second.Reservation;
  Table.release(Reservation.Decode, decodeLoad(Reservation));
  AccountTokens[Reservation.Account] +=
      std::int64_t{Tokens} - Reservation.Tokens;
  Reservation.Tokens = Tokens;
  Table.reserve(Reservation.Decode, decodeLoad(Reservation));
}

void StreamScheduler::prefillEnded(std::string_view Id, TimePoint Now) {
  const auto It = Running.find(Id);
  if (It == Running.end() || It->second.Reservation.Prefill.empty())
    return;
  Placed &P = It->second;
  Utilization[P.Reservation.Service].recordPrefill(
      P.Reservation.PromptTokens, Now - P.Since,
      P.Backlog == P.Reservation.PromptTokens);
  releasePrefill(P);
}

void StreamScheduler::releasePrefill(Placed &P) {
  if (!P.Reservation.Prefill.empty())
    Table.release(P.Reservation.Prefill, prefillLoad(P.Reservation));
  P.Reservation.Prefill.clear();
}

void StreamScheduler::sampleUtilization(TimePoint Now) {
  std::map<std::string_view, std::int64_t> Held;
  for (const auto &[Id, P] : Running)
    Held[P.Reservation.Service] += P.Reservation.Tokens;
  if (!Config)
    return;
  for (const auto &[Name, Service] : Config->Services)
    if (Service.Engine)
      Utilization[Name].sample(static_cast<double>(Held[Name]) /
                                   static_cast<double>(memoryBound(Name)),
                               Now);
}

StagePressure StreamScheduler::pressure(std::string_view Service,
                                        TimePoint Now) const {
  StagePressure Out;
  std::int64_t Tokens = 0;
  for (const auto &[Id, Q] : Waiting) {
    const StreamRequest &R = Q.Request;
    if (R.Service != Service || R.BeyondQuota)
      continue;
    Tokens += requiredKvTokens(R);
    const Duration Wait = Now - R.Arrival;
    const Duration Objective = R.ObjectiveDeadline - R.Arrival;
    const bool Longer =
        Out.Objective <= Duration::zero() ||
        std::chrono::duration<double>(Wait) / Objective >
            std::chrono::duration<double>(Out.Wait) / Out.Objective;
    if (Objective > Duration::zero() && Longer) {
      Out.Wait = Wait;
      Out.Objective = Objective;
    }
  }
  if (!Config || Tokens == 0)
    return Out;
  double Memory = 0;
  Table.forEach([&](const Endpoint &E) {
    if (E.Record.Service == Service && E.Record.Stage == EngineStage::Decode &&
        Table.takesWork(E, Now, Sender::AnyEntry))
      Memory += static_cast<double>(memoryBound(Service)) * E.SpeedFactor;
  });
  if (Memory > 0)
    Out.DrainTime =
        fromSeconds(static_cast<double>(Tokens) * MeanRunSeconds / Memory);
  return Out;
}

const EngineUtilization &
StreamScheduler::utilization(std::string_view Service) const {
  static const EngineUtilization Unknown;
  const auto It = Utilization.find(Service);
  return It == Utilization.end() ? Unknown : It->second;
}

} // namespace hyssoprail::routing
