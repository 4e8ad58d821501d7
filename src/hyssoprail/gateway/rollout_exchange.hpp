#ifndef HYSSOPRAIL_GATEWAY_ROLLOUT_EXCHANGE_HPP
#define HYSSOPRAIL_GATEWAY_ROLLOUT_EXCHANGE_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "hyssoprail/gateway/fleet_feed.hpp"
#include "hyssoprail/gateway/gateway_settings.hpp"
#include "hyssoprail/process/decision_log.hpp"
#include "hyssoprail/rollout/rollout_controller.hpp"
#include "hyssoprail/rollout/rollout_gate.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::gateway {

/// Carries rollouts between the store, the entries and the coordinator: passes
/// orders and stored states on, fills reports and updates, and writes states.
/// Without an exposure share it carries out no order.
class RolloutExchange {
public:
  /// Returns how many endpoints of a version of a service can take work.
  using EndpointCount = std::function<std::size_t(std::string_view Service,
                                                  std::string_view Version)>;

  RolloutExchange(const GatewaySettings &Settings, std::uint64_t Incarnation,
                  FleetFeed &Feed, DecisionLog &Log)
      : Settings(Settings), Incarnation(Incarnation), Feed(Feed), Log(Log),
        Controller({Settings.ExposureShare, Settings.ExposureSlack}) {}

  bool enabled() const { return Settings.ExposureShare > 0; }

  rollout::RolloutGate &gate() { return Gate; }

  /// The gate; null if no rollouts are carried out.
  rollout::RolloutGate *usedGate() { return enabled() ? &Gate : nullptr; }

  /// Records the version of an endpoint that has registered. \p AtStart:
  /// this entry has just started, so the endpoint may have served for long.
  /// Returns until when the endpoint must get no work: the order for a version
  /// that is new to its service may still be on its way.
  TimePoint noteVersion(const std::string &Service, const std::string &Version,
                        bool AtStart, TimePoint Now);

  /// Takes an order that an entry first read \p Age ago.
  void order(const rollout::RolloutOrder &Order, Duration Age, TimePoint Now);

  void withdraw(std::string_view Service);

  /// Takes a state that the store has.
  void applyStored(const rollout::StatusRecord &State);

  /// The store may have lost the states that it had.
  void storeRestored() { Unconfirmed = Stored; }

  // As a follower.
  void fillReport(wire::EntryReport &Report, TimePoint Now) const;
  void applyUpdate(const wire::CoordinatorUpdate &Update, TimePoint Now);

  // As the coordinator.
  void startTerm(TimePoint Now) { Controller.startTerm(Now); }
  void takeReport(const wire::EntryReport &Report);

  /// Takes the steps that are due, applies them to this entry and writes the
  /// states that the store does not have.
  void decide(const EndpointCount &CountEndpoints, TimePoint Now);
  void fillUpdate(const std::string &Entry, wire::CoordinatorUpdate &Update,
                  TimePoint Now) const;

private:
  void logStep(const rollout::RolloutStep &Step);
  void writeNextState(TimePoint Now);

  const GatewaySettings &Settings;
  const std::uint64_t Incarnation;
  FleetFeed &Feed;
  DecisionLog &Log;
  rollout::RolloutGate Gate;
  rollout::RolloutController Controller;
  std::map<std::string, std::string> Targets; ///< of known orders, by service
  std::map<std::string, std::uint64_t> Incarnations; ///< of reporting entries
  /// Newest known state of the store by service, and those of them that it may
  /// have lost.
  std::map<std::string, rollout::StatusRecord> Stored;
  std::map<std::string, rollout::StatusRecord> Unconfirmed;
  /// Until when endpoints of a version get no work, by service and version.
  std::map<std::pair<std::string, std::string>, TimePoint> HeldVersions;
  bool Writing = false;
  TimePoint NextWriteAt{};
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_ROLLOUT_EXCHANGE_HPP
