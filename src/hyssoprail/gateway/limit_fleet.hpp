#ifndef HYSSOPRAIL_GATEWAY_LIMIT_FLEET_HPP
#define HYSSOPRAIL_GATEWAY_LIMIT_FLEET_HPP

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <fcntl.h>

#include "hyssoprail/gateway/coordination.hpp"
#include "hyssoprail/gateway/fake_feed.hpp"
#include "hyssoprail/gateway/limited_endpoint.hpp"
#include "hyssoprail/gateway/memory_peer_network.hpp"
#include "hyssoprail/gateway/start_limits.hpp"
#include "hyssoprail/routing/flow.hpp"

namespace hyssoprail::gateway::testing {

/// Requests of one client account that arrive at random entries and take its
/// quota.
struct AccountLoad {
  std::string Account;
  double RequestsPerSecond = 0;
  double RequestTokens = 0;
  unsigned Returns = 0; ///< times that a refused request comes again, when its
                        ///< refusal says
  std::size_t Entries = 0; ///< that receive the requests; 0: all
};

/// Tokens that an entry has granted.
struct TokenGrant {
  TimePoint At;
  double Tokens = 0;
  std::string EntryName;
};

/// Entries of a fleet with their real coordination and call flows, before
/// simulated endpoints, on a clock that the test advances.
class LimitFleet {
public:
  LimitFleet(std::size_t EntryCount, std::vector<LimitedEndpoint> Of)
      : Endpoints(std::move(Of)), LogFile(::open("/dev/null", O_WRONLY)) {
    for (std::size_t I = 0; I < EntryCount; ++I)
      Names.push_back("entry-" + std::to_string(I));
    for (const std::string &Name : Names)
      start(Name);
  }

  ~LimitFleet() { ::close(LogFile); }

  /// Runs for \p Span with \p CallsPerSecond calls over all entries.
  void run(milliseconds Span, double CallsPerSecond) {
    for (auto &[Name, E] : Entries)
      E->Quota.configure(Config, now());
    for (milliseconds At{0}; At < Span; At += Step) {
      Time.advance(Step);
      PendingCalls +=
          CallsPerSecond * std::chrono::duration<double>(Step).count();
      Network.deliver([this](const std::string &Name) { return runs(Name); });
      runPosted();
      deliverResponses();
      for (auto &[Name, E] : Entries)
        if (!E->Paused && hasTurn(*E))
          tick(*E);
      for (; PendingCalls >= 1; PendingCalls -= 1)
        startCall();
      for (PendingGrants +=
           Load.RequestsPerSecond * std::chrono::duration<double>(Step).count();
           PendingGrants >= 1; PendingGrants -= 1)
        takeTokens(Names[Random() % loadedEntries()], Load.Returns);
      takeReturned();
      runPosted();
    }
  }

  /// Starts an entry, or starts it again as a new process.
  void start(const std::string &Name) {
    Entries.erase(Name);
    auto E = std::make_unique<Entry>(*this, Name, ++LastIncarnation);
    for (const LimitedEndpoint &Target : Endpoints)
      E->Table.apply(record(Target.Id, Target.StartedAtMs));
    (void)E->Fleet.start();
    E->Fleet.setEntries(announcements());
    Entries[Name] = std::move(E);
  }

  /// All entries read a registration of the endpoint that says it is ready.
  void registerEndpoint(const LimitedEndpoint &Target, std::int64_t Sequence) {
    for (auto &[Name, E] : Entries) {
      routing::EndpointRecord R = record(Target.Id, Target.StartedAtMs);
      R.Sequence = Sequence;
      const bool NewIncarnation =
          R.StartedAtMs > E->Table.find(Target.Id)->Record.StartedAtMs;
      E->Table.apply(R);
      if (NewIncarnation)
        E->ToldToLeave.erase(Target.Id);
    }
  }

  /// Entries that still send work to the endpoint.
  std::size_t entriesUsing(const std::string &EndpointId) {
    return static_cast<std::size_t>(
        std::count_if(Entries.begin(), Entries.end(), [&](const auto &Item) {
          routing::Endpoint *E = Item.second->Table.find(EndpointId);
          return E && Item.second->Table.inService(*E);
        }));
  }

  void kill(const std::string &Name) { Entries.erase(Name); }
  void pause(const std::string &Name, bool Paused) {
    Entries.at(Name)->Paused = Paused;
  }
  /// The event loop of the entry takes \p Round for each round: messages and
  /// timers are handled that late.
  void setLate(const std::string &Name, milliseconds Round) {
    Entries.at(Name)->Round = Round;
    Network.hold(Name);
  }
  Coordination &coordination(const std::string &Name) {
    return Entries.at(Name)->Fleet;
  }
  routing::CrashLedgers &crashes(const std::string &Name) {
    return Entries.at(Name)->Crashes;
  }

  /// Name of an entry that is the coordinator, empty if there is none.
  std::string coordinator() const {
    for (const auto &[Name, E] : Entries)
      if (!E->Paused && E->Fleet.isCoordinator())
        return Name;
    return "";
  }

  std::size_t coordinatorCount() const {
    return static_cast<std::size_t>(
        std::count_if(Entries.begin(), Entries.end(), [](const auto &Item) {
          return Item.second->Fleet.isCoordinator();
        }));
  }

  TimePoint now() const { return Time.now(); }

  std::vector<std::string> Names;
  std::set<std::string> CutFromStore;
  std::map<std::string, std::string> CrashRecords; ///< in the store, by writer
  routing::FleetConfig Config;
  std::vector<LimitedEndpoint> Endpoints;
  CallOutcomes Outcomes;
  AccountLoad Load;
  std::vector<TokenGrant> Grants; ///< to the account of the load

private:
  ManualClock Time;
  boost::asio::io_context Context;

public:
  PeerNetwork Network{Time};

private:
  static constexpr milliseconds Step{10};
  static constexpr milliseconds TickInterval{50};
  static constexpr milliseconds TransitTime{1};
  static constexpr milliseconds ServiceTime{30};
  static constexpr milliseconds MinReturn{100};

  struct Entry;

  /// The store as far as coordination uses it: entries announce groups there.
  class StoreFeed : public FakeFeed {
  public:
    StoreFeed(LimitFleet &Fleet, std::string Name)
        : Fleet(Fleet), Name(std::move(Name)) {}

    Duration storeAge() const override {
      return Fleet.CutFromStore.contains(Name) ? Duration::max() : Duration{0};
    }
    void announceGroup(std::size_t Size) override {
      if (!Fleet.CutFromStore.contains(Name))
        Fleet.announceGroup(Name, Size);
    }
    void setReadsCrashRecords(bool Reads) override {
      if (!std::exchange(ReadsCrashRecords, Reads) && Reads)
        for (const auto &[Writer, Record] : Fleet.CrashRecords)
          takeCrashRecord(Record);
    }
    void publishCrashRecord(const std::string &Record,
                            std::function<void(bool)> OnDone) override {
      const bool Written = !Fleet.CutFromStore.contains(Name);
      if (Written) {
        Fleet.CrashRecords[Name] = Record;
        for (auto &[Reader, E] : Fleet.Entries)
          E->Feed.takeCrashRecord(Record);
      }
      OnDone(Written);
    }
    void takeCrashRecord(const std::string &Record) {
      if (ReadsCrashRecords && !Fleet.CutFromStore.contains(Name))
        Fleet.crashes(Name).merge(Record, Fleet.now(), Fleet.Time.unixMicros());
    }

  private:
    LimitFleet &Fleet;
    std::string Name;
    bool ReadsCrashRecords = false;
  };

  /// A call with its flow.
  struct Call : routing::FlowIo {
    explicit Call(LimitFleet &Fleet, Entry &Home) : Fleet(Fleet), Home(Home) {}

    LegId startLeg(const routing::LegRequest &Leg) override {
      Fleet.receive(Home, *this, Leg.EndpointId, ++LastLeg);
      return LastLeg;
    }
    void cancelLeg(LegId) override {}
    std::optional<TimePoint> connectedAt(LegId) const override { return {}; }
    void dropHandle(const routing::KvSource &) override {}
    void respond(const HttpResponse &) override { ++Fleet.Outcomes.Served; }
    void reject(routing::RejectReason, milliseconds RetryAfter) override {
      CallOutcomes &Out = Fleet.Outcomes;
      ++Out.Rejected;
      Out.LongestRejection =
          std::max(Out.LongestRejection, Fleet.now() - Arrival);
      Out.ShortestRetryAfter = std::min(Out.ShortestRetryAfter, RetryAfter);
    }
    void beginStream(const HttpResponse &) override {}
    void forward(std::string_view) override {}
    void finishStream() override {}
    void abort(routing::RejectReason) override {}
    void recordVersion(const std::string &, routing::RecordNeed) override {}
    void streamBegan(const std::string &) override {}
    void findVersion() override {}
    bool stillAllowed() override { return true; }
    void logDecision(std::string_view, LogFields) override {}

    LimitFleet &Fleet;
    Entry &Home;
    std::unique_ptr<routing::Flow> Flow;
    TimePoint Arrival{};
    LegId LastLeg = 0;
  };

  struct Entry {
    Entry(LimitFleet &Owner, const std::string &Name, std::uint64_t Incarnation)
        : Settings(settings(Name)), Log(Owner.LogFile, Name, Owner.Time),
          Incarnation(Incarnation), Crashes(Incarnation), Feed(Owner, Name),
          Port(Owner.Network),
          Fleet(Owner.Context, Settings, Incarnation, Owner.Time, Log, Port,
                {Table, Engines, Crashes, Quota, Feed},
                {[](const auto &) {},
                 [this, &Owner](const auto &Decisions) {
                   Owner.onDecisions(*this, Decisions);
                 }}) {}

    static GatewaySettings settings(const std::string &Name) {
      GatewaySettings S;
      S.Name = S.PeerAddress = S.MetricsAddress = Name;
      S.Zone = "zone";
      return S;
    }

    GatewaySettings Settings;
    DecisionLog Log;
    routing::EndpointTable Table;
    routing::HealthSignalLog Engines{Table};
    const std::uint64_t Incarnation;
    routing::CrashLedgers Crashes;
    std::set<std::string> ToldToLeave; ///< endpoints, by their own responses
    std::map<std::string, TimePoint> ToldToPause; ///< until then
    routing::SharedQuota Quota{routing::QuotaTolerance{}};
    routing::RetryLimiter Retries{{0.2, 50, milliseconds(10'000)}};
    routing::LengthEstimator Lengths;
    StoreFeed Feed;
    PeerNetwork::Port Port;
    Coordination Fleet;
    std::map<std::string, std::unique_ptr<Call>> Calls;
    bool Paused = false;
    milliseconds Round{0}; ///< 0: not late
    TimePoint TickedAt{};
  };

  struct Response {
    TimePoint At;
    std::string EntryName;
    std::uint64_t Incarnation;
    std::string CallId;
    routing::FlowIo::LegId Leg;
    std::string EndpointId;
    std::optional<double> PerSecond;
    bool Leaving = false;
    std::int64_t StartedAtMs = 0;
    std::optional<milliseconds> Pause;
  };

  static routing::EndpointRecord record(const std::string &Id,
                                        std::int64_t StartedAtMs) {
    routing::EndpointRecord R;
    R.Id = Id;
    R.Service = "orders";
    R.Address = Id + ":80";
    R.Zone = "zone";
    R.Slots = 6;
    R.StartedAtMs = StartedAtMs;
    return R;
  }

  /// Runs what the entries have posted. Nothing may be left when an entry is
  /// destroyed.
  void runPosted() {
    Context.restart();
    Context.poll();
  }

  bool runs(const std::string &Name) const {
    const auto It = Entries.find(Name);
    return It != Entries.end() && !It->second->Paused;
  }

  std::vector<EntryAddress> announcements() const {
    std::vector<EntryAddress> All;
    for (const std::string &Name : Names)
      All.push_back({Name, Name, 1});
    return All;
  }

  void announceGroup(const std::string &Name, std::size_t Size) {
    std::vector<EntryAddress> All = announcements();
    for (EntryAddress &E : All)
      if (E.Name == Name) {
        E.GroupSize = Size;
        E.AnnouncedAt = now();
      }
    for (auto &[Reader, E] : Entries)
      if (!CutFromStore.contains(Reader))
        E->Fleet.setEntries(All);
  }

  /// A late entry handles what has arrived once in a round.
  bool hasTurn(Entry &E) {
    if (E.Round == milliseconds(0))
      return true;
    if (now() - E.TickedAt < E.Round)
      return false;
    Network.deliverHeld(E.Settings.Name);
    return true;
  }

  void tick(Entry &E) {
    for (auto It = E.Calls.begin(); It != E.Calls.end();) {
      Call &C = *(It++)->second;
      if (C.Flow->nextDeadline() <= now())
        C.Flow->onTimer(now());
      eraseIfDone(E, C);
    }
    if (now() - E.TickedAt < TickInterval)
      return;
    E.TickedAt = now();
    E.Fleet.tick();
    E.Quota.setReportingShare(E.Fleet.reportingShare(), now());
    E.Table.setLimitShare(E.Fleet.limitShare(), now());
    applyStartLimits(E.Table, Config, {},
                     {E.Fleet.knownEntries(), E.Fleet.reportingShare(),
                      E.Fleet.isCoordinator()});
  }

  std::size_t loadedEntries() const {
    return Load.Entries > 0 ? Load.Entries : Names.size();
  }

  void takeTokens(const std::string &Name, unsigned Returns) {
    if (!runs(Name))
      return;
    const routing::QuotaDecision D =
        Entries.at(Name)->Quota.take(Load.Account, Load.RequestTokens, now());
    if (D.Granted)
      Grants.push_back({now(), Load.RequestTokens, Name});
    else if (Returns > 0)
      Returning.emplace(now() + std::max<Duration>(D.RetryAfter, MinReturn),
                        std::pair(Name, Returns - 1));
  }

  void takeReturned() {
    while (!Returning.empty() && Returning.begin()->first <= now()) {
      const auto [Name, Returns] = Returning.begin()->second;
      Returning.erase(Returning.begin());
      takeTokens(Name, Returns);
    }
  }

  void startCall() {
    const std::string &Name = Names[Random() % Names.size()];
    const std::string Id = std::to_string(++LastCall);
    if (!runs(Name))
      return;
    Entry &E = *Entries.at(Name);
    routing::FlowRequest R;
    R.SessionId = Id;
    R.Info.Id = Id;
    R.Route.Kind = routing::RouteKind::Call;
    R.Route.LatencyObjective = milliseconds(150);
    R.Route.MaxAttempts = 1;
    R.Service = "orders";
    R.Arrival = now();
    R.AnswerBy = now() + milliseconds(1'500);
    auto C = std::make_unique<Call>(*this, E);
    C->Arrival = now();
    Call &Started = *C;
    E.Calls[Id] = std::move(C);
    Started.Flow = routing::makeCallFlow({E.Table, E.Engines, E.Crashes,
                                          E.Fleet.admission(), E.Fleet.calls(),
                                          E.Retries, E.Lengths, "zone"},
                                         std::move(R), Started);
    Started.Flow->start(now());
    E.Fleet.notifyStateChanged();
    eraseIfDone(E, Started);
  }

  void receive(Entry &Home, Call &C, const std::string &EndpointId,
               routing::FlowIo::LegId Leg) {
    const auto Target = std::find_if(
        Endpoints.begin(), Endpoints.end(),
        [&](const LimitedEndpoint &E) { return E.Id == EndpointId; });
    Target->Arrivals.push_back(now() + TransitTime);
    Target->Sends.push_back({now(), Home.Incarnation,
                             Home.ToldToLeave.contains(EndpointId),
                             now() < Home.ToldToPause[EndpointId]});
    const auto Id =
        std::find_if(Home.Calls.begin(), Home.Calls.end(),
                     [&](const auto &Item) { return Item.second.get() == &C; });
    Responses.push_back({now() + ServiceTime, Home.Settings.Name,
                         incarnation(Home), Id->first, Leg, EndpointId,
                         Target->PerSecond, Target->Leaving,
                         Target->StartedAtMs,
                         Target->PausedEntry.empty() ||
                                 Target->PausedEntry == Home.Settings.Name
                             ? Target->Pause
                             : std::nullopt});
  }

  std::uint64_t incarnation(const Entry &E) const {
    return reinterpret_cast<std::uintptr_t>(&E);
  }

  void deliverResponses() {
    while (!Responses.empty() && Responses.front().At <= now()) {
      const Response R = std::move(Responses.front());
      Responses.pop_front();
      if (!runs(R.EntryName))
        continue;
      Entry &E = *Entries.at(R.EntryName);
      const auto It = E.Calls.find(R.CallId);
      if (It == E.Calls.end() || incarnation(E) != R.Incarnation)
        continue;
      if (E.Fleet.calls().recordResponse(R.EndpointId, R.PerSecond, now()))
        E.Fleet.notifyStateChanged();
      if (R.Leaving) {
        E.ToldToLeave.insert(R.EndpointId);
        if (E.Table.recordLeaving(R.EndpointId, R.StartedAtMs))
          E.Fleet.notifyStateChanged();
      }
      routing::LegResult Result;
      Result.Outcome = routing::LegOutcome::Answered;
      Result.Response.Status = 200;
      if (R.Pause) {
        Result.Outcome = routing::LegOutcome::NotRun;
        Result.PausesSender = true;
        TimePoint &Until = E.ToldToPause[R.EndpointId];
        Until = std::max(Until, now() + *R.Pause);
        E.Table.recordPause(R.EndpointId, R.StartedAtMs, now() + *R.Pause);
      }
      Call &C = *It->second;
      C.Flow->onLegResult(R.Leg, std::move(Result), now());
      eraseIfDone(E, C);
    }
  }

  void onDecisions(Entry &E,
                   const std::vector<routing::CallDecision> &Decisions) {
    for (const routing::CallDecision &D : Decisions) {
      const auto *Grant = std::get_if<routing::CallGrant>(&D);
      const auto *Denial = std::get_if<routing::CallDenial>(&D);
      const auto It = E.Calls.find(Grant ? Grant->Id : Denial->Id);
      if (It == E.Calls.end())
        continue;
      Call &C = *It->second;
      if (Grant)
        C.Flow->onCallGranted(*Grant, now());
      else
        C.Flow->onCallDenied(*Denial, now());
      eraseIfDone(E, C);
    }
  }

  static void eraseIfDone(Entry &E, Call &C) {
    if (C.Flow->done())
      std::erase_if(E.Calls,
                    [&](const auto &Item) { return Item.second.get() == &C; });
  }

  int LogFile;
  std::map<std::string, std::unique_ptr<Entry>> Entries;
  std::deque<Response> Responses;
  std::mt19937 Random{1};
  double PendingCalls = 0;
  double PendingGrants = 0;
  /// Entry and further returns of refused requests, by their time of return.
  std::multimap<TimePoint, std::pair<std::string, unsigned>> Returning;
  std::uint64_t LastCall = 0;
  std::uint64_t LastIncarnation = 0;
};

} // namespace hyssoprail::gateway::testing

#endif // HYSSOPRAIL_GATEWAY_LIMIT_FLEET_HPP
