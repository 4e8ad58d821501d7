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

/// Identifies a request whose answer is open; chosen by the caller.
using AdminRequestId = std::uint64_t;

struct AdminRequest {
  std::string Method;        ///< "GET" or "POST"
  std::string Target;        ///< path and query
  std::string Authorization; ///< value of the header, or ""
  std::string Body;
};

struct AdminResponse {
  unsigned Status = 200;
  std::string Body; ///< JSON
  std::chrono::milliseconds RetryAfter{0};
};

/// Answer the request of this ticket.
struct SendAdminResponse {
  AdminRequestId RequestId = 0;
  AdminResponse Response;
};

/// Append this record to the log, then report appended().
struct AppendLogRecord {
  std::string OperationId;
  wire::LogRecord Record;
};

using AdminAction = std::variant<SendAdminResponse, AppendLogRecord>;
using AdminActions = std::vector<AdminAction>;

/// One row of the status; see section 9.2 of the design page.
struct ProcessStatus {
  wire::MemberStatus Member;
  std::optional<wire::LoadReport> Load; ///< agents
};

struct FleetStatus {
  std::vector<ProcessStatus> Processes; ///< with this process
  std::chrono::milliseconds LogAge{0};  ///< since the log's end was read
  std::uint64_t Violations = 0;
};

struct AdminOptions {
  std::string ProcessName;
  std::string OperatorTokenDigest; ///< SHA-256, hexadecimal
  std::string KeySecret;
  std::chrono::milliseconds ResponseTimeout{10'000};
  std::chrono::milliseconds AppendRetryDelay{
      250}; ///< after an append without answer
};

/// Decides the answers of the admin API. Not thread-safe.
///
/// A change becomes one log record; the request is answered when the record
/// was reduced here. An append whose answer was lost is repeated with the same
/// operation id, which has no second effect. A request that repeats an
/// operation id gets the result of the first one, through any entry.
///
/// \code
///   for (AdminAction &A : Api.request(Ticket, Request, Now, UnixMs)) ...
///   Api.appended("op1", Offset, Now);  // the log answered
///   Api.reduced();                     // the store has new records
///   Api.tick(Now);                     // every 100 ms
/// \endcode
class AdminApi {
public:
  AdminApi(AdminOptions Options, const ConfigStore &Store,
           const Timeline &Events, std::function<FleetStatus()> Fleet);

  AdminActions request(AdminRequestId RequestId, const AdminRequest &Request,
                       TimePoint Now, std::int64_t UnixMs);

  /// The log answered an append with an offset, or it failed: Unavailable if
  /// nothing was sent, any other kind if it may have taken effect.
  AdminActions onAppendResult(const std::string &OperationId,
                              const Result<std::uint64_t> &Offset,
                              TimePoint Now);

  /// Answers the requests whose record was reduced.
  AdminActions onRecordsApplied();

  /// Repeats appends and gives up on requests that waited too long.
  AdminActions tick(TimePoint Now);

  /// The caller of this ticket has gone; its change goes on.
  void onClientDisconnected(AdminRequestId RequestId);

  std::size_t pending() const { return Pending.size(); }

private:
  struct PendingChange {
    wire::LogRecord Record;
    std::vector<AdminRequestId> RequestIds;
    TimePoint Deadline;
    std::optional<TimePoint> RepeatAt; ///< set after an append without answer
    bool MayHaveRun = false;
  };

  bool authorized(std::string_view Authorization) const;
  AdminResponse read(const AdminRequest &Request) const;
  AdminResponse objects(const AdminRequest &Request) const;
  AdminResponse status() const;

  AdminActions change(AdminRequestId RequestId, const AdminRequest &Request,
                      TimePoint Now, std::int64_t UnixMs);
  Result<wire::LogRecord> changeRecord(const nlohmann::json &Body,
                                       std::int64_t UnixMs) const;
  Result<wire::Object> changeObject(const nlohmann::json &Body) const;
  void issueKey(const std::string &OperationId, wire::Object &Object) const;
  AdminResponse resultOf(const wire::LogRecord &Record,
                         const wire::OperationResult &Result) const;
  AdminActions finish(const std::string &OperationId,
                      const AdminResponse &Response);
  AdminResponse givenUp(const PendingChange &Change) const;

  const AdminOptions Options;
  const ConfigStore &Store;
  const Timeline &Events;
  const std::function<FleetStatus()> Fleet;
  std::map<std::string, PendingChange> Pending;
};

/// JSON body of an error, as all refusals of the admin API have it.
std::string adminErrorBody(const Error &E, bool NotRun,
                           std::uint64_t ConflictingVersion = 0);

/// JSON of the events that match a target such as
/// "/admin/v1/timeline?request=..&limit=100". Agents serve it too.
std::string timelineBody(const Timeline &Events, std::string_view ProcessName,
                         std::string_view Target, std::int64_t NowUnixMicros);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_ADMIN_API_HPP
