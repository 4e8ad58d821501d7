#include "hyssoprail/entry/config_follower.hpp"

#include <boost/asio/post.hpp>
#include <spdlog/spdlog.h>

#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::entry {
namespace {

constexpr milliseconds LongPoll{1'000};
constexpr milliseconds ReadTimeout{2'500};
constexpr std::uint64_t BatchRecords = 512;

/// A peer that was silent for this long is not sent anything. The feed forgets
/// it earlier.
constexpr milliseconds RouteLife{10'000};

} // namespace

ConfigFollower::ConfigFollower(boost::asio::io_context &Context,
                               PlatformClient &Platform, ConfigStore &Store,
                               const Clock &Time, FeedOptions Options,
                               ReadCallback OnRead)
    : Context(Context), Platform(Platform), Store(Store), Time(Time),
      OnRead(std::move(OnRead)), Feed(std::move(Options), Store) {}

void ConfigFollower::heard(FeedPeer Peer, Reply Send) {
  boost::asio::post(Context, [this, Peer = std::move(Peer),
                              Send = std::move(Send)]() mutable {
    const TimePoint Now = Time.now();
    Routes[Peer.Name] = {std::move(Send), Now};
    run(Feed.peerHeard(Peer, Now));
  });
}

bool ConfigFollower::receive(const wire::Envelope &Message, Reply Answer) {
  if (!Message.has_config_request() && !Message.has_config_records() &&
      !Message.has_config_snapshot())
    return false;
  boost::asio::post(Context, [this, Message, Answer = std::move(Answer)] {
    onMessage(Message, Answer);
  });
  return true;
}

void ConfigFollower::onMessage(const wire::Envelope &Message,
                               const Reply &Answer) {
  const std::string &Peer = Message.sender();
  const std::uint64_t Before = Store.current()->version();
  if (Message.has_config_request())
    run(Feed.request(Peer, Message.config_request()), Peer, Answer);
  else if (Message.has_config_records())
    run(Feed.records(Peer, Message.config_records(), Time.now()));
  else
    run(Feed.snapshot(Peer, Message.config_snapshot(), Time.now()));
  if (Message.has_config_snapshot() && Store.current()->version() != Before)
    spdlog::info("[entry] Took version {} from {}.", Store.current()->version(),
                 Peer);
}

void ConfigFollower::apply(const std::vector<wire::OffsetRecord> &Records) {
  wire::ConfigRecords Message;
  Message.mutable_records()->Add(Records.begin(), Records.end());
  run(Feed.records("", Message, Time.now()));
}

void ConfigFollower::tick() {
  const TimePoint Now = Time.now();
  std::erase_if(Routes, [&](const auto &Entry) {
    return Now - Entry.second.HeardAt > RouteLife;
  });
  run(Feed.tick(Now));
}

/// Carries out \p Actions. What goes to \p Peer is sent through \p Answer, on
/// the link on which it asked.
void ConfigFollower::run(FeedActions Actions, const std::string &Peer,
                         const Reply &Answer) {
  const auto Send = [&](const std::string &To, wire::Envelope Out) {
    if (Answer && To == Peer)
      return Answer(std::move(Out));
    const auto It = Routes.find(To);
    if (It != Routes.end())
      It->second.Send(std::move(Out));
  };
  for (FeedAction &Action : Actions) {
    wire::Envelope Out;
    if (auto *Ask = std::get_if<AskPeer>(&Action)) {
      *Out.mutable_config_request() = std::move(Ask->Request);
      Send(Ask->Peer, std::move(Out));
    } else if (auto *Push = std::get_if<SendRecords>(&Action)) {
      *Out.mutable_config_records() = std::move(Push->Records);
      Send(Push->Peer, std::move(Out));
    } else if (auto *Whole = std::get_if<SendSnapshot>(&Action)) {
      *Out.mutable_config_snapshot() = std::move(Whole->Snapshot);
      Send(Whole->Peer, std::move(Out));
    } else if (const auto *Read = std::get_if<ReadLog>(&Action)) {
      read(Read->After);
    } else if (auto *Checkpoint = std::get_if<AppendCheckpoint>(&Action)) {
      append(std::move(Checkpoint->Record));
    }
  }
}

void ConfigFollower::read(std::uint64_t After) {
  const TimePoint Began = Time.now();
  Platform.read(
      After, BatchRecords, LongPoll,
      [this, Began](const Result<LogBatch> &Batch) {
        const Error *E = errorOf(Batch);
        if (E != nullptr && !LogFails)
          spdlog::warn("[entry] The log cannot be read: {}.", E->Message);
        LogFails = E != nullptr;
        if (E != nullptr)
          return run(Feed.logFailed(Time.now()));
        onBatch(valueOf(Batch), Began);
      },
      ReadTimeout);
}

void ConfigFollower::onBatch(const LogBatch &Batch, TimePoint Began) {
  if (Batch.PositionExpired) {
    spdlog::warn("[entry] The log dropped records before {} that were not read "
                 "yet; reading on from there for a checkpoint.",
                 Batch.OldestOffset);
    return run(Feed.logPassed(Batch.OldestOffset, Time.now()));
  }
  LogPage Page{
      .First = Batch.OldestOffset, .End = Batch.NewestOffset, .Records = {}};
  Page.Records.reserve(Batch.Records.size());
  for (const LogEntry &E : Batch.Records) {
    wire::OffsetRecord &R = Page.Records.emplace_back();
    R.set_offset(E.Offset);
    *R.mutable_record() = decodeRecord(E.Data);
  }
  FeedActions Actions = Feed.logRead(Page, Time.now());
  if (Store.current()->version() >= Batch.NewestOffset)
    OnRead(Began);
  run(std::move(Actions));
}

void ConfigFollower::append(wire::LogRecord Record) {
  Record.set_unix_ms(Time.unixMicros() / 1000);
  Platform.append(
      encodeStable(Record), [](const Result<std::uint64_t> &Offset) {
        if (const Error *E = errorOf(Offset))
          spdlog::warn("[entry] No checkpoint was appended: {}.", E->Message);
      });
}

} // namespace hyssoprail::entry
