#include "hyssoprail/entry/log_follower.hpp"

#include <algorithm>

#include <spdlog/spdlog.h>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::entry {
namespace {

constexpr milliseconds LongPoll{1'000};
constexpr milliseconds ReadTimeout{2'500};
constexpr std::uint64_t BatchRecords = 512;

/// Pause after a failed read: exponential with full jitter.
constexpr milliseconds FirstPause{50};
constexpr milliseconds LongestPause{500};

/// A checkpoint is due when the newest one is older than a quarter of the
/// records that the log keeps, and not before this many records.
constexpr std::uint64_t MinCheckpointRecords = 200;

/// Entries wait a random part of this, so that one of them appends.
constexpr milliseconds CheckpointSpread{2'000};

} // namespace

LogFollower::LogFollower(boost::asio::io_context &Context,
                         PlatformClient &Platform, ConfigStore &Store,
                         const Clock &Time, std::string Author,
                         std::uint64_t Seed, ReadCallback OnRead)
    : Timer(Context), CheckpointTimer(Context), Platform(Platform),
      Store(Store), Time(Time), Author(std::move(Author)), Random(Seed),
      OnRead(std::move(OnRead)) {}

void LogFollower::start() {
  Running = true;
  read();
}

void LogFollower::stop() {
  Running = false;
  Timer.cancel();
  CheckpointTimer.cancel();
}

void LogFollower::read() {
  if (!Running)
    return;
  // Records may also have come from another entry.
  Position = std::max(Position, Store.current()->version());
  const TimePoint Began = Time.now();
  Platform.read(
      Position, BatchRecords, LongPoll,
      [this, Began](const Result<LogBatch> &Batch) {
        if (!Running)
          return;
        if (const Error *E = errorOf(Batch))
          return onFailure(*E);
        Failures = 0;
        onBatch(valueOf(Batch), Began);
      },
      ReadTimeout);
}

void LogFollower::onBatch(const LogBatch &Batch, TimePoint Began) {
  if (Batch.Dropped) {
    // The oldest records are gone; a kept checkpoint covers them.
    spdlog::warn("[entry] The log dropped the records after {}; reading on "
                 "from {} for a checkpoint.",
                 Position, Batch.First);
    Position = Batch.First > 0 ? Batch.First - 1 : 0;
    return readLater(milliseconds(0));
  }
  std::vector<wire::OffsetRecord> Records;
  Records.reserve(Batch.Records.size());
  for (const LogEntry &E : Batch.Records) {
    wire::OffsetRecord &R = Records.emplace_back();
    R.set_offset(E.Offset);
    *R.mutable_record() = decodeRecord(E.Data);
    Position = std::max(Position, E.Offset);
  }
  // A checkpoint may cover less than the records that were read before it.
  if (!Records.empty() && Store.apply(Records).Restored)
    Position = Store.current()->version();
  if (Position >= Batch.End && Store.current()->version() >= Batch.End)
    OnRead(Began);
  considerCheckpoint(Batch);
  readLater(milliseconds(0));
}

void LogFollower::onFailure(const Error &Why) {
  if (Failures == 0)
    spdlog::warn("[entry] The log cannot be read: {}.", Why.Message);
  ++Failures;
  const milliseconds Longest =
      std::min(LongestPause, FirstPause * (1 << std::min(Failures, 6U)));
  readLater(std::chrono::duration_cast<Duration>(Random.unit() * Longest));
}

void LogFollower::readLater(Duration Pause) {
  Timer.expires_after(Pause);
  Timer.async_wait([this](const boost::system::error_code &Code) {
    if (!Code)
      read();
  });
}

void LogFollower::considerCheckpoint(const LogBatch &Batch) {
  const std::uint64_t Kept =
      Batch.End >= Batch.First ? Batch.End - Batch.First + 1 : 0;
  const std::uint64_t Due = std::max(MinCheckpointRecords, Kept / 4);
  const std::uint64_t Newest = Store.checkpointOffset();
  if (CheckpointDue || Batch.End < Newest + Due)
    return;
  CheckpointDue = true;
  CheckpointTimer.expires_after(
      std::chrono::duration_cast<Duration>(Random.unit() * CheckpointSpread));
  CheckpointTimer.async_wait(
      [this, Newest](const boost::system::error_code &Code) {
        if (!Code)
          appendCheckpoint(Newest);
      });
}

/// Appends a checkpoint unless another entry did since \p Seen.
void LogFollower::appendCheckpoint(std::uint64_t Seen) {
  if (Store.checkpointOffset() != Seen) {
    CheckpointDue = false;
    return;
  }
  wire::LogRecord Record;
  Record.set_operation_id(hexId(Random.identifier(), Random.identifier()));
  Record.set_author(Author);
  Record.set_unix_ms(Time.unixMicros() / 1000);
  *Record.mutable_checkpoint()->mutable_state() = Store.checkpoint();
  Record.mutable_checkpoint()->set_covers(
      Record.checkpoint().state().version());
  Platform.append(
      encodeStable(Record), [this](const Result<std::uint64_t> &Offset) {
        if (const Error *E = errorOf(Offset))
          spdlog::warn("[entry] No checkpoint was appended: {}.", E->Message);
        CheckpointDue = false;
      });
}

} // namespace hyssoprail::entry
