#include "hyssoprail/entry/claim_writer.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <spdlog/spdlog.h>

#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::entry {
namespace {

/// Longest time for a claim to be appended and reduced.
constexpr milliseconds ClaimTimeout{2'500};

constexpr milliseconds AppendTimeout{1'000};
constexpr milliseconds RetryPause{50};
constexpr milliseconds ReducePoll{2};
constexpr int OutcomeAttempts = 20;

} // namespace

/// One record on its way to the log.
struct ClaimWriter::Attempt {
  Attempt(boost::asio::io_context &Context) : Timer(Context) {}

  boost::asio::steady_timer Timer;
  wire::LogRecord Record;
  Callback OnDone; ///< empty for outcomes
  TimePoint Until;
  int Left = OutcomeAttempts;
  std::uint64_t Offset = 0;
};

ClaimWriter::ClaimWriter(boost::asio::io_context &Context,
                         PlatformClient &Platform, ConfigStore &Store,
                         const Clock &Time, std::string Author)
    : Context(Context), Platform(Platform), Store(Store), Time(Time),
      Author(std::move(Author)) {}

wire::LogRecord ClaimWriter::newRecord(std::string OperationId) const {
  wire::LogRecord Record;
  Record.set_operation_id(std::move(OperationId));
  Record.set_author(Author);
  Record.set_unix_ms(Time.unixMicros() / 1000);
  return Record;
}

void ClaimWriter::claim(const wire::Claim &Claim, Callback OnDone) {
  auto A = std::make_shared<Attempt>(Context);
  A->Record = newRecord("claim-" + Claim.request_id());
  *A->Record.mutable_claim() = Claim;
  A->OnDone = std::move(OnDone);
  A->Until = Time.now() + ClaimTimeout;
  boost::asio::post(Context, [this, A] { append(A); });
}

void ClaimWriter::record(const wire::ClaimOutcome &Outcome) {
  auto A = std::make_shared<Attempt>(Context);
  A->Record = newRecord("outcome-" + Outcome.claim_id());
  *A->Record.mutable_claim_outcome() = Outcome;
  boost::asio::post(Context, [this, A] { append(A); });
}

void ClaimWriter::append(const std::shared_ptr<Attempt> &A) {
  Platform.append(
      encodeStable(A->Record),
      [this, A](const Result<std::uint64_t> &Offset) {
        if (errorOf(Offset) != nullptr)
          return retry(A);
        A->Offset = valueOf(Offset);
        if (A->OnDone)
          waitUntilReduced(A);
      },
      AppendTimeout);
}

/// The record is the same, so an append whose answer was lost has no second
/// effect.
void ClaimWriter::retry(const std::shared_ptr<Attempt> &A) {
  if (A->OnDone && Time.now() + RetryPause >= A->Until)
    return A->OnDone(Error{ErrorKind::Unavailable,
                           "the log cannot record the Idempotency-Key now",
                           "send the request again later", "Idempotency-Key",
                           milliseconds(1'000)});
  if (!A->OnDone && --A->Left <= 0) {
    spdlog::warn("[entry] The outcome of a claimed call was not recorded.");
    return;
  }
  A->Timer.expires_after(A->OnDone ? RetryPause : RetryPause * 10);
  A->Timer.async_wait([this, A](const boost::system::error_code &Code) {
    if (!Code)
      append(A);
  });
}

void ClaimWriter::waitUntilReduced(const std::shared_ptr<Attempt> &A) {
  const wire::Claim &Claim = A->Record.claim();
  if (Store.current()->version() >= A->Offset) {
    if (std::optional<wire::ClaimState> Winner = Store.claim(Claim.claim_id()))
      return A->OnDone(std::move(*Winner));
  }
  if (Time.now() >= A->Until)
    return A->OnDone(Error{ErrorKind::Unavailable, "the log cannot be read now",
                           "send the request again later", "Idempotency-Key",
                           milliseconds(1'000)});
  A->Timer.expires_after(ReducePoll);
  A->Timer.async_wait([this, A](const boost::system::error_code &Code) {
    if (!Code)
      waitUntilReduced(A);
  });
}

} // namespace hyssoprail::entry
