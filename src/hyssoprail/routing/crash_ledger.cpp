#include "hyssoprail/routing/crash_ledger.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail::routing {
namespace {

/// Data of an engine that arrives sooner after its connection broke may have
/// been on its way.
constexpr milliseconds AliveAfter{300};

} // namespace

/// An id of more than MaxIdBytes is replaced by its hash, which is the same at
/// all entries, so that the copies know a crash by the same key.
std::string CrashLedger::shortId(std::string_view EngineId) {
  return EngineId.size() > MaxIdBytes
             ? fmt::format("{:016x}", stableHash(EngineId))
             : std::string(EngineId);
}

std::string CrashLedger::keyOf(std::string_view EngineId,
                               std::int64_t StartedAtMs) {
  return fmt::format("{}@{}", shortId(EngineId), StartedAtMs);
}

PromptParts CrashLedger::bounded(const PromptParts &Parts) {
  PromptParts Out;
  for (const std::string &Part : Parts)
    if (Out.size() < MaxParts)
      Out.push_back(Part.substr(0, MaxIdBytes));
  return Out;
}

void CrashLedger::noteChange(std::uint64_t &ItemRevision) {
  ItemRevision = ++Revision;
  Dirty = true;
}

/// Finds or adds the crash of an engine; the first report of it gives the time.
CrashLedger::Crash &CrashLedger::crash(const std::string &EngineId,
                                       std::int64_t StartedAtMs, TimePoint At) {
  const auto [It, New] = Crashes.try_emplace(keyOf(EngineId, StartedAtMs));
  Crash &C = It->second;
  if (New) {
    C.EngineId = shortId(EngineId);
    C.StartedAtMs = StartedAtMs;
    C.At = At;
    NextExpiry = std::min(NextExpiry, At + Lifetime);
    NewestCrashAt = std::max(NewestCrashAt, At);
  }
  return C;
}

/// An engine whose connection had broken without a crash crashes later, in the
/// same incarnation: the new break replaces the old one.
void CrashLedger::replaceDisproved(Crash &C, TimePoint At) {
  C.At = At;
  C.AliveAfter = false;
  C.BrokeBefore = true;
  C.Suspects.clear();
  NewestCrashAt = std::max(NewestCrashAt, At);
  noteChange(C.Revision);
}

std::size_t CrashLedger::suspectParts(const Crash &C) {
  std::size_t Out = 0;
  for (const PromptParts &Parts : C.Suspects)
    Out += Parts.size();
  return Out;
}

/// Adds a prompt whose answer broke with the engine. What this entry has seen
/// of its parts before becomes known to the others with it.
void CrashLedger::addSuspect(Crash &C, PromptParts Parts) {
  if (C.Suspects.size() >= Bounds.Suspects ||
      suspectParts(C) + Parts.size() > Bounds.SuspectParts)
    return;
  const auto [It, New] = C.Suspects.insert(std::move(Parts));
  if (!New)
    return;
  noteChange(C.Revision);
  SuspectedParts.insert(It->begin(), It->end());
  for (const std::string &Part : *It)
    for (const auto *Seen : {&RecentAnswers, &OlderAnswers})
      if (const auto At = Seen->find(Part); At != Seen->end())
        addAnswer(Part, At->second);
}

void CrashLedger::recordCrash(const EndpointRecord &Engine,
                              const PromptParts &Parts, TimePoint Now,
                              TimePoint SentAt) {
  if (Parts.empty())
    return;
  expire(Now);
  const auto Known = Crashes.find(keyOf(Engine.Id, Engine.StartedAtMs));
  if (Known != Crashes.end()) {
    Crash &C = Known->second;
    const bool SentLater = C.At < SentAt;
    if (C.AliveAfter && (SentLater || Now - C.At > SameBreak))
      replaceDisproved(C, Now);
    else if (SentLater)
      return;
  }
  addSuspect(crash(Engine.Id, Engine.StartedAtMs, Now), bounded(Parts));
  makeRoom(Now);
}

/// An answer is news only if a crash counts against the part until then.
void CrashLedger::addAnswer(const std::string &Part, TimePoint At) {
  const auto Known = Answers.find(Part);
  if (Known != Answers.end() &&
      (At <= Known->second.At || NewestCrashAt < Known->second.At))
    return;
  Answer &A = Answers[Part];
  A.At = At;
  noteChange(A.Revision);
}

void CrashLedger::recordAnswer(const PromptParts &Parts, TimePoint Now) {
  for (const std::string &Part : bounded(Parts)) {
    RecentAnswers[Part] = Now;
    if (RecentAnswers.size() >= Bounds.AnsweredParts / 2)
      OlderAnswers = std::exchange(RecentAnswers, {});
    const bool Suspected =
        SuspectedParts.contains(Part) &&
        std::any_of(Crashes.begin(), Crashes.end(), [&](const auto &Item) {
          return countsAgainst(Item.second, Part);
        });
    if (Suspected)
      addAnswer(Part, Now);
  }
}

/// A connection that began later does not count: the engine may have started
/// again under its old id.
void CrashLedger::recordAlive(std::string_view EngineId, TimePoint Since,
                              TimePoint Now) {
  if (Since > NewestCrashAt)
    return;
  const std::string Id = shortId(EngineId);
  for (auto &[Key, C] : Crashes)
    if (C.EngineId == Id && !C.AliveAfter && Since < C.At &&
        Now - C.At > AliveAfter) {
      C.AliveAfter = true;
      noteChange(C.Revision);
    }
}

void CrashLedger::expire(TimePoint Now) {
  if (Now < NextExpiry && !Crashes.empty())
    return;
  NextExpiry = TimePoint::max();
  std::erase_if(Crashes, [&](const auto &Item) {
    return Now - Item.second.At >= Lifetime;
  });
  for (const auto &[Key, C] : Crashes)
    NextExpiry = std::min(NextExpiry, C.At + Lifetime);
  findSuspectedParts();
  std::erase_if(Answers, [&](const auto &Item) {
    return Now - Item.second.At >= Lifetime;
  });
  Dirty = true;
}

void CrashLedger::findSuspectedParts() {
  SuspectedParts.clear();
  for (const auto &[Key, C] : Crashes)
    for (const PromptParts &Parts : C.Suspects)
      SuspectedParts.insert(Parts.begin(), Parts.end());
}

/// Crashes that count against no part any more go first, then the oldest ones,
/// and those under blamed parts last.
void CrashLedger::makeRoom(TimePoint Now) {
  const bool Full = Crashes.size() > Bounds.Crashes;
  if (Full)
    refresh(Now);
  const std::set<std::string> Kept =
      Full ? crashesUnderBlame() : std::set<std::string>{};
  const auto Rank = [&](const auto &Item) {
    return std::tuple(Kept.contains(Item.first), isEvidence(Item.second),
                      Item.second.At);
  };
  while (Crashes.size() > Bounds.Crashes) {
    Crashes.erase(std::min_element(
        Crashes.begin(), Crashes.end(),
        [&](const auto &A, const auto &B) { return Rank(A) < Rank(B); }));
    Dirty = true;
  }
  if (Full)
    findSuspectedParts();
  while (Answers.size() > Bounds.AnsweredParts)
    Answers.erase(std::min_element(Answers.begin(), Answers.end(),
                                   [](const auto &A, const auto &B) {
                                     return A.second.At < B.second.At;
                                   }));
}

} // namespace hyssoprail::routing
