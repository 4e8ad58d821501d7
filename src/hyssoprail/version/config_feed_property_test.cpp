#include <algorithm>
#include <deque>
#include <memory>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/version/config_feed.hpp"
#include "hyssoprail/version/record_codec.hpp"
#include "hyssoprail/version/test_records.hpp"

namespace hyssoprail {
namespace {

using namespace testing;

constexpr milliseconds StepTime{50};
constexpr int StepsPerHeartbeat = 5;

/// The platform's log with limited retention.
class Log {
public:
  void append(const wire::LogRecord &Record) {
    Kept.emplace_back().set_offset(++End);
    *Kept.back().mutable_record() = Record;
    All.apply(End, Record);
    while (Kept.size() > Retention)
      Kept.pop_front();
  }

  std::uint64_t first() const { return End + 1 - Kept.size(); }

  LogPage page(std::uint64_t After, std::uint64_t Max) const {
    LogPage Out{.First = first(), .End = End, .Records = {}};
    for (const wire::OffsetRecord &R : Kept)
      if (R.offset() > After && R.offset() <= After + Max)
        Out.Records.push_back(R);
    return Out;
  }

  std::size_t Retention = 100;
  std::uint64_t End = 0;
  Reducer All; ///< state of a reader that misses nothing
  bool Down = false;

private:
  std::deque<wire::OffsetRecord> Kept;
};

/// One process with its open read of the log.
struct Node {
  explicit Node(const FeedOptions &Settings)
      : Options(Settings), Feed(Settings, Store) {
    Store.subscribe([this](const ConfigUpdate &U) {
      RC_ASSERT(U.Config->version() > Newest);
      Newest = U.Config->version();
    });
  }

  FeedOptions Options;
  ConfigStore Store{64};
  ConfigFeed Feed;
  std::uint64_t Newest = 0;
  std::optional<std::uint64_t> OpenRead;
  TimePoint LogReadAt;
  bool Paused = false;
};

struct Message {
  std::string From;
  std::string To;
  std::variant<wire::ConfigRequest, wire::ConfigRecords, wire::ConfigSnapshot>
      Body;
};

/// Processes, a network that loses and reorders, and the log.
class Fleet {
public:
  explicit Fleet(std::uint64_t Seed) : Random(Seed) {
    const std::uint64_t Entries = 1 + Random.below(6);
    for (std::uint64_t I = 0; I < Entries + 3; ++I) {
      FeedOptions Options;
      Options.IsEntry = I < Entries;
      Options.Name = (Options.IsEntry ? "e" : "a") + std::to_string(I);
      Options.Zone = Random.below(2) == 0 ? "x" : "y";
      Options.ReadersPerZone = 1;
      Options.FanOut = 2;
      Nodes[Options.Name] = std::make_unique<Node>(Options);
    }
    // At about 50 records a second, a pause of 6 s may be too long.
    Platform.Retention = 300 + Random.below(500);
  }

  /// One step with loss, pauses, outages and new records.
  void roughStep() {
    Loss = 0.3;
    Platform.Down = Random.below(40) == 0 ? !Platform.Down : Platform.Down;
    Node &Any =
        *std::next(Nodes.begin(), static_cast<long>(Random.below(Nodes.size())))
             ->second;
    if (Random.below(10) == 0)
      Any.Paused = !Any.Paused;
    // Records come from live entries, which also write the checkpoints.
    if (!Platform.Down && anyEntryRuns())
      for (std::uint64_t I = Random.below(6); I > 0; --I)
        Platform.append(
            change("op" + std::to_string(Platform.End),
                   accountObject("a" + std::to_string(Random.below(20)))));
    step();
  }

  void calmStep() {
    Loss = 0;
    Platform.Down = false;
    for (auto &[Name, N] : Nodes)
      N->Paused = false;
    step();
  }

  bool agree() {
    const std::string Whole = encodeStable(Platform.All.checkpoint());
    for (auto &[Name, N] : Nodes)
      if (encodeStable(N->Store.checkpoint()) != Whole)
        return false;
    return true;
  }

  /// Versions of all processes, for the message of a failure.
  std::string describe() const {
    std::string Out = "log end " + std::to_string(Platform.End);
    for (const auto &[Name, N] : Nodes)
      Out += ", " + Name + " " + std::to_string(N->Newest);
    return Out;
  }

  std::size_t checkpoints() const { return Checkpoints; }

  /// Number of reads that came after retention had dropped their records.
  std::size_t passed() const { return Passed; }

private:
  void step() {
    Now += StepTime;
    ++Steps;
    if (Steps % StepsPerHeartbeat == 0)
      heartbeats();
    for (auto &[Name, N] : Nodes)
      if (!N->Paused) {
        perform(*N, N->Feed.tick(Now));
        answerRead(*N);
      }
    for (std::size_t I = InFlight.size(); I > 0; --I)
      deliverAny();
  }

  bool anyEntryRuns() const {
    return std::any_of(Nodes.begin(), Nodes.end(), [](const auto &N) {
      return N.second->Options.IsEntry && !N.second->Paused;
    });
  }

  bool lost() { return Random.unit() < Loss; }

  void heartbeats() {
    for (auto &[From, Sender] : Nodes)
      for (auto &[To, Receiver] : Nodes)
        if (From != To && !Sender->Paused && !Receiver->Paused && !lost())
          perform(*Receiver,
                  Receiver->Feed.peerHeard(
                      {.Name = From,
                       .IsEntry = Sender->Options.IsEntry,
                       .Zone = Sender->Options.Zone,
                       .Version = Sender->Store.current()->version(),
                       .LogAge = std::chrono::duration_cast<milliseconds>(
                           Now - Sender->LogReadAt)},
                      Now));
  }

  void answerRead(Node &N) {
    if (!N.OpenRead || Random.below(2) == 0)
      return;
    const std::uint64_t After = *std::exchange(N.OpenRead, std::nullopt);
    if (Platform.Down)
      return perform(N, N.Feed.logFailed(Now));
    if (After + 1 < Platform.first() && ++Passed > 0)
      return perform(N, N.Feed.logPassed(Platform.first(), Now));
    N.LogReadAt = Now;
    perform(N, N.Feed.logRead(Platform.page(After, 1 + Random.below(40)), Now));
  }

  void deliverAny() {
    const std::size_t Chosen = Random.below(InFlight.size());
    Message M = std::move(InFlight[Chosen]);
    InFlight.erase(InFlight.begin() + static_cast<long>(Chosen));
    Node &N = *Nodes.at(M.To);
    if (N.Paused || lost())
      return;
    if (const auto *Request = std::get_if<wire::ConfigRequest>(&M.Body))
      perform(N, N.Feed.request(M.From, *Request));
    else if (const auto *Records = std::get_if<wire::ConfigRecords>(&M.Body))
      perform(N, N.Feed.records(M.From, *Records, Now));
    else
      perform(N, N.Feed.snapshot(M.From, std::get<wire::ConfigSnapshot>(M.Body),
                                 Now));
  }

  void perform(Node &N, const FeedActions &Actions) {
    const std::string &Me = N.Options.Name;
    for (const FeedAction &Action : Actions) {
      if (const auto *Ask = std::get_if<AskPeer>(&Action))
        InFlight.push_back({Me, Ask->Peer, Ask->Request});
      else if (const auto *Send = std::get_if<SendRecords>(&Action))
        InFlight.push_back({Me, Send->Peer, Send->Records});
      else if (const auto *Whole = std::get_if<SendSnapshot>(&Action))
        InFlight.push_back({Me, Whole->Peer, Whole->Snapshot});
      else if (const auto *Read = std::get_if<ReadLog>(&Action))
        N.OpenRead = Read->After;
      else if (!Platform.Down && !lost())
        appendCheckpoint(std::get<AppendCheckpoint>(Action).Record);
    }
  }

  void appendCheckpoint(const wire::LogRecord &Record) {
    ++Checkpoints;
    Platform.append(Record);
  }

  RandomSource Random;
  Log Platform;
  std::map<std::string, std::unique_ptr<Node>> Nodes;
  std::vector<Message> InFlight;
  double Loss = 0;
  TimePoint Now{std::chrono::seconds(100)};
  int Steps = 0;
  std::size_t Checkpoints = 0;
  std::size_t Passed = 0;
};

} // namespace

// Guards against processes that stay behind for ever, or go back, after any
// mix of loss, reordering, pauses, log outages and retention.
TEST_CASE("all processes agree soon after the faults end") {
  std::size_t Passed = 0;
  CHECK(rc::check("convergence", [&] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    Fleet F(Seed);
    for (int Step = 0; Step < 600; ++Step)
      F.roughStep();
    // The recovery target of the design page: 5 s after the faults end.
    int Calm = 0;
    while (Calm * StepTime < std::chrono::seconds(5) && !F.agree()) {
      F.calmStep();
      ++Calm;
    }
    if (!F.agree())
      RC_FAIL(F.describe());
    RC_ASSERT(F.checkpoints() > 0U);
    Passed += F.passed();
  }));
  CHECK(Passed > 0); // the faults include what they should
}

} // namespace hyssoprail
