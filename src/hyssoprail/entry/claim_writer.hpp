#ifndef HYSSOPRAIL_ENTRY_CLAIM_WRITER_HPP
#define HYSSOPRAIL_ENTRY_CLAIM_WRITER_HPP

#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/connection/platform_client.hpp"
#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail::entry {

/// Appends claims and their outcomes to the log. All functions may be called
/// from any thread; callbacks run on the thread of the io_context.
class ClaimWriter {
public:
  using Callback = std::function<void(Result<wire::ClaimState>)>;

  ClaimWriter(boost::asio::io_context &Context, PlatformClient &Platform,
              ConfigStore &Store, const Clock &Time, std::string Author);

  /// Appends \p Claim and reports the claim that won once the log was reduced
  /// up to it. Errors: Unavailable if the log cannot be reached; the claim may
  /// be recorded later, but its request is not sent.
  void claim(const wire::Claim &Claim, Callback OnDone);

  /// Appends the outcome of a claimed call, with a few attempts.
  void record(const wire::ClaimOutcome &Outcome);

private:
  struct Attempt;

  void append(const std::shared_ptr<Attempt> &A);
  void waitUntilReduced(const std::shared_ptr<Attempt> &A);
  void retry(const std::shared_ptr<Attempt> &A);
  wire::LogRecord newRecord(std::string OperationId) const;

  boost::asio::io_context &Context;
  PlatformClient &Platform;
  ConfigStore &Store;
  const Clock &Time;
  std::string Author;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_CLAIM_WRITER_HPP
