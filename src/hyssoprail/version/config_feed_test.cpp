#include "hyssoprail/version/config_feed.hpp"

#include <map>
#include <set>

#include <catch2/catch.hpp>

#include "hyssoprail/version/test_records.hpp"

namespace hyssoprail {
namespace {

using namespace testing;

const TimePoint Start{std::chrono::seconds(100)};

FeedOptions entryOptions(const std::string &Name) {
  FeedOptions Out;
  Out.Name = Name;
  Out.Zone = "a";
  Out.IsEntry = true;
  return Out;
}

FeedPeer entryPeer(const std::string &Name, std::uint64_t Version) {
  return {.Name = Name, .IsEntry = true, .Zone = "a", .Version = Version};
}

FeedPeer agentPeer(const std::string &Name, std::uint64_t Version) {
  return {.Name = Name, .IsEntry = false, .Zone = "a", .Version = Version};
}

template <typename T> std::vector<T> only(const FeedActions &Actions) {
  std::vector<T> Out;
  for (const FeedAction &A : Actions)
    if (const T *Found = std::get_if<T>(&A))
      Out.push_back(*Found);
  return Out;
}

LogPage page(std::uint64_t From, std::uint64_t To) {
  LogPage Out{.First = 1, .End = To, .Records = {}};
  for (std::uint64_t I = From; I <= To; ++I) {
    wire::OffsetRecord R;
    R.set_offset(I);
    *R.mutable_record() = change("op" + std::to_string(I),
                                 accountObject("a" + std::to_string(I)));
    Out.Records.push_back(R);
  }
  return Out;
}

} // namespace

// Guards against agents that miss a new configuration, or receive it from
// every entry of a large fleet.
TEST_CASE("new records are pushed at once by two entries") {
  std::size_t Pushes = 0;
  for (int Mine = 0; Mine < 5; ++Mine) {
    ConfigStore Store;
    ConfigFeed Feed(entryOptions("e" + std::to_string(Mine)), Store);
    for (int I = 0; I < 5; ++I)
      if (I != Mine)
        Feed.peerHeard(entryPeer("e" + std::to_string(I), 0), Start);
    Feed.peerHeard(agentPeer("agent", 0), Start);
    for (const SendRecords &S :
         only<SendRecords>(Feed.logRead(page(1, 3), Start)))
      if (S.Peer == "agent") {
        ++Pushes;
        CHECK(S.Records.records_size() == 3);
      }
  }
  CHECK(Pushes == 2);
}

// Guards against a load on the log that grows with the number of entries, and
// against entries that no other entry feeds.
TEST_CASE("entries below the readers have a parent that pushes to them") {
  constexpr int Count = 40;
  const auto Name = [](int I) { return "e" + std::to_string(I); };
  std::map<std::string, std::size_t> Received;
  std::size_t Readers = 0;
  for (int Mine = 0; Mine < Count; ++Mine) {
    ConfigStore Store;
    ConfigFeed Feed(entryOptions(Name(Mine)), Store);
    for (int I = 0; I < Count; ++I)
      if (I != Mine)
        Feed.peerHeard(entryPeer(Name(I), 0), Start);
    Readers += Feed.isReader() ? 1 : 0;
    CHECK(only<ReadLog>(Feed.tick(Start)).empty() == !Feed.isReader());
    for (const SendRecords &S :
         only<SendRecords>(Feed.logRead(page(1, 1), Start)))
      ++Received[S.Peer];
  }
  CHECK(Readers == 3);
  CHECK(Received.size() == Count - 3);
  for (const auto &[Peer, Times] : Received)
    CHECK(Times == 1);
}

// Guards against an entry that stands still because its parents lost the log.
TEST_CASE("without news of the log every entry reads it") {
  FeedOptions Options = entryOptions("e0");
  Options.ReadersPerZone = 0;
  Options.FanOut = 1;
  ConfigStore Store;
  ConfigFeed Feed(Options, Store);
  FeedPeer Peer = entryPeer("e1", 0);
  Feed.peerHeard(Peer, Start);
  CHECK(only<ReadLog>(Feed.tick(Start)).empty());
  Peer.LogAge = milliseconds(3'000);
  Feed.peerHeard(Peer, Start);
  CHECK(only<ReadLog>(Feed.tick(Start)).size() == 1);
}

// Guards against an agent that waits for an unresponsive entry for ever.
TEST_CASE("an unresponsive peer is passed over") {
  FeedOptions Options;
  Options.Name = "agent";
  ConfigStore Store;
  ConfigFeed Feed(Options, Store);
  std::set<std::string> Asked;
  TimePoint Now = Start;
  for (int Step = 0; Step < 40; ++Step) {
    Now += milliseconds(50);
    for (const char *Name : {"e1", "e2"})
      for (const AskPeer &A :
           only<AskPeer>(Feed.peerHeard(entryPeer(Name, 9), Now)))
        Asked.insert(A.Peer);
  }
  CHECK(Asked.size() == 2);
}

// Guards against a loop of requests to a peer that restarted with less than
// it had reported.
TEST_CASE("an empty answer ends the requests") {
  FeedOptions Options;
  Options.Name = "agent";
  Options.AskDelay = milliseconds(0);
  ConfigStore Store;
  ConfigFeed Feed(Options, Store);
  CHECK(only<AskPeer>(Feed.peerHeard(entryPeer("e1", 9), Start)).size() == 1);
  CHECK(Feed.records("e1", {}, Start).empty());
  CHECK(Feed.tick(Start + milliseconds(900)).empty());
}

// Guards against a log that retention empties before a checkpoint is there,
// and against a checkpoint of each entry.
TEST_CASE("a checkpoint follows when a quarter of the log is newer") {
  ConfigStore Store;
  ConfigFeed Feed(entryOptions("e1"), Store);
  CHECK(only<AppendCheckpoint>(Feed.logRead(page(1, 32), Start)).empty());
  const auto Sent = only<AppendCheckpoint>(Feed.logRead(page(33, 40), Start));
  REQUIRE(Sent.size() == 1);
  CHECK(Sent[0].Record.checkpoint().covers() == 40);
  CHECK(only<AppendCheckpoint>(Feed.tick(Start + milliseconds(50))).empty());
  LogPage Next{.First = 1, .End = 41, .Records = {}};
  Next.Records.emplace_back().set_offset(41);
  *Next.Records[0].mutable_record() = Sent[0].Record;
  Feed.logRead(Next, Start + milliseconds(100));
  CHECK(Store.checkpointOffset() == 41);
  CHECK(
      only<AppendCheckpoint>(Feed.tick(Start + milliseconds(20'000))).empty());
}

} // namespace hyssoprail
