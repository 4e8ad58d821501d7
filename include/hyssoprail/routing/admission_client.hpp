#ifndef HYSSOPRAIL_ROUTING_ADMISSION_CLIENT_HPP
#define HYSSOPRAIL_ROUTING_ADMISSION_CLIENT_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/routing/stream_admission.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// Sends the admission requests of one entry (router process) to the
/// coordinator and applies its decisions. Every report carries the full state,
/// pending requests and running generations, so a coordinator that takes over
/// learns what its predecessor granted.
class AdmissionClient : public StreamAdmission {
public:
  // StreamAdmission
  void submit(StreamRequest Request) override;
  void cancel(std::string_view Id) override;
  void release(std::string_view Id, TimePoint Now) override;
  void outputGrew(std::string_view Id, std::uint64_t Tokens) override;
  void prefillEnded(std::string_view Id, TimePoint Now) override;
  bool hasRoom(std::string_view Service, std::int64_t Tokens,
               const EngineFilter &MayUse, TimePoint Now) override;

  /// Adds the pending requests and the running generations to \p Report, whose
  /// sequence number must be set.
  void fillReport(wire::EntryReport &Report, TimePoint Now);

  /// Applies the coordinator's decisions and returns those on requests that are
  /// still pending here.
  std::vector<StreamDecision> applyUpdate(const wire::CoordinatorUpdate &Update,
                                          TimePoint Now);

  /// Refuses requests whose callers are about to give up before a coordinator
  /// has decided.
  std::vector<StreamDecision> expire(TimePoint Now);

  /// Refuses requests for services that take no work of this entry for a time.
  /// \p WaitOf returns that time, or nullopt.
  std::vector<StreamDecision> refusePaused(
      const std::function<std::optional<milliseconds>(const std::string &)>
          &WaitOf);

  /// True if the state has changed since the last report.
  bool hasUnreportedChange() const { return Changed; }

  /// True if the coordinator has not yet confirmed the last report that added a
  /// request.
  bool hasUnconfirmedRequest() const {
    return LastNewRequestReport > ConfirmedSequence;
  }

  std::size_t pendingCount() const { return Pending.size(); }
  /// Adds the requests that wait, by service and priority.
  void
  countPending(std::map<std::pair<std::string, int>, std::size_t> &Out) const;
  std::size_t runningCount() const { return Runs.size(); }

private:
  struct PendingRequest {
    StreamRequest Request;
    std::uint64_t Key = 0;
    std::uint64_t FirstReportSequence = 0; ///< 0: not reported yet
  };

  using PendingMap = std::map<std::string, PendingRequest, std::less<>>;

  PendingMap::iterator findPending(std::uint64_t Key);

  PendingMap Pending;
  std::map<std::string, wire::StreamRun, std::less<>> Runs;
  std::map<std::string, wire::ServiceRoom, std::less<>> Rooms; ///< by service
  std::uint64_t LastKey = 0;
  std::uint64_t LastNewRequestReport = 0; ///< report sequence
  std::uint64_t ConfirmedSequence = 0;
  bool Changed = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ADMISSION_CLIENT_HPP
