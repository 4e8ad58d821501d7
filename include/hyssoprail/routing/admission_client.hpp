#ifndef HYSSOPRAIL_ROUTING_ADMISSION_CLIENT_HPP
#define HYSSOPRAIL_ROUTING_ADMISSION_CLIENT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/routing/stream_admission.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::routing {

/// The generations of one entry, as it tells them to the coordinator: those
/// that want engines and those that hold some. The whole state goes into each
/// report, so a coordinator that takes over knows what its predecessor granted.
class AdmissionClient : public StreamAdmission {
public:
  // StreamAdmission
  void submit(StreamRequest Need) override;
  void cancel(std::string_view Id) override;
  void release(std::string_view Id, TimePoint Now) override;
  void outputGrew(std::string_view Id, std::uint64_t Tokens) override;
  void prefillEnded(std::string_view Id, TimePoint Now) override;
  bool hasRoom(std::string_view Service, std::int64_t Tokens,
               std::string_view Except, TimePoint Now) override;

  /// Writes wants and runs into the report with its sequence.
  void fillReport(wire::EntryReport &Report, TimePoint Now);

  /// Takes the coordinator's decisions on requests that still want engines.
  std::vector<StreamDecision> applyUpdate(const wire::CoordinatorUpdate &Update,
                                   TimePoint Now);

  /// Refuses requests whose callers leave before a coordinator has decided.
  std::vector<StreamDecision> expire(TimePoint Now);

  /// True if a change has not been reported yet.
  bool hasUnreportedChange() const { return Changed; }

  /// True if the coordinator has not confirmed a report with all wants.
  bool hasUnconfirmedRequest() const { return NewestWant > Confirmed; }

  std::size_t pendingCount() const { return Wants.size(); }
  std::size_t runningCount() const { return Runs.size(); }

private:
  struct Want {
    StreamRequest Need;
    std::uint64_t Key = 0;
    std::uint64_t ReportedIn = 0; ///< sequence of the first report; 0: none
  };

  using WantMap = std::map<std::string, Want, std::less<>>;

  WantMap::iterator findWant(std::uint64_t Key);

  WantMap Wants;
  std::map<std::string, wire::StreamRun, std::less<>> Runs;
  std::map<std::string, wire::ServiceRoom, std::less<>> Rooms; ///< by service
  std::uint64_t LastKey = 0;
  std::uint64_t NewestWant = 0; ///< sequence of the last report with a new want
  std::uint64_t Confirmed = 0;
  bool Changed = false;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ADMISSION_CLIENT_HPP
