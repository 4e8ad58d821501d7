#include "hyssoprail/version/config_feed.hpp"

#include <algorithm>

#include <fmt/format.h>

#include "hyssoprail/core/hash.hpp"

namespace hyssoprail {
namespace {

constexpr std::size_t MaxRecordsPerMessage = 512;
constexpr unsigned MaxAskDoublings = 3; // 0.5 s up to 4 s

/// Sorts names by falling rendezvous weight for \p Item.
void sortByWeight(std::vector<std::string> &Names, std::string_view Item) {
  std::sort(Names.begin(), Names.end(),
            [&](const std::string &A, const std::string &B) {
              return rendezvousWeight(Item, A) > rendezvousWeight(Item, B);
            });
}

} // namespace

ConfigFeed::ConfigFeed(FeedOptions Settings, ConfigStore &Target)
    : Options(std::move(Settings)), Store(Target) {}

FeedActions ConfigFeed::peerHeard(const FeedPeer &Peer, TimePoint Now) {
  PeerState &Known = Peers[Peer.Name];
  // A delayed heartbeat must not lower what is known of the peer.
  const std::uint64_t Version = std::max(Known.Last.Version, Peer.Version);
  Known.Last = Peer;
  Known.Last.Version = Version;
  Known.HeardAt = Now;
  FeedActions Out;
  ask(Now, Out);
  return Out;
}

FeedActions ConfigFeed::request(const std::string &Peer,
                                const wire::ConfigRequest &Request) {
  auto Found =
      Store.recordsAfter(Request.after_version(), MaxRecordsPerMessage);
  if (auto *Records = std::get_if<wire::ConfigRecords>(&Found))
    return {SendRecords{Peer, std::move(*Records)}};
  return {SendSnapshot{Peer, std::move(std::get<wire::ConfigSnapshot>(Found))}};
}

FeedActions ConfigFeed::records(const std::string &Peer,
                                const wire::ConfigRecords &Records,
                                TimePoint Now) {
  const std::uint64_t Before = version();
  Store.apply({Records.records().begin(), Records.records().end()});
  // After a gap the peer is ahead, so the missing records are asked for. An
  // answer without records shows that it has none, whatever it said before.
  if (Records.records().empty())
    noteVersion(Peer, Records.after_version(), true);
  else
    noteVersion(Peer, Records.records().rbegin()->offset(), false);
  if (AskedPeer == Peer)
    AskedPeer.clear();
  FeedActions Out;
  advanced(Before, Peer, Out);
  ask(Now, Out);
  return Out;
}

FeedActions ConfigFeed::snapshot(const std::string &Peer,
                                 const wire::ConfigSnapshot &Snapshot,
                                 TimePoint Now) {
  Store.restore(Snapshot.state());
  noteVersion(Peer, Snapshot.state().version(), true);
  if (AskedPeer == Peer)
    AskedPeer.clear();
  FeedActions Out;
  ask(Now, Out);
  return Out;
}

FeedActions ConfigFeed::logRead(const LogPage &Page, TimePoint Now) {
  Reading = false;
  NextRead = Now;
  LogFirst = std::max(LogFirst, Page.First);
  LogEnd = std::max(LogEnd, Page.End);
  // No checkpoint up to the end: search again from the beginning, and not at
  // once; meanwhile a peer may help.
  if (SearchAfter && Page.Records.empty())
    return logPassed(Page.First, Now);
  const std::uint64_t Before = version();
  const BatchResult Result = Store.apply(Page.Records);
  FeedActions Out;
  if (Result.Restored || !Result.Gap) {
    SearchAfter.reset();
    if (!Result.Restored)
      advanced(Before, "", Out);
  } else {
    SearchAfter = Page.Records.back().offset();
  }
  readLog(Now, Out);
  checkpoint(Now, Out);
  return Out;
}

FeedActions ConfigFeed::logPassed(std::uint64_t First, TimePoint Now) {
  Reading = false;
  LogFirst = std::max(LogFirst, First);
  const bool Again = SearchAfter.has_value();
  NextRead = Again ? Now + Options.LogRetry : Now;
  SearchAfter = First > 0 ? First - 1 : 0;
  FeedActions Out;
  readLog(Now, Out);
  return Out;
}

FeedActions ConfigFeed::logFailed(TimePoint Now) {
  Reading = false;
  NextRead = Now + Options.LogRetry;
  return {};
}

FeedActions ConfigFeed::tick(TimePoint Now) {
  FeedActions Out;
  forgetSilentPeers(Now);
  ask(Now, Out);
  readLog(Now, Out);
  checkpoint(Now, Out);
  return Out;
}

// ---- Tree

std::vector<std::string> ConfigFeed::zoneOrder() const {
  std::vector<std::string> Names{Options.Name};
  for (const auto &[Name, Peer] : Peers)
    if (Peer.Last.IsEntry && Peer.Last.Zone == Options.Zone)
      Names.push_back(Name);
  sortByWeight(Names, Options.Zone);
  return Names;
}

/// The entries of a zone form a tree in the order of their ranks: the first
/// ones read the log, each later one takes records from an earlier one.
std::string ConfigFeed::parentOf(std::size_t Rank,
                                 const std::vector<std::string> &Order) const {
  if (Rank < Options.ReadersPerZone)
    return "";
  return Order[(Rank - Options.ReadersPerZone) / Options.FanOut];
}

std::string ConfigFeed::parent() const {
  if (!Options.IsEntry)
    return "";
  const std::vector<std::string> Order = zoneOrder();
  const auto Mine = std::find(Order.begin(), Order.end(), Options.Name);
  return parentOf(static_cast<std::size_t>(Mine - Order.begin()), Order);
}

bool ConfigFeed::isReader() const {
  return Options.IsEntry && parent().empty();
}

std::size_t ConfigFeed::rankAmongEntries(std::string_view Item) const {
  std::vector<std::string> Names{Options.Name};
  for (const auto &[Name, Peer] : Peers)
    if (Peer.Last.IsEntry)
      Names.push_back(Name);
  sortByWeight(Names, Item);
  return static_cast<std::size_t>(
      std::find(Names.begin(), Names.end(), Options.Name) - Names.begin());
}

// ---- Sending

/// Pushes what was applied since \p Before. A long jump is not pushed: peers
/// notice it by the heartbeat and ask for what they need.
void ConfigFeed::advanced(std::uint64_t Before, const std::string &From,
                          FeedActions &Out) {
  const std::uint64_t After = version();
  if (!Options.IsEntry || After == Before ||
      After - Before > MaxRecordsPerMessage)
    return;
  const auto Found = Store.recordsAfter(Before, MaxRecordsPerMessage);
  const auto *Records = std::get_if<wire::ConfigRecords>(&Found);
  if (Records == nullptr)
    return;
  const std::vector<std::string> Order = zoneOrder();
  for (const auto &[Name, Peer] : Peers)
    if (Name != From && Peer.Last.Version < After && pushesTo(Peer, Order))
      Out.emplace_back(SendRecords{Name, *Records});
}

bool ConfigFeed::pushesTo(const PeerState &Peer,
                          const std::vector<std::string> &Order) const {
  if (!Peer.Last.IsEntry)
    return rankAmongEntries(Peer.Last.Name) < Options.PushersPerAgent;
  const auto Found = std::find(Order.begin(), Order.end(), Peer.Last.Name);
  if (Found == Order.end())
    return false;
  return parentOf(static_cast<std::size_t>(Found - Order.begin()), Order) ==
         Options.Name;
}

// ---- Asking

void ConfigFeed::forgetSilentPeers(TimePoint Now) {
  std::erase_if(Peers, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > Options.PeerTimeout;
  });
}

void ConfigFeed::noteVersion(const std::string &Peer, std::uint64_t Version,
                             bool Newest) {
  const auto Found = Peers.find(Peer);
  if (Found == Peers.end())
    return;
  PeerState &Known = Found->second;
  Known.Unanswered = 0;
  Known.Last.Version = Newest ? Version : std::max(Known.Last.Version, Version);
}

std::chrono::milliseconds ConfigFeed::askDelay() const {
  return isReader() && !SearchAfter ? Options.ReaderAskDelay : Options.AskDelay;
}

void ConfigFeed::ask(TimePoint Now, FeedActions &Out) {
  const PeerState *Target = peerToAsk();
  if (Target == nullptr) {
    BehindSince.reset();
    return;
  }
  if (!BehindSince)
    BehindSince = Now;
  if (Now - *BehindSince < askDelay() || waitsForAnswer(Now))
    return;
  ++Peers[Target->Last.Name].Unanswered;
  AskedPeer = Target->Last.Name;
  AskedAt = Now;
  AskPeer Action{AskedPeer, {}};
  Action.Request.set_after_version(version());
  Out.emplace_back(std::move(Action));
}

/// A peer that is ahead: the one with the fewest unanswered requests, so that
/// an unresponsive peer is passed over; then the parent in the tree; then by
/// weight, which spreads the askers.
const ConfigFeed::PeerState *ConfigFeed::peerToAsk() const {
  const std::uint64_t Mine = version();
  const std::string Parent = parent();
  const auto Worse = [&](const PeerState &A, const PeerState &B) {
    if (A.Unanswered != B.Unanswered)
      return A.Unanswered > B.Unanswered;
    if ((A.Last.Name == Parent) != (B.Last.Name == Parent))
      return B.Last.Name == Parent;
    return rendezvousWeight(Options.Name, A.Last.Name) <
           rendezvousWeight(Options.Name, B.Last.Name);
  };
  const PeerState *Best = nullptr;
  for (const auto &[Name, Peer] : Peers)
    if (Peer.Last.IsEntry && Peer.Last.Version > Mine &&
        (Best == nullptr || Worse(*Best, Peer)))
      Best = &Peer;
  return Best;
}

bool ConfigFeed::waitsForAnswer(TimePoint Now) const {
  if (AskedPeer.empty())
    return false;
  const auto Found = Peers.find(AskedPeer);
  if (Found == Peers.end())
    return false;
  const unsigned Doublings =
      std::min(std::max(Found->second.Unanswered, 1U) - 1, MaxAskDoublings);
  return Now - AskedAt < Options.AskTimeout * (1U << Doublings);
}

// ---- Log

bool ConfigFeed::readsLog(TimePoint Now) const {
  if (!Options.IsEntry)
    return false;
  if (isReader())
    return true;
  // Below the readers: only while no entry has fresh news of the log.
  return std::none_of(Peers.begin(), Peers.end(), [&](const auto &Entry) {
    const PeerState &Peer = Entry.second;
    return Peer.Last.IsEntry &&
           Now - Peer.HeardAt + Peer.Last.LogAge < Options.ReaderSilence;
  });
}

void ConfigFeed::readLog(TimePoint Now, FeedActions &Out) {
  if (Reading || Now < NextRead || !readsLog(Now))
    return;
  // A peer may have helped over the gap in the meantime.
  if (SearchAfter && version() + 1 >= LogFirst)
    SearchAfter.reset();
  Reading = true;
  Out.emplace_back(ReadLog{SearchAfter.value_or(version())});
}

/// True if the newest checkpoint is older than a quarter of what the log keeps.
bool ConfigFeed::checkpointTooOld() const {
  const std::uint64_t Mine = version();
  std::uint64_t Distance = (LogEnd - LogFirst + 1) / 4;
  if (LogFirst <= 1)
    Distance = std::max(Distance, Options.MinCheckpointDistance);
  return Mine - std::min(Mine, Store.checkpointOffset()) > Distance;
}

void ConfigFeed::checkpoint(TimePoint Now, FeedActions &Out) {
  const bool KnowsEnd = LogEnd > 0 && !SearchAfter && version() >= LogEnd;
  if (!Options.IsEntry || !KnowsEnd)
    return;
  if (!checkpointTooOld()) {
    CheckpointDue.reset();
    CheckpointSent.reset();
    return;
  }
  if (CheckpointSent && Now - *CheckpointSent < Options.CheckpointRetry)
    return;
  if (!CheckpointDue)
    CheckpointDue = Now + Options.CheckpointStagger *
                              static_cast<int>(rankAmongEntries("checkpoint"));
  if (Now < *CheckpointDue)
    return;
  CheckpointSent = Now;
  wire::LogRecord Record;
  wire::Checkpoint &Body = *Record.mutable_checkpoint();
  *Body.mutable_state() = Store.checkpoint();
  Body.set_covers(Body.state().version());
  Record.set_author(Options.Name);
  Record.set_operation_id(
      fmt::format("checkpoint-{}-{}", Options.Name, Body.covers()));
  Out.emplace_back(AppendCheckpoint{std::move(Record)});
}

} // namespace hyssoprail
