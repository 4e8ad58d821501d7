#include "hyssoprail/gateway/coordination.hpp"

#include <algorithm>
#include <memory>
#include <thread>

#include <boost/asio/ip/udp.hpp>
#include <catch2/catch.hpp>
#include <unistd.h>

namespace hyssoprail::gateway {
namespace {

/// A feed that knows nothing and is always fresh.
class QuietFeed : public FleetFeed {
public:
  void start(FleetListener &, const EntryAddress &) override {}
  void setReading(bool) override {}
  Duration storeAge() const override { return {}; }
  Duration age() const override { return {}; }
  FeedPosition position() const override { return {}; }
  FeedPosition known() const override { return {}; }
  std::uint64_t endpointsRead() const override { return 0; }
  std::uint64_t endpointsFrom() const override { return 0; }
  std::string changesSince(FeedPosition) const override { return ""; }
  void offer(std::string_view) override {}
  void confirm(const FeedConfirmation &) override {}
  TimePoint settledAt() const override { return {}; }
  void withOrderLease(std::function<void(std::uint64_t)>) override {}
  void leaveOrderLease() override {}
  std::uint64_t calls() const override { return 0; }
};

std::string unusedAddress(boost::asio::io_context &Context) {
  using boost::asio::ip::udp;
  const udp::socket Probe(Context,
                          {boost::asio::ip::address_v4::loopback(), 0});
  return "127.0.0.1:" + std::to_string(Probe.local_endpoint().port());
}

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
      : Settings(settings(Name, unusedAddress(Context))),
        Log(STDERR_FILENO, Name, Time),
        Part(Context, Settings, 1, Time, Log, {Table, Engines, Quota, Feed},
             [](const auto &) {}) {
    REQUIRE_FALSE(errorOf(Part.start()));
  }

  GatewaySettings Settings;
  DecisionLog Log;
  routing::EndpointTable Table;
  routing::EvidenceLog Engines{Table};
  routing::SharedQuota Quota{routing::QuotaTolerance{}};
  QuietFeed Feed;
  Coordination Part;
};

struct Fleet {
  explicit Fleet(std::initializer_list<const char *> Names,
                 std::size_t KnownToFirst = 0) {
    for (const char *Name : Names)
      Entries.push_back(std::make_unique<Entry>(Context, Name, Time));
    for (std::size_t I = 0; I < KnownToFirst; ++I)
      Entries[I]->Part.setEntries(addresses(0, KnownToFirst));
    if (KnownToFirst > 0) {
      run(milliseconds(1'000));
      for (std::size_t I = KnownToFirst; I < Entries.size(); ++I)
        Entries[I]->Part.setEntries(addresses(0, Entries.size()));
      return;
    }
    for (const auto &E : Entries)
      E->Part.setEntries(addresses(0, Entries.size()));
  }

  /// Addresses of the entries from the first to before the last.
  std::vector<EntryAddress> addresses(std::size_t First,
                                      std::size_t Last) const {
    std::vector<EntryAddress> Out;
    for (std::size_t I = First; I < Last; ++I)
      Out.push_back(
          {Entries[I]->Settings.Name, Entries[I]->Settings.PeerAddress, 1});
    return Out;
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
  Fleet F({"a", "b", "c"});
  F.run(milliseconds(1'000));
  Entry *First = F.coordinator();
  REQUIRE(First);
  const auto Survivor =
      std::find_if(F.Entries.begin(), F.Entries.end(),
                   [&](const auto &E) { return E.get() != First; });
  for (const auto &E : F.Entries)
    if (E != *Survivor)
      E->Part.stop();
  CHECK(F.run(milliseconds(1'000)) <= milliseconds(100));
  CHECK(F.coordinator() == Survivor->get());
}

// Replays the start of 68 entries, of which 19 knew only each other: both
// groups kept a coordinator of their own, and each promised the memory of all
// engines.
TEST_CASE("entries that were not announced in time join the others") {
  Fleet F({"a", "b", "c", "d", "e", "f"}, 2);
  F.run(milliseconds(4'000));
  CHECK(F.coordinators() == 1);
  for (const auto &E : F.Entries)
    CHECK(E->Part.knownEntries() == 6);
}

} // namespace hyssoprail::gateway
