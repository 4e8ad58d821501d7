// The part of CrashLedger that blames parts for crashes.
#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

#include "hyssoprail/routing/crash_ledger.hpp"

namespace hyssoprail::routing {
namespace {

/// Crashes that the store tells other coordinators about.
constexpr std::size_t CrashesWorthPublishing = 2;

/// A part that was answered before is blamed after this many crashes only, as
/// requests with it may just have been in the way.
constexpr std::size_t MinCrashesAfterAnswer = 5;

/// A part that was answered before is not blamed for crashes within this time:
/// a part that is in use everywhere is under all crashes of a larger failure.
constexpr milliseconds MinSpanAfterAnswer{1'000};

/// A rarer part is the likelier cause of the crashes that it was at, if it was
/// at this many, under as many different prompts.
constexpr std::size_t CrashesOfLikelierPart = 2;

/// More parts are not bad at the same time: the one that they share is. With 3,
/// a bad part in prompts of twelve crashed up to 21 engines.
constexpr std::size_t MaxLikelierParts = 2;

/// From so many crashes on, the rarer parts have to explain all of them; of
/// fewer crashes, two parts that are often used are at most by chance.
constexpr std::size_t CrashesToExplain = 8;

/// A blamed part is kept from the engines in all prompts for this time; answers
/// that are in progress then tell it from its companions. Later on, only
/// prompts with all of its companions are.
constexpr milliseconds CompanionDelay{1'000};

/// A request that has been blamed for this time stays blamed although another
/// one explains its crashes, too. By then all entries have told what they saw.
constexpr milliseconds SettleTime{500};

std::optional<TimePoint> blamedSince(const std::vector<QuarantinedPart> &Parts,
                                     const std::string &Part) {
  for (const QuarantinedPart &Q : Parts)
    if (Q.Part == Part)
      return Q.Since;
  return std::nullopt;
}

} // namespace

bool CrashLedger::countsAgainst(const Crash &C, const std::string &Part) const {
  if (C.AliveAfter)
    return false;
  const auto Answered = Answers.find(Part);
  if (Answered != Answers.end() && Answered->second.At >= C.At)
    return false;
  return std::any_of(
      C.Suspects.begin(), C.Suspects.end(), [&](const PromptParts &Parts) {
        return std::find(Parts.begin(), Parts.end(), Part) != Parts.end();
      });
}

/// True if the crash counts against at least one part.
bool CrashLedger::isEvidence(const Crash &C) const {
  for (const PromptParts &Parts : C.Suspects)
    for (const std::string &Part : Parts)
      if (countsAgainst(C, Part))
        return true;
  return false;
}

/// Keys of the newest crashes that count against blamed parts: without them the
/// parts would be released. They fill at most half of the memory, so that
/// further parts can be blamed.
std::set<std::string> CrashLedger::crashesUnderBlame() const {
  std::vector<std::pair<TimePoint, std::string>> Found;
  for (const auto &Item : Crashes) {
    const Crash &C = Item.second;
    if (std::any_of(Quarantine.begin(), Quarantine.end(),
                    [&](const auto &Q) { return countsAgainst(C, Q.Part); }))
      Found.emplace_back(C.At, Item.first);
  }
  std::sort(Found.rbegin(), Found.rend());
  Found.resize(std::min(Found.size(), Bounds.Crashes / 2));
  std::set<std::string> Out;
  for (auto &[At, Key] : Found)
    Out.insert(std::move(Key));
  return Out;
}

/// The last parts of prompts are their own, so they tell the prompts apart.
bool CrashLedger::Suspicion::isRarerThan(const Suspicion &Other) const {
  return LastParts.size() != Other.LastParts.size()
             ? LastParts.size() < Other.LastParts.size()
             : Depth > Other.Depth;
}

/// The suspected parts in the order in which they are to be blamed: those
/// without any answer first, then those with more crashes, then rarer ones.
std::vector<CrashLedger::Suspicion> CrashLedger::suspicions() const {
  std::map<std::string, Suspicion> ByPart;
  for (const auto &[Key, C] : Crashes)
    for (const PromptParts &Parts : C.Suspects)
      for (std::size_t I = 0; I < Parts.size(); ++I) {
        if (!countsAgainst(C, Parts[I]))
          continue;
        Suspicion &S = ByPart[Parts[I]];
        S.Part = Parts[I];
        S.Crashes.insert(Key);
        S.LastParts.insert(Parts.back());
        S.IsWhole = S.IsWhole && Parts.size() == 1;
        S.Depth = std::max(S.Depth, I);
        S.Answered = Answers.contains(Parts[I]);
        S.FirstCrashAt = std::min(S.FirstCrashAt, C.At);
        S.LastCrashAt = std::max(S.LastCrashAt, C.At);
      }
  std::vector<Suspicion> Out;
  Out.reserve(ByPart.size());
  for (auto &[Part, S] : ByPart)
    Out.push_back(std::move(S));
  std::stable_sort(Out.begin(), Out.end(),
                   [](const Suspicion &A, const Suspicion &B) {
                     if (A.Answered != B.Answered)
                       return B.Answered;
                     if (A.Crashes.size() != B.Crashes.size())
                       return A.Crashes.size() > B.Crashes.size();
                     return A.isRarerThan(B);
                   });
  return Out;
}

/// True if another part is as likely the cause of the same crashes. The next
/// crash or answer tells the two apart, as only one of them is under it.
bool CrashLedger::isAmbiguous(const Suspicion &S,
                              const std::vector<Suspicion> &All) {
  return std::any_of(All.begin(), All.end(), [&](const Suspicion &Other) {
    return Other.Part != S.Part && Other.Depth == S.Depth &&
           Other.Answered == S.Answered && Other.Crashes == S.Crashes;
  });
}

/// True if the crashes under \p S, but for the \p Explained ones, are reason
/// enough to blame it.
bool CrashLedger::isBlamed(const Suspicion &S,
                           const std::vector<Suspicion> &All,
                           const std::set<std::string> &Explained) const {
  std::set<std::string> Left;
  std::set_difference(S.Crashes.begin(), S.Crashes.end(), Explained.begin(),
                      Explained.end(), std::inserter(Left, Left.end()));
  if (Left.size() < MinCrashes)
    return false; // most parts; the comparison with all others costs time
  const bool NeedsMore = S.Answered || isAmbiguous(S, All);
  const std::size_t Needed = NeedsMore ? MinCrashesAfterAnswer : MinCrashes;
  if (Left.size() < Needed ||
      (S.Answered && S.LastCrashAt - S.FirstCrashAt < MinSpanAfterAnswer))
    return false;
  std::size_t Likelier = 0;
  for (const Suspicion &Other : All) {
    if (!Other.isRarerThan(S) || Other.Crashes.size() < CrashesOfLikelierPart ||
        Other.LastParts.size() < CrashesOfLikelierPart)
      continue;
    const std::size_t Removed = std::erase_if(
        Left, [&](const auto &Key) { return Other.Crashes.contains(Key); });
    Likelier += Removed > 0 ? 1 : 0;
  }
  const bool Unexplained = S.Crashes.size() >= CrashesToExplain
                               ? !Left.empty()
                               : Left.size() >= Needed;
  return Unexplained || Likelier > MaxLikelierParts;
}

/// Since when \p S is blamed, if it stays so; \p Before was blamed until now.
/// Two requests that crash endpoints are often in progress together: if the
/// newer crashes under one of them released the other, it would crash more.
/// Only a whole request can stay blamed in this way: of the parts of a prompt,
/// another one may turn out to be the cause. A late report of an answer, or of
/// another request at all of its crashes, makes it as doubtful as if that had
/// been known at first.
std::optional<TimePoint>
CrashLedger::settled(const std::vector<QuarantinedPart> &Before,
                     const Suspicion &S, const std::vector<Suspicion> &All,
                     TimePoint Now) {
  if (!S.IsWhole || S.Crashes.size() < MinCrashes)
    return std::nullopt;
  const auto Since = blamedSince(Before, S.Part);
  if (!Since || Now - *Since < SettleTime)
    return std::nullopt;
  const bool NeedsMore = S.Answered || isCovered(S, All);
  return NeedsMore && S.Crashes.size() < MinCrashesAfterAnswer ? std::nullopt
                                                               : Since;
}

/// Parts that cannot be told from \p S, see QuarantinedPart. Other parts of a
/// whole request do not exist.
PromptParts CrashLedger::companions(const Suspicion &S) const {
  std::optional<std::set<std::string>> Together;
  for (const std::string &Key : S.Crashes)
    for (const PromptParts &Parts : Crashes.at(Key).Suspects) {
      if (std::find(Parts.begin(), Parts.end(), S.Part) == Parts.end())
        continue;
      if (!Together)
        Together.emplace(Parts.begin(), Parts.end());
      std::erase_if(*Together, [&](const std::string &Part) {
        return std::find(Parts.begin(), Parts.end(), Part) == Parts.end();
      });
    }
  PromptParts Out;
  for (const std::string &Part : Together.value_or(std::set<std::string>{}))
    if (Part != S.Part && !Answers.contains(Part))
      Out.push_back(Part);
  return Out;
}

/// True if another part that was not answered is at all crashes of \p S.
bool CrashLedger::isCovered(const Suspicion &S,
                            const std::vector<Suspicion> &All) {
  return std::any_of(All.begin(), All.end(), [&](const Suspicion &Other) {
    return Other.Part != S.Part && !Other.Answered &&
           std::includes(Other.Crashes.begin(), Other.Crashes.end(),
                         S.Crashes.begin(), S.Crashes.end());
  });
}

void CrashLedger::refresh(TimePoint Now) {
  if (Crashes.empty() && Quarantine.empty())
    return;
  expire(Now);
  if (!std::exchange(Dirty, false))
    return;
  const std::vector<QuarantinedPart> Before = std::exchange(Quarantine, {});
  MostCrashes = 0;
  std::set<std::string> Explained; // keys of crashes under blamed parts
  const std::vector<Suspicion> All = suspicions();
  const auto Blame = [&](const Suspicion &S, TimePoint Since) {
    Explained.insert(S.Crashes.begin(), S.Crashes.end());
    Quarantine.push_back({S.Part, S.Crashes.size(), S.LastCrashAt + Lifetime,
                          Since, companions(S)});
  };
  for (const Suspicion &S : All) {
    MostCrashes = std::max(MostCrashes, S.Crashes.size());
    if (const auto Since = settled(Before, S, All, Now))
      Blame(S, *Since);
  }
  for (const Suspicion &S : All)
    if (!settled(Before, S, All, Now) && isBlamed(S, All, Explained))
      Blame(S, blamedSince(Before, S.Part).value_or(Now));
}

bool CrashLedger::isQuarantined(const PromptParts &Parts, TimePoint Now) {
  refresh(Now);
  const auto Has = [&](const std::string &Known) {
    return std::any_of(Parts.begin(), Parts.end(), [&](const auto &Part) {
      return std::string_view(Part).substr(0, MaxIdBytes) == Known;
    });
  };
  return std::any_of(Quarantine.begin(), Quarantine.end(), [&](const auto &Q) {
    return Has(Q.Part) &&
           (Now - Q.Since < CompanionDelay ||
            std::all_of(Q.Companions.begin(), Q.Companions.end(), Has));
  });
}

const std::vector<QuarantinedPart> &CrashLedger::quarantined(TimePoint Now) {
  refresh(Now);
  return Quarantine;
}

bool CrashLedger::worthPublishing(TimePoint Now) {
  refresh(Now);
  return MostCrashes >= CrashesWorthPublishing;
}

} // namespace hyssoprail::routing
