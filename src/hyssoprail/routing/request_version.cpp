#include "hyssoprail/routing/request_version.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail::routing {
namespace {

using Kind = rollout::VersionChoice::Kind;

} // namespace

std::optional<milliseconds> RequestVersion::choose(Duration ExpectedRun,
                                                   TimePoint Now) {
  if (!Gate)
    return std::nullopt;
  rollout::RolloutRequest R = request();
  R.ExpectedRun = ExpectedRun;
  Choice = Charged = Gate->choose(R, Now);
  Chosen = true;
  if (Choice.Use != Kind::Later)
    return std::nullopt;
  return std::chrono::duration_cast<milliseconds>(Choice.Wait);
}

void RequestVersion::update() {
  if (!Gate)
    return;
  rollout::VersionChoice Next = Gate->update(Service, Choice);
  const bool Leaves = Choice.Use == Kind::Target && Next.Use == Kind::Old;
  if (Kept && Leaves)
    Next.Use = Kind::Later;
  Choice = std::move(Next);
}

bool RequestVersion::allows(const Endpoint &E) {
  if (Pinned && E.Record.Version != *Pinned)
    return false;
  if (!Gate)
    return true;
  update();
  const std::string &Version = E.Record.Version;
  if (!rollout::RolloutGate::allows(Choice, Version))
    return false;
  return Choice.Use == Kind::Target || !Gate->isUnproven(Service, Version);
}

std::vector<std::string> RequestVersion::disallowed() {
  std::vector<std::string> Out;
  if (!Gate || !Gate->knows(Service))
    return Out;
  Table.forEach([&](const Endpoint &E) {
    if (E.Record.Service == Service && !allows(E))
      Out.push_back(E.Record.Id);
  });
  return Out;
}

std::string RequestVersion::required() {
  if (Pinned && Table.hasOtherVersion(Service, *Pinned))
    return *Pinned;
  update();
  return Choice.Use == Kind::Target ? Choice.Target : std::string();
}

bool RequestVersion::fallBack() {
  update();
  if (Kept || Choice.Use != Kind::Target ||
      !Gate->isUnproven(Service, Choice.Target))
    return false;
  giveBack();
  Choice.Use = Kind::Old;
  return true;
}

bool RequestVersion::isBarred() {
  update();
  return Choice.Use == Kind::Later;
}

RequestVersion::Run RequestVersion::begin(const Endpoint &E, TimePoint Now,
                                          std::string_view Part) {
  Run R;
  if (!Gate)
    return R;
  R.Endpoint = E.Record.Id;
  R.Version = E.Record.Version;
  R.Route = Route;
  if (!Part.empty())
    R.Route.append("/").append(Part);
  R.BeganAt = Now;
  R.EndpointAge =
      E.SeenAt == TimePoint{} ? Duration::max() : Duration(Now - E.SeenAt);
  const bool ToTarget =
      Choice.Use == Kind::Target && Charged.Use != Kind::Target;
  if (++Sent > Planned || ToTarget)
    Gate->recordExtraSend(Service, R.Version);
  Gate->runBegan(Service, R.Version, Repeatable);
  return R;
}

void RequestVersion::end(const Run &R, std::optional<Result> Answer,
                         TimePoint Now) {
  if (!Gate || R.Endpoint.empty())
    return;
  const Duration RunTime = Now - R.BeganAt;
  Gate->runEnded(Service, R.Version, Repeatable, RunTime, Now);
  if (Answer)
    Gate->recordAnswer({Service, R.Route, R.Version, R.Endpoint, *Answer,
                        R.FirstEvent.value_or(RunTime), R.EndpointAge},
                       Now);
}

void RequestVersion::giveBack() {
  if (Gate && Sent == 0 && std::exchange(Chosen, false))
    Gate->refund(request(), Charged);
}

std::optional<RequestVersion::Result> versionEvidence(const LegResult &R) {
  switch (R.Outcome) {
  case LegOutcome::NotSent:
  case LegOutcome::NotRun:
    return std::nullopt;
  case LegOutcome::Answered:
    return R.Response.Status < 500 ? RequestVersion::Result::Success
                                   : RequestVersion::Result::Failure;
  case LegOutcome::Broken:
    return R.Response.Status == 0 && !R.AnswerBegan
               ? RequestVersion::Result::Lost
               : RequestVersion::Result::Failure;
  case LegOutcome::TimedOut:
    return RequestVersion::Result::Lost;
  }
  return std::nullopt;
}

} // namespace hyssoprail::routing
