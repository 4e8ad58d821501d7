#ifndef HYSSOPRAIL_ROUTING_ADMISSION_TEST_SUPPORT_HPP
#define HYSSOPRAIL_ROUTING_ADMISSION_TEST_SUPPORT_HPP

#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "hyssoprail/routing/admission_client.hpp"
#include "hyssoprail/routing/admission_server.hpp"
#include "test_support.hpp"

namespace hyssoprail::routing::testing {

using Ids = std::vector<std::string>;

class Follower {
public:
  explicit Follower(std::string Name, std::uint64_t Incarnation = 1)
      : Name(std::move(Name)), Incarnation(Incarnation) {}

  void request(const std::string &Id, TimePoint Now,
               std::uint32_t Prompt = 3'000) {
    StreamRequest N;
    N.Id = Id;
    N.Service = "assistant";
    N.Account = "acme";
    N.Zone = "zone-a";
    N.PromptTokens = Prompt;
    N.OutputTokens = 1'000;
    N.Arrival = Now;
    N.ObjectiveDeadline = Now + milliseconds(900);
    N.GiveUpAt = Now + milliseconds(3'600);
    N.CallerBudget = milliseconds(14'000);
    Client.submit(N);
  }

  wire::EntryReport report(TimePoint Now) {
    wire::EntryReport R;
    R.set_sender(Name);
    R.set_incarnation(Incarnation);
    R.set_sequence(++Sequence);
    R.set_address(Name + ":1");
    R.set_weight(Weight);
    Client.fillReport(R, Now);
    return R;
  }

  std::string Name;
  std::uint64_t Incarnation;
  std::uint64_t Sequence = 0;
  double Weight = 1;
  AdmissionClient Client;
};

/// A coordinator whose decode engines, one by default, each hold two
/// generations of 4,000 tokens.
struct Coordinator {
  explicit Coordinator(int Engines = 1) {
    Scheduler.configure(testConfig());
    Quota.configure(*testConfig(), Start);
    for (int I = 0; I < Engines; ++I)
      Table.apply(engine("d" + std::to_string(I), EngineStage::Decode));
    Server.startTerm(1, Start - milliseconds(500));
  }

  void handleReport(Follower &F) { Server.handleReport(F.report(Now), Now); }

  wire::CoordinatorUpdate update(const Follower &F) {
    wire::CoordinatorUpdate U;
    Server.fillUpdate(F.Name, U, true, Now);
    return U;
  }

  /// Performs a report, a decision and an update with one entry. Returns the
  /// ids of the placed requests.
  Ids exchange(Follower &F) {
    handleReport(F);
    Server.decide(Now);
    Ids Out;
    for (const StreamDecision &D : F.Client.applyUpdate(update(F), Now))
      if (const auto *Placement = std::get_if<StreamPlacement>(&D))
        Out.push_back(Placement->Id);
    return Out;
  }

  std::int64_t tokens(const std::string &Id = "d0") {
    return Table.find(Id)->totalLoad().Tokens;
  }

  TimePoint Now = Start;
  EndpointTable Table;
  SharedQuota Quota{QuotaTolerance{}};
  StreamScheduler Scheduler{{}, Table};
  AdmissionServer Server{"self", Scheduler, Table, Quota};
};

} // namespace hyssoprail::routing::testing

#endif // HYSSOPRAIL_ROUTING_ADMISSION_TEST_SUPPORT_HPP
