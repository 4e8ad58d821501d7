// Messages between gateways. An input is a list of messages, each one as bytes
// or in protobuf's text format; its first line tells whether the gateway that
// receives them is the coordinator.
#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <fcntl.h>
#include <google/protobuf/io/tokenizer.h>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/text_format.h>

#include "finite.hpp"
#include "hyssoprail/gateway/coordination.hpp"
#include "hyssoprail/gateway/fake_feed.hpp"
#include "support.hpp"

namespace {

using namespace hyssoprail;
using namespace hyssoprail::gateway;
using namespace hyssoprail::routing;
using fuzz::require;

constexpr const char *OwnName = "entry-0";
constexpr std::uint64_t OwnIncarnation = 1;
constexpr std::string_view CoordinatorLine = "coordinator";

/// A gateway coordinates within this time if it hears of no other one that
/// does.
constexpr milliseconds MaxClaimTime{10'000};
/// Interval of ticks until then; each tick takes time that inputs need.
constexpr milliseconds ClaimStep{250};

/// Interval of ticks while messages arrive.
constexpr milliseconds Step{50};

/// Longest time to return that is sent to a caller or to another gateway.
constexpr std::chrono::hours MaxRetryAfter{24};

/// Hands messages to the gateway and checks those that it sends.
class CheckedTransport : public PeerTransport {
public:
  Status start(const std::string &, Handler OnMessage) override {
    Deliver = std::move(OnMessage);
    return std::monostate{};
  }

  void send(const wire::CoordinationMessage &Message,
            const std::string &) override {
    require(fuzz::isFinite(Message), "the numbers of a message are finite");
    std::string Bytes;
    wire::CoordinationMessage Read;
    require(Message.SerializeToString(&Bytes) && Read.ParseFromString(Bytes),
            "a message can be read by other gateways");
    if (Message.has_report())
      LastReport = Message.report().sequence();
  }

  Handler Deliver;
  std::uint64_t LastReport = 0; ///< its sequence number
};

EndpointRecord record(const std::string &Id, const std::string &Service,
                      EngineStage Stage) {
  EndpointRecord R;
  R.Id = Id;
  R.Service = Service;
  R.Address = "10.0.0.9:80";
  R.Zone = "z1";
  R.Slots = 4;
  R.Stage = Stage;
  R.StartedAtMs = 1'000;
  return R;
}

FleetConfigPtr configuration() {
  auto Out = std::make_shared<FleetConfig>();
  Out->Version = 1;
  EngineLimits Engine;
  Engine.Slots = 4;
  Engine.KvTokens = 8'000;
  Out->Services["chat"] = {"chat", 0, Engine};
  Out->Services["orders"] = {"orders", 0, std::nullopt};
  AccountPolicy Account;
  Account.Name = "t1";
  Account.RatePerSecond = 100;
  Account.Burst = 1'000;
  Out->Accounts["t1"] = Account;
  return Out;
}

/// One gateway with a generation and a call that wait.
class Gateway {
public:
  explicit Gateway(boost::asio::io_context &Context, bool Coordinates)
      : Context(Context) {
    Settings.Name = OwnName;
    Settings.PeerAddress = Settings.MetricsAddress = "10.0.0.1:1";
    Settings.Zone = "z1";
    Table.apply(record("p-1", "chat", EngineStage::Prefill));
    Table.apply(record("d-1", "chat", EngineStage::Decode));
    Table.apply(record("w-1", "orders", EngineStage::None));
    const FleetConfigPtr Config = configuration();
    Quota.configure(*Config, Time.now());
    (void)Fleet.start();
    Fleet.configure(Config);
    Fleet.setEntries(
        {{OwnName, "10.0.0.1:1", 1}, {"entry-1", "10.0.0.2:1", 1}});
    for (milliseconds At{0}; Coordinates && !Fleet.isCoordinator();
         At += ClaimStep) {
      require(At < MaxClaimTime,
              "a gateway that hears of no other coordinates");
      run(ClaimStep, ClaimStep);
    }
    submit();
    run(Step);
  }

  void receive(wire::CoordinationMessage Message) {
    if (Message.has_update()) {
      // Without this a fuzzer hardly finds an update that is followed.
      wire::CoordinatorUpdate &U = *Message.mutable_update();
      if (U.heard_incarnation() == OwnIncarnation)
        U.set_heard_sequence(Peers.LastReport);
    }
    Peers.Deliver(Message);
    run(Step);
    requireSound();
  }

  void run(milliseconds Span, milliseconds Interval = Step) {
    for (milliseconds At{0}; At < Span; At += Interval) {
      Time.advance(Interval);
      Fleet.tick();
      Context.restart();
      Context.poll();
    }
  }

  void requireSound() {
    for (const double Share : {Fleet.reportingShare(), Fleet.limitShare()})
      require(std::isfinite(Share) && Share >= 0 && Share <= 1,
              "a share is between 0 and 1");
    const QuotaDecision D = Quota.take("t1", 1, Time.now());
    require(std::isfinite(D.Debt) && D.RetryAfter >= Duration::zero() &&
                D.RetryAfter <= MaxRetryAfter,
            "a quota can be used");
    for (const char *Id : {"p-1", "d-1", "w-1"})
      require(Table.find(Id)->PeerLoad.Runs >= 0,
              "the load of an endpoint is not negative");
    Crashes.Prompts.quarantined(Time.now());
    const CrashLedgerBounds Bounds;
    require(Crashes.Prompts.crashCount() <= Bounds.Crashes,
            "the crashes that are remembered are bounded");
  }

private:
  void submit() {
    StreamRequest R;
    R.Id = "s/1";
    R.Service = "chat";
    R.Account = "t1";
    R.Zone = "z1";
    R.PromptTokens = R.OutputTokens = 100;
    R.Arrival = Time.now();
    R.ObjectiveDeadline = R.GiveUpAt = Time.now() + milliseconds(5'000);
    R.CallerBudget = milliseconds(10'000);
    Fleet.admission().submit(R);
    Fleet.calls().submit({"c1", "orders", {}});
    Fleet.notifyStateChanged();
  }

  static void requireUsable(const std::vector<StreamDecision> &Decisions) {
    for (const StreamDecision &D : Decisions)
      if (const auto *Refusal = std::get_if<StreamRefusal>(&D))
        require(Refusal->RetryAfter >= milliseconds(0), "a refusal ends");
  }

  boost::asio::io_context &Context;
  ManualClock Time;
  GatewaySettings Settings;
  DecisionLog Log{nullDevice(), OwnName, Time};
  EndpointTable Table;
  HealthSignalLog Engines{Table};
  CrashLedgers Crashes{OwnIncarnation};
  SharedQuota Quota{QuotaTolerance{}};
  FakeFeed Feed;
  CheckedTransport Peers;
  Coordination Fleet{
      Context,
      Settings,
      OwnIncarnation,
      Time,
      Log,
      Peers,
      {Table, Engines, Crashes, Quota, Feed},
      {[](const auto &All) { requireUsable(All); }, [](const auto &) {}}};

  static int nullDevice() {
    static const int Descriptor = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
    return Descriptor;
  }
};

/// Ignores what is wrong with a text.
class NoErrors : public google::protobuf::io::ErrorCollector {
  void AddError(int, google::protobuf::io::ColumnNumber,
                const std::string &) override {}
};

bool read(std::string_view Part, wire::CoordinationMessage &Out) {
  if (Out.ParseFromArray(Part.data(), static_cast<int>(Part.size())))
    return true;
  NoErrors Ignored;
  google::protobuf::TextFormat::Parser Parser;
  Parser.RecordErrorsTo(&Ignored);
  wire::CoordinationMessage Text;
  std::string Bytes;
  return Parser.ParseFromString(std::string(Part), &Text) &&
         Text.SerializeToString(&Bytes) && Out.ParseFromString(Bytes);
}

} // namespace

int LLVMFuzzerTestOneInput(const std::uint8_t *Data, std::size_t Size) {
  // The library reports text that is no UTF-8 for each message.
  google::protobuf::SetLogHandler(nullptr);
  std::string_view Input = fuzz::asText(Data, Size);
  const std::size_t LineEnd = std::min(Input.size(), Input.find('\n'));
  const bool Coordinates = Input.substr(0, LineEnd) == CoordinatorLine;
  Input.remove_prefix(std::min(Input.size(), LineEnd + 1));
  boost::asio::io_context Context;
  Gateway G(Context, Coordinates);
  for (const std::string_view Part : fuzz::splitParts(Input)) {
    wire::CoordinationMessage Message;
    if (read(Part, Message))
      G.receive(std::move(Message));
  }
  constexpr milliseconds Later{5'000};
  G.run(Later, ClaimStep);
  G.requireSound();
  return 0;
}
