#ifndef HYSSOPRAIL_ROUTING_TEST_SUPPORT_HPP
#define HYSSOPRAIL_ROUTING_TEST_SUPPORT_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "hyssoprail/routing/call_grant_client.hpp"
#include "hyssoprail/routing/flow.hpp"
#include "hyssoprail/routing/stream_scheduler.hpp"

namespace hyssoprail::routing::testing {

constexpr TimePoint Start{std::chrono::seconds(100)};

inline EndpointRecord engine(const std::string &Id, EngineStage Stage,
                             const std::string &Zone = "zone-a") {
  EndpointRecord R;
  R.Id = Id;
  R.Service = "assistant";
  R.Address = "10.0.0.1:80";
  R.Zone = Zone;
  R.Slots = 64;
  R.Stage = Stage;
  return R;
}

inline EndpointRecord service(const std::string &Id,
                              const std::string &Zone = "zone-a") {
  EndpointRecord R = engine(Id, EngineStage::None, Zone);
  R.Service = "orders";
  R.Slots = 6;
  return R;
}

/// The registration \p R of the incarnation that started at \p StartedAtMs.
inline EndpointRecord started(EndpointRecord R, std::int64_t StartedAtMs,
                              std::int64_t Sequence = 1) {
  R.StartedAtMs = StartedAtMs;
  R.Sequence = Sequence;
  return R;
}

/// One account with a quota of 1,000 tokens a second and a burst of 1,000, one
/// service of engines with memory for 10,000 tokens, and a plain service.
inline std::shared_ptr<FleetConfig> testConfig() {
  auto C = std::make_shared<FleetConfig>();
  C->Version = 1;
  ServicePolicy Assistant;
  Assistant.Name = "assistant";
  Assistant.Engine = EngineLimits{64, 10'000, 16, milliseconds(500)};
  C->Services["assistant"] = Assistant;
  ServicePolicy Orders;
  Orders.Name = "orders";
  C->Services["orders"] = Orders;
  C->Accounts["acme"] = {"acme", std::nullopt, 1'000, 1'000, 10};
  C->AccountByKey["key-1"] = "acme";
  return C;
}

/// Records the I/O operations of a flow.
class FakeIo : public FlowIo {
public:
  LegId startLeg(const LegRequest &Leg) override {
    Legs.push_back(Leg);
    return static_cast<LegId>(Legs.size());
  }
  void cancelLeg(LegId Leg) override { Cancelled.push_back(Leg); }
  std::optional<TimePoint> connectedAt(LegId) const override {
    return ConnectedAt;
  }
  void dropHandle(const KvSource &Source) override {
    Dropped.push_back(Source.Handle);
  }
  void respond(const HttpResponse &Response) override {
    ++FinalAnswers;
    Status = Response.Status;
  }
  void reject(RejectReason Reason, milliseconds RetryAfter) override {
    ++FinalAnswers;
    RejectedWith = Reason;
    SentRetryAfter = RetryAfter;
  }
  void beginStream(const HttpResponse &Head) override { Status = Head.Status; }
  void forward(std::string_view Events) override { Forwarded += Events; }
  void finishStream() override { ++FinalAnswers; }
  void abort(RejectReason Reason) override {
    ++FinalAnswers;
    AbortedWith = Reason;
    Aborted = true;
  }
  void recordVersion(const std::string &Version, RecordNeed) override {
    Records.push_back(Version);
  }
  void streamBegan(const std::string &Version) override { BeganAt = Version; }
  void findVersion() override { ++VersionQueries; }
  bool stillAllowed() override { return Allowed; }
  void logDecision(std::string_view, LogFields) override {}

  LegId lastLeg() const { return static_cast<LegId>(Legs.size()); }

  std::optional<TimePoint> ConnectedAt; ///< of all legs
  std::vector<LegRequest> Legs;
  std::vector<LegId> Cancelled;
  std::vector<std::string> Dropped;
  std::string Forwarded;
  std::vector<std::string> Records; ///< versions to be recorded
  unsigned VersionQueries = 0;
  std::optional<std::string> BeganAt;
  unsigned FinalAnswers = 0;
  unsigned Status = 0;
  std::optional<RejectReason> RejectedWith;
  milliseconds SentRetryAfter{0};
  bool Aborted = false;
  std::optional<RejectReason> AbortedWith;
  bool Allowed = true;
};

inline LegResult answered(unsigned Status, const std::string &Handle = "") {
  LegResult R;
  R.Outcome = LegOutcome::Answered;
  R.Response.Status = Status;
  R.Handle = Handle;
  return R;
}

inline LegResult endedLeg(LegOutcome Outcome) {
  LegResult R;
  R.Outcome = Outcome;
  return R;
}

/// The shared state of an entry, for tests of one flow at a time.
struct FlowFixture {
  FlowFixture() { Scheduler.configure(testConfig()); }

  void add(const EndpointRecord &Record) { Table.apply(Record); }

  FlowRequest request(RouteKind Kind, const std::string &Key = "1") const {
    FlowRequest R;
    R.SessionId = Key;
    R.Info.Id = "id-" + Key;
    R.Info.Tokens = TokenCounts{1'000, 400};
    R.Info.OutputHint = 200;
    R.Route.Kind = Kind;
    R.Route.Timeout = milliseconds(14'000);
    R.Route.LatencyObjective = milliseconds(900);
    R.Route.EventGapObjective = milliseconds(300);
    R.Route.MaxAttempts = 2;
    R.Service = Kind == RouteKind::Stream ? "assistant" : "orders";
    R.Account = "acme";
    R.Arrival = Now;
    R.AnswerBy = Now + R.Route.Timeout;
    R.EventTokens = 16;
    return R;
  }

  SharedFlowState sharedState() {
    return {Table, EngineSignals, Crashes, Scheduler,
            Calls, Retries,       Lengths, "zone-a"};
  }

  /// Starts a stream and delivers the scheduler's decision to it.
  std::unique_ptr<Flow> startStream(FlowRequest R) {
    auto F = makeStreamFlow(sharedState(), std::move(R), Io);
    F->start(Now);
    poll(*F);
    return F;
  }

  /// Ends a leg with the result \p R and delivers the scheduler's decisions, as
  /// the flow may have asked for other engines.
  void answer(Flow &F, FlowIo::LegId Leg, LegResult R) {
    F.onLegResult(Leg, std::move(R), Now);
    poll(F);
  }

  void poll(Flow &F) {
    for (const StreamDecision &D : Scheduler.poll(Now)) {
      if (const auto *Place = std::get_if<StreamPlacement>(&D))
        F.onPlaced(*Place, Now);
      else
        F.onRefused(std::get<StreamRefusal>(D), Now);
    }
  }

  TimePoint Now = Start;
  EndpointTable Table;
  HealthSignalLog EngineSignals{Table};
  CrashLedgers Crashes{1};
  StreamScheduler Scheduler{{}, Table};
  CallGrantClient Calls{Table};
  RetryLimiter Retries{{0.2, 100, milliseconds(10'000)}};
  LengthEstimator Lengths;
  FakeIo Io;
};

} // namespace hyssoprail::routing::testing

#endif // HYSSOPRAIL_ROUTING_TEST_SUPPORT_HPP
