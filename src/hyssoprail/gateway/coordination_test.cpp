#include "hyssoprail/gateway/coordination.hpp"

#include <algorithm>
#include <memory>
#include <thread>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "hyssoprail/testing/udp_address.hpp"

namespace hyssoprail::gateway {
namespace {

/// A feed that knows registrations up to a position and is always fresh.
class QuietFeed : public FleetFeed {
public:
  std::uint64_t Known = 0;
  std::uint64_t From = 0; ///< who knows less gets the whole list
  bool Reads = true;

  void start(FleetListener &, const EntryAddress &) override {}
  void setReading(bool To) override { Reads = To; }
  Duration storeAge() const override { return {}; }
  Duration age() const override { return {}; }
  FeedPosition position() const override { return {}; }
  FeedPosition known() const override { return {0, Known}; }
  std::uint64_t endpointsRead() const override { return 0; }
  std::uint64_t endpointsFrom() const override { return From; }
  std::string changesSince(FeedPosition) const override { return ""; }
  void offer(std::string_view) override {}
  void confirm(const FeedConfirmation &) override {}
  TimePoint settledAt() const override { return {}; }
  void withOrderLease(std::function<void(std::uint64_t)>) override {}
  void leaveOrderLease() override {}
  std::uint64_t calls() const override { return 0; }
};

GatewaySettings settings(const std::string &Name, const std::string &Address) {
  GatewaySettings S;
  S.Name = Name;
  S.Zone = "zone-" + Name;
  S.PeerAddress = Address;
  S.MetricsAddress = Address;
  return S;
}

/// An entry without servers and endpoints.
struct Entry {
  Entry(boost::asio::io_context &Context, const std::string &Name,
        const Clock &Time)
      : Settings(settings(Name, hyssoprail::testing::freeUdpAddress())),
        Log(STDERR_FILENO, Name, Time),
        Part(Context, Settings, 1, Time, Log, {Table, Engines, Quota, Feed},
             [](const auto &) {}) {
    REQUIRE_FALSE(errorOf(Part.start()));
  }

  GatewaySettings Settings;
  DecisionLog Log;
  routing::EndpointTable Table;
  routing::HealthSignalLog Engines{Table};
  routing::SharedQuota Quota{routing::QuotaTolerance{}};
  QuietFeed Feed;
  Coordination Part;
};

struct Fleet {
  explicit Fleet(std::initializer_list<const char *> Names) {
    for (const char *Name : Names)
      Entries.push_back(std::make_unique<Entry>(Context, Name, Time));
  }

  /// Entries from \p First to before \p Last learn the addresses of all before
  /// \p Last.
  void announce(std::size_t First, std::size_t Last) {
    std::vector<EntryAddress> All;
    for (std::size_t I = 0; I < Last; ++I)
      All.push_back(
          {Entries[I]->Settings.Name, Entries[I]->Settings.PeerAddress, 1});
    for (std::size_t I = First; I < Last; ++I)
      Entries[I]->Part.setEntries(All);
  }

  std::size_t coordinators() const {
    return static_cast<std::size_t>(
        std::count_if(Entries.begin(), Entries.end(),
                      [](const auto &E) { return E->Part.coordinates(); }));
  }

  /// Lets time pass; returns how much of it no entry coordinated.
  milliseconds run(milliseconds Span) {
    milliseconds Alone{0};
    for (milliseconds At{0}; At < Span; At += Step) {
      Time.advance(Step);
      for (const auto &E : Entries)
        E->Part.tick();
      // The system passes the datagrams on.
      std::this_thread::sleep_for(milliseconds(1));
      Context.poll();
      if (!coordinator())
        Alone += Step;
    }
    return Alone;
  }

  Entry *coordinator() const {
    for (const auto &E : Entries)
      if (E->Part.coordinates())
        return E.get();
    return nullptr;
  }

  static constexpr milliseconds Step{20};

  boost::asio::io_context Context;
  ManualClock Time;
  std::vector<std::unique_ptr<Entry>> Entries;
};

} // namespace

// Replays a rolling restart that stops every entry within the time that each of
// them drains. Entries that were stopping themselves used to be the deputies of
// the last one, and generations waited 0.7 s for a coordinator.
TEST_CASE("the last of the stopping entries goes on to coordinate") {
  Fleet F({"a", "b", "c"});
  F.announce(0, 3);
  F.run(milliseconds(1'000));
  Entry *First = F.coordinator();
  REQUIRE(First);
  for (const auto &E : F.Entries)
    if (E.get() != First)
      E->Part.stop();
  F.run(milliseconds(500));
  REQUIRE(F.coordinator() == First);
  First->Part.stop();
  CHECK(F.run(milliseconds(1'000)) == milliseconds(0));
  CHECK(F.coordinator() == First);
  First->Part.end();
  CHECK(F.run(milliseconds(2'000)) < milliseconds(1'000));
}

// Guards against a stopping entry that keeps the others from one that lives on.
TEST_CASE("a stopping entry hands over to one that does not stop") {
  for (const std::size_t Spared : {0, 1}) {
    Fleet F({"a", "b", "c"});
    F.announce(0, 3);
    F.run(milliseconds(1'000));
    Entry *First = F.coordinator();
    REQUIRE(First);
    std::vector<Entry *> Others;
    for (const auto &E : F.Entries)
      if (E.get() != First)
        Others.push_back(E.get());
    Entry *Survivor = Others[Spared];
    Others[1 - Spared]->Part.stop();
    First->Part.stop();
    CHECK(F.run(milliseconds(1'000)) <= milliseconds(100));
    CHECK(F.coordinator() == Survivor);
  }
}

// Replays the start of many entries that have read the store up to positions a
// little before that of their coordinator, which sent each the whole list.
TEST_CASE("an entry reads on until changes are enough for it") {
  Fleet F({"a", "b", "c", "d"});
  F.announce(0, 4);
  F.run(milliseconds(1'000));
  Entry *Source = F.coordinator();
  REQUIRE(Source);
  std::vector<Entry *> Followers;
  for (const auto &E : F.Entries)
    if (E.get() != Source && !E->Feed.Reads)
      Followers.push_back(E.get());
  REQUIRE(Followers.size() == 2); // the first deputy reads, too
  Source->Feed.Known = Source->Feed.From = 20;
  Followers[0]->Feed.Known = 19;
  Followers[1]->Feed.Known = 20;
  F.run(milliseconds(300));
  CHECK(Followers[0]->Feed.Reads);
  CHECK_FALSE(Followers[1]->Feed.Reads);
  Followers[0]->Feed.Known = 20;
  F.run(milliseconds(300));
  CHECK_FALSE(Followers[0]->Feed.Reads);
}

// Replays the start of 68 entries, of which 19 knew only each other: both
// groups kept a coordinator of their own, and each promised the memory of all
// engines.
TEST_CASE("entries that were not announced in time join the others") {
  Fleet F({"a", "b", "c", "d", "e", "f"});
  F.announce(0, 2);
  F.run(milliseconds(1'000));
  F.announce(2, 6);
  F.run(milliseconds(4'000));
  CHECK(F.coordinators() == 1);
  for (const auto &E : F.Entries)
    CHECK(E->Part.knownEntries() == 6);
}

} // namespace hyssoprail::gateway
