#ifndef HYSSOPRAIL_CONNECTION_PLATFORM_CLIENT_HPP
#define HYSSOPRAIL_CONNECTION_PLATFORM_CLIENT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/connection/http_client.hpp"
#include "hyssoprail/core/result.hpp"

namespace hyssoprail {

/// A record of the platform's log.
struct LogEntry {
  std::uint64_t Offset = 0;
  std::string Data;
};

/// Result of one read of the log.
struct LogBatch {
  std::uint64_t OldestOffset = 0; ///< oldest retained record
  std::uint64_t NewestOffset = 0; ///< 0 if the log is empty
  std::vector<LogEntry> Records;
  /// Records after the requested position were deleted by retention; only
  /// OldestOffset is set.
  bool PositionExpired = false;
};

/// One VM of the platform's VM list, which may be out of date.
struct VmInfo {
  std::string Name;
  std::string Zone;
  std::string Role; ///< "entry" or "agent"
  std::string PeerAddress;
  bool Leaving = false;
};

/// Client of the platform's log and VM list. Must be used on the thread of the
/// HTTP client, which must outlive it; callbacks run there too.
///
/// Errors: Unavailable if the platform did not accept the request,
/// OutcomeUnknown if an append may have taken effect, DeadlineExceeded or
/// UpstreamFailed if a read got no response or an invalid one.
class PlatformClient {
public:
  /// \p Authority is "IP:PORT".
  PlatformClient(HttpClient &Client, std::string Authority);

  /// Appends a record and passes its offset to \p OnDone.
  void append(std::string_view Record,
              std::function<void(Result<std::uint64_t>)> OnDone,
              std::chrono::milliseconds Timeout = std::chrono::seconds(2));

  /// Reads up to \p Max records after offset \p After. Waits up to \p Wait if
  /// there are none yet.
  void read(std::uint64_t After, std::uint64_t Max,
            std::chrono::milliseconds Wait,
            std::function<void(Result<LogBatch>)> OnDone,
            std::chrono::milliseconds Timeout = std::chrono::seconds(2));

  /// Reads the VM list.
  void vms(std::function<void(Result<std::vector<VmInfo>>)> OnDone);

private:
  HttpCall makeCall(std::string Method, std::string Target,
                    std::chrono::milliseconds Timeout) const;

  HttpClient &Client;
  std::string Authority;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_PLATFORM_CLIENT_HPP
