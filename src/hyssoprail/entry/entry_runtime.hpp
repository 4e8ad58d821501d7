#ifndef HYSSOPRAIL_ENTRY_ENTRY_RUNTIME_HPP
#define HYSSOPRAIL_ENTRY_ENTRY_RUNTIME_HPP

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/connection/bus.hpp"
#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/connection/peer_links.hpp"
#include "hyssoprail/connection/platform_client.hpp"
#include "hyssoprail/entry/admin_handler.hpp"
#include "hyssoprail/entry/caller_api.hpp"
#include "hyssoprail/entry/claim_writer.hpp"
#include "hyssoprail/entry/config_follower.hpp"
#include "hyssoprail/entry/config_freshness.hpp"
#include "hyssoprail/entry/endpoint_directory.hpp"
#include "hyssoprail/entry/limit_runtime.hpp"
#include "hyssoprail/entry/live_work.hpp"
#include "hyssoprail/entry/membership_recorder.hpp"
#include "hyssoprail/entry/request_shards.hpp"
#include "hyssoprail/entry/scheduling_service.hpp"
#include "hyssoprail/process/agent_lease_planner.hpp"
#include "hyssoprail/process/membership.hpp"
#include "hyssoprail/process/metrics.hpp"
#include "hyssoprail/process/retry_budget.hpp"
#include "hyssoprail/process/settings.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail::entry {

/// The parts of a running entry and their connections.
class EntryRuntime : private FlowPorts {
public:
  EntryRuntime(EntrySettings Settings, const Clock &Time);
  ~EntryRuntime() override;

  /// Binds all sockets and starts all threads.
  Status start();

  /// The line that tells on standard output that work is accepted.
  std::string readyLine() const;

  /// Graceful shutdown: accepts no new work and returns when live requests
  /// have finished.
  void drain();

  /// Ends all threads.
  void stop();

private:
  void sendTo(const std::string &Endpoint, wire::Envelope Message) override;
  void schedule(const FlowSpec &Spec, const FindPlacement &Ask) override;
  void workEnded(const FlowSpec &Spec, const EndWork &End) override;
  void requestEnded(const FlowSpec &Spec, std::uint32_t Tokens) override;
  std::optional<Status> debit(const FlowSpec &Spec,
                              std::uint64_t Tokens) override;
  void refund(const FlowSpec &Spec, std::uint64_t Tokens) override;
  void claim(const FlowSpec &Spec, const wire::Claim &Claim) override;
  void recordOutcome(const wire::ClaimOutcome &Outcome) override;

  CallerApiContext callerContext();
  FlowContext flowContext();
  Status startServers();
  void startLinks();
  void onBusMessage(const BusSource &Source, wire::Envelope Message);
  void onLinkMessage(const std::string &Address, const wire::Envelope &Message);
  void onPeerMessage(const BusSource &Source, const wire::Envelope &Message);
  void onAck(const std::string &Address, const wire::Envelope &Message);
  void onWorkMessage(const std::string &Endpoint,
                     const wire::Envelope &Message);
  void onConfig(const ConfigUpdate &Update);
  void onIncarnation(const std::string &Address, std::uint64_t Old);
  void onReplaced(const std::string &Address);
  void notePeerLog(const wire::Envelope &Message, std::uint64_t Version,
                   std::uint32_t LogAgeMs);
  wire::Heartbeat makeHeartbeat(const std::string &Address);
  void scheduleTick();
  void tick();
  void tickLimits();
  void tickMembers();
  void appendMember(const wire::Member &Member);
  void tickAgentLeases();
  std::vector<LivePeer> liveEntries() const;
  void linkMembers();
  LimitPorts limitPorts();
  void tickVms();
  wire::Member ownMember() const;
  std::string adminAddress() const;
  wire::MemberStatus ownStatus();
  milliseconds logAge();
  std::optional<Error> whyClosed() const;
  std::optional<Error> whyKeysUnchecked();
  std::string metricsText();
  FleetStatus fleetStatus();
  std::vector<MemberView> knownProcesses() const;
  bool keyValid(std::string_view Digest, std::string_view Account) const;
  std::optional<Duration> takeRetry(const FlowSpec &Spec,
                                    std::uint32_t Attempt);

  const EntrySettings Settings;
  const Clock &Time;
  const std::uint64_t Incarnation;
  Timeline Events;
  Invariants Checks;
  Metrics Measures;
  ConfigStore Store;
  LiveWork Live;
  EndpointDirectory Directory;
  RetryBudget Retries;
  std::mutex RandomMutex;
  RandomSource Random;
  std::mutex FreshnessMutex;
  ConfigFreshness Freshness;
  FlowContext Flows;
  SchedulingService Scheduling;
  RequestShards Requests;
  CallerApi Callers;

  boost::asio::io_context Control;
  boost::asio::steady_timer Ticker;
  std::unique_ptr<HttpClient> Http;
  PlatformClient Platform;
  ConfigFollower Follower;
  ClaimWriter Claims;
  AdminHandler Admin;
  mutable std::mutex ProcessesMutex;
  Membership Processes;
  RandomSource LimitRandom;
  LimitRuntime Limits;
  std::mutex AgentLeasesMutex;
  AgentLeasePlanner AgentLeases;
  std::unique_ptr<MembershipRecorder> Members;
  std::unique_ptr<Bus> Sockets;
  std::unique_ptr<PeerLinks> Links;
  std::unique_ptr<HttpServer> CallerServer;
  std::unique_ptr<HttpServer> AdminServer;
  std::thread ControlThread;
  std::atomic<std::uint64_t> ReplySeq{0};
  std::uint64_t Ticks = 0;
  std::uint64_t AppliedVersion = 0; ///< set by onConfig only
  std::atomic<bool> Draining{false};
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_ENTRY_RUNTIME_HPP
