#ifndef HYSSOPRAIL_PROCESS_ADMIN_API_HPP
#define HYSSOPRAIL_PROCESS_ADMIN_API_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <nlohmann/json_fwd.hpp>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/result.hpp"
#include "hyssoprail/process/timeline.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail {

/// Identifies an HTTP request that has no response yet. Chosen by the caller of
/// AdminApi.
using AdminRequestId = std::uint64_t;

struct AdminRequest {
  std::string Method;        ///< "GET" or "POST"
  std::string Target;        ///< path and query string
  std::string Authorization; ///< header value, "" if absent
  std::string Body;
};

struct AdminResponse {
  unsigned Status = 200;
  std::string Body; ///< JSON
  std::chrono::milliseconds RetryAfter{0};
};

/// Action: send this response to the request.
struct SendAdminResponse {
  AdminRequestId RequestId = 0;
  AdminResponse Response;
};

/// Action: append this record to the log and pass the outcome to
/// AdminApi::onAppendResult().
struct AppendLogRecord {
  std::string OperationId;
  wire::LogRecord Record;
};

using AdminAction = std::variant<SendAdminResponse, AppendLogRecord>;
using AdminActions = std::vector<AdminAction>;

/// State of one process in the response of GET /admin/v1/status; see
/// section 9.2 of the design page.
struct ProcessStatus {
  wire::MemberStatus Member;
  std::optional<wire::LoadReport> Load; ///< set for agents
};

struct FleetStatus {
  std::vector<ProcessStatus> Processes; ///< includes this process
  /// Time since this process last read the end of the log.
  std::chrono::milliseconds LogAge{0};
  std::uint64_t Violations = 0;
};

struct AdminOptions {
  std::string ProcessName;
  std::string OperatorTokenDigest; ///< SHA-256, hexadecimal
  std::string KeySecret;
  std::chrono::milliseconds ResponseTimeout{10'000};
  /// Delay before an append whose outcome is unknown is retried.
  std::chrono::milliseconds AppendRetryDelay{250};
};

/// Request handling of the admin API, without I/O. Not thread-safe.
///
/// Each change is written as one log record. The response is sent once that
/// record has been applied to the local ConfigStore. If the outcome of an
/// append is unknown, the append is retried with the same operation id, so that
/// the change takes effect at most once. A request that reuses an operation id
/// gets the result of the first request with that id, whichever entry receives
/// it.
///
/// \code
///   for (AdminAction &A : Api.request(Ticket, Request, Now, UnixMs)) ...
///   Api.onAppendResult("op1", Offset, Now); // the append succeeded or failed
///   Api.onRecordsApplied();                 // the store has new records
///   Api.tick(Now);                          // every 100 ms
/// \endcode
class AdminApi {
public:
  AdminApi(AdminOptions Options, const ConfigStore &Store,
           const Timeline &Events,
           std::function<FleetStatus()> ReadFleetStatus);

  AdminActions request(AdminRequestId RequestId, const AdminRequest &Request,
                       TimePoint Now, std::int64_t UnixMs);

  /// Reports the outcome of an append: the offset of the record, or an error.
  /// Unavailable means that nothing was sent; after any other error the append
  /// may have taken effect.
  AdminActions onAppendResult(const std::string &OperationId,
                              const Result<std::uint64_t> &Offset,
                              TimePoint Now);

  /// Responds to the requests whose record has been applied to the store.
  AdminActions onRecordsApplied();

  /// Retries appends that are due and fails the requests whose deadline has
  /// passed.
  AdminActions tick(TimePoint Now);

  /// The client of this request has disconnected. Its change is still
  /// completed.
  void onClientDisconnected(AdminRequestId RequestId);

  std::size_t pending() const { return Pending.size(); }

private:
  struct PendingChange {
    wire::LogRecord Record;
    std::vector<AdminRequestId> RequestIds;
    TimePoint Deadline;
    std::optional<TimePoint> RetryAt; ///< set if the append is to be retried
    bool MayHaveTakenEffect = false;
  };

  bool authorized(std::string_view Authorization) const;
  AdminResponse handleRead(const AdminRequest &Request) const;
  AdminResponse listObjects(const AdminRequest &Request) const;
  AdminResponse statusResponse() const;

  AdminActions submitChange(AdminRequestId RequestId,
                            const AdminRequest &Request, TimePoint Now,
                            std::int64_t UnixMs);
  Result<wire::LogRecord> makeChangeRecord(const nlohmann::json &Body,
                                           std::int64_t UnixMs) const;
  Result<wire::Object> parseChangeObject(const nlohmann::json &Body) const;
  void fillKeyDigest(const std::string &OperationId,
                     wire::Object &Object) const;
  AdminResponse operationResponse(const wire::LogRecord &Record,
                                  const wire::OperationResult &Result) const;
  AdminActions respondAndErase(const std::string &OperationId,
                               const AdminResponse &Response);
  AdminResponse unavailableResponse(const PendingChange &Change) const;

  const AdminOptions Options;
  const ConfigStore &Store;
  const Timeline &Events;
  const std::function<FleetStatus()> ReadFleetStatus;
  std::map<std::string, PendingChange> Pending;
};

/// JSON body of an error response, the same for all errors of the admin API.
std::string adminErrorBody(const Error &E, bool NotRun,
                           std::uint64_t ConflictingVersion = 0);

/// JSON body with the events that match the query of a target such as
/// "/admin/v1/timeline?request=..&limit=100". Also served by agents.
std::string timelineBody(const Timeline &Events, std::string_view ProcessName,
                         std::string_view Target, std::int64_t NowUnixMicros);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ADMIN_API_HPP
