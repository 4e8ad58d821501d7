#ifndef HYSSOPRAIL_GATEWAY_STREAM_VERSION_FIXTURE_HPP
#define HYSSOPRAIL_GATEWAY_STREAM_VERSION_FIXTURE_HPP

#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <unistd.h>

#include "hyssoprail/gateway/fake_feed.hpp"
#include "hyssoprail/gateway/stream_version_exchange.hpp"

namespace hyssoprail::gateway::testing {

using Found = std::optional<std::string>;

inline constexpr milliseconds TickStep{100};

/// How long streams can be resumed: the timeout of the route and 10 s.
inline constexpr milliseconds Lifetime{24'000};

/// The coordinator of a service whose engines are given by the test.
struct ExchangeFixture {
  ExchangeFixture() { configure(milliseconds(14'000)); }

  /// The streams of the service have this timeout.
  void configure(milliseconds Timeout) {
    routing::FleetConfig Config;
    routing::RoutePolicy R;
    R.Kind = routing::RouteKind::Stream;
    R.Resumable = true;
    R.Timeout = Timeout;
    R.Services = {{"assistant", 1}};
    Config.Routes.add(R);
    Exchange.configure(Config);
  }

  void engine(const std::string &Id, const std::string &Version,
              std::int64_t StartedAtMs) {
    routing::EndpointRecord R;
    R.Id = Id;
    R.Service = "assistant";
    R.Address = "10.0.0.1:80";
    R.Version = Version;
    R.StartedAtMs = StartedAtMs;
    Table.apply(R);
  }

  void tick(milliseconds Later = milliseconds(0), bool Coordinates = true) {
    Time.advance(Later);
    Exchange.tick(Coordinates, true, Time.now());
  }

  void answerReads(bool Ok = true) {
    for (const auto &OnDone : std::exchange(Feed.OnRead, {}))
      OnDone(Ok);
  }

  void answerWrites(WriteOutcome Outcome) {
    for (const auto &OnDone : std::exchange(Feed.OnWritten, {}))
      OnDone(Outcome);
  }

  void record(const std::string &Id) {
    Exchange.record(Id, "v2",
                    [this](bool Written) { Results.push_back(Written); });
  }

  void find(const std::string &Id) {
    Exchange.find(Id, "assistant",
                  [this](const Found &V) { Answers.push_back(V); });
  }

  /// The store has this state of the service.
  void state(std::optional<std::string> Base, std::uint64_t Era = 1) {
    Exchange.onVersionState({"assistant", Era, {std::move(Base)}});
  }

  /// What the store was told last; "mixed" is a service without a base version.
  std::string written() const {
    const auto It = Feed.States.find("assistant");
    return It == Feed.States.end() ? "none"
                                   : It->second.State.Base.value_or("mixed");
  }

  /// Passes \p Length in ticks, with all reads answered.
  void pass(milliseconds Length, bool Coordinates = true) {
    for (milliseconds Passed{0}; Passed < Length; Passed += TickStep) {
      tick(TickStep, Coordinates);
      answerReads();
    }
  }

  /// The store comes back from a copy.
  void restore() {
    ++Feed.Era;
    Feed.States.clear();
    Exchange.storeRestored();
  }

  ManualClock Time;
  routing::EndpointTable Table;
  FakeFeed Feed;
  DecisionLog Log{STDERR_FILENO, "entry-1", Time};
  StreamVersionExchange Exchange{Table, Feed, Time, Log};
  std::vector<bool> Results;
  std::vector<Found> Answers;
};

} // namespace hyssoprail::gateway::testing

#endif // HYSSOPRAIL_GATEWAY_STREAM_VERSION_FIXTURE_HPP
