// The part of CrashLedger that exchanges its content with other entries.
#include <algorithm>
#include <tuple>
#include <utility>

#include "hyssoprail/routing/crash_ledger.hpp"

namespace hyssoprail::routing {
namespace {

/// A delta has at most this many answers.
constexpr std::size_t MaxDeltaAnswers = 64;

constexpr std::int64_t MicrosPerMilli = 1'000;

std::uint32_t ageMillis(TimePoint At, TimePoint Now) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(0, (Now - At) / milliseconds(1)));
}

/// The items of \p All that changed after \p Revision, the first change first.
template <typename Map>
std::vector<typename Map::const_iterator> changedSince(const Map &All,
                                                       std::uint64_t Revision) {
  std::vector<typename Map::const_iterator> Out;
  for (auto It = All.begin(); It != All.end(); ++It)
    if (It->second.Revision > Revision)
      Out.push_back(It);
  std::sort(Out.begin(), Out.end(), [](const auto &A, const auto &B) {
    return A->second.Revision < B->second.Revision;
  });
  return Out;
}

} // namespace

// ---- Exchange with peers --------------------------------------------------

void CrashLedger::notePeer(const std::string &Name,
                           std::uint64_t PeerIncarnation) {
  Peer &P = Peers[Name];
  if (P.Incarnation == PeerIncarnation)
    return;
  P = {};
  P.Incarnation = PeerIncarnation;
}

bool CrashLedger::hasNewsFor(const std::string &Name) const {
  const auto It = Peers.find(Name);
  return It == Peers.end()
             ? Revision > 0
             : It->second.ConfirmationDue || It->second.Confirmed < Revision;
}

void CrashLedger::keepPeers(const std::set<std::string> &Names) {
  std::erase_if(Peers,
                [&](const auto &Item) { return !Names.contains(Item.first); });
}

void CrashLedger::fillCrash(const Crash &C, wire::EngineCrash &Out,
                            TimePoint Now) const {
  Out.set_endpoint(C.EngineId);
  Out.set_started_at_ms(C.StartedAtMs);
  Out.set_age_ms(ageMillis(C.At, Now));
  Out.set_alive_after(C.AliveAfter);
  Out.set_broke_before(C.BrokeBefore);
  for (const PromptParts &Parts : C.Suspects) {
    wire::CrashSuspect *S = Out.add_suspects();
    for (const std::string &Part : Parts)
      S->add_parts(Part);
  }
}

void CrashLedger::fillDelta(const std::string &Name, wire::CrashDelta &Out,
                            TimePoint Now) {
  expire(Now);
  Peer &P = Peers[Name];
  P.ConfirmationDue = false;
  Out.set_incarnation(Incarnation);
  Out.set_confirmed_incarnation(P.Incarnation);
  Out.set_confirmed_revision(P.Received);
  std::uint64_t UpTo = Revision;
  const auto ChangedAnswers = changedSince(Answers, P.Confirmed);
  if (ChangedAnswers.size() > MaxDeltaAnswers)
    UpTo = ChangedAnswers[MaxDeltaAnswers - 1]->second.Revision;
  for (const auto &It : changedSince(Crashes, P.Confirmed)) {
    if (It->second.Revision > UpTo)
      break;
    fillCrash(It->second, *Out.add_crashes(), Now);
    if (Out.ByteSizeLong() > Bounds.DeltaBytes)
      UpTo = It->second.Revision;
  }
  for (const auto &It : ChangedAnswers) {
    if (It->second.Revision > UpTo)
      break;
    wire::AnsweredPart *A = Out.add_answered();
    A->set_part(It->first);
    A->set_age_ms(ageMillis(It->second.At, Now));
  }
  Out.set_revision(UpTo);
}

void CrashLedger::noteBrokeBefore(Crash &C) {
  if (!std::exchange(C.BrokeBefore, true))
    noteChange(C.Revision);
}

void CrashLedger::mergeCrash(const wire::EngineCrash &In, Duration Delay,
                             TimePoint Now) {
  const TimePoint At = Now - milliseconds(In.age_ms()) - Delay;
  if (Now - At >= Lifetime)
    return;
  Crash &C = crash(In.endpoint(), In.started_at_ms(), At);
  if (At + SameBreak < C.At && (C.BrokeBefore || In.alive_after()))
    return noteBrokeBefore(C);
  // If both copies know of an earlier break, a later time is that of a message
  // that was delayed, for example behind a network partition.
  const bool Disproved = C.AliveAfter || (In.broke_before() && !C.BrokeBefore);
  if (At > C.At + SameBreak && Disproved)
    replaceDisproved(C, At);
  else if (In.broke_before())
    noteBrokeBefore(C);
  for (const wire::CrashSuspect &S : In.suspects())
    addSuspect(C, bounded({S.parts().begin(), S.parts().end()}));
  if (!In.alive_after() || C.AliveAfter)
    return;
  C.AliveAfter = true;
  noteChange(C.Revision);
}

/// \p Delay is the time between the encoding and \p Now, if it is known.
void CrashLedger::mergeContent(const wire::CrashDelta &In, Duration Delay,
                               TimePoint Now) {
  for (const wire::EngineCrash &C : In.crashes())
    mergeCrash(C, Delay, Now);
  for (const wire::AnsweredPart &A : In.answered())
    addAnswer(A.part().substr(0, MaxIdBytes),
              Now - milliseconds(A.age_ms()) - Delay);
  makeRoom(Now);
}

void CrashLedger::applyDelta(const std::string &Name,
                             const wire::CrashDelta &In, TimePoint Now) {
  notePeer(Name, In.incarnation());
  Peer &P = Peers[Name];
  if (In.confirmed_incarnation() == Incarnation)
    P.Confirmed = std::max(P.Confirmed, In.confirmed_revision());
  if (In.revision() <= P.Received)
    P.ConfirmationDue =
        P.ConfirmationDue || In.crashes_size() > 0 || In.answered_size() > 0;
  else
    P.ConfirmationDue = true;
  P.Received = std::max(P.Received, In.revision());
  mergeContent(In, Duration{0}, Now);
}

// ---- Records in the store -------------------------------------------------

void CrashLedger::fillRecord(wire::CrashDelta &Out, TimePoint Now,
                             std::int64_t UnixMicros) {
  refresh(Now);
  Out.set_incarnation(Incarnation);
  Out.set_written_at_unix_ms(UnixMicros / MicrosPerMilli);
  const std::set<std::string> UnderBlame = crashesUnderBlame();
  std::vector<std::tuple<bool, TimePoint, const Crash *>> Evidence;
  for (const auto &[Key, C] : Crashes)
    if (isEvidence(C))
      Evidence.emplace_back(UnderBlame.contains(Key), C.At, &C);
  std::sort(Evidence.rbegin(), Evidence.rend());
  for (const auto &[Blamed, At, C] : Evidence)
    if (Out.ByteSizeLong() < Bounds.RecordBytes)
      fillCrash(*C, *Out.add_crashes(), Now);
  std::vector<std::pair<TimePoint, std::string_view>> Newest;
  for (const auto &[Part, A] : Answers)
    Newest.emplace_back(A.At, Part);
  std::sort(Newest.rbegin(), Newest.rend());
  std::size_t AnswerBytes = 0;
  for (const auto &[At, Part] : Newest) {
    if (AnswerBytes >= Bounds.RecordBytes)
      break;
    wire::AnsweredPart *A = Out.add_answered();
    A->set_part(std::string(Part));
    A->set_age_ms(ageMillis(At, Now));
    AnswerBytes += A->ByteSizeLong();
  }
}

void CrashLedger::mergeRecord(const wire::CrashDelta &In, TimePoint Now,
                              std::int64_t UnixMicros) {
  if (In.incarnation() == Incarnation)
    return;
  // Clamped before the subtraction, which would overflow with extreme times.
  const std::int64_t PresentMs = UnixMicros / MicrosPerMilli;
  const std::int64_t WrittenMs =
      std::clamp(In.written_at_unix_ms(),
                 PresentMs - Lifetime / milliseconds(1), PresentMs);
  mergeContent(In, milliseconds(PresentMs - WrittenMs), Now);
}

std::string CrashLedger::encode(TimePoint Now, std::int64_t UnixMicros) {
  wire::CrashDelta Out;
  fillRecord(Out, Now, UnixMicros);
  return Out.SerializeAsString();
}

void CrashLedger::merge(std::string_view Encoded, TimePoint Now,
                        std::int64_t UnixMicros) {
  wire::CrashDelta In;
  if (In.ParseFromArray(Encoded.data(), static_cast<int>(Encoded.size())))
    mergeRecord(In, Now, UnixMicros);
}

} // namespace hyssoprail::routing
