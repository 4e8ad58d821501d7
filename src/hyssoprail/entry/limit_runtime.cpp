#include "hyssoprail/entry/limit_runtime.hpp"

#include <algorithm>

#include <boost/asio/post.hpp>

#include "hyssoprail/version/record_codec.hpp"

namespace hyssoprail::entry {
namespace {

constexpr std::uint64_t BatchRecords = 512;
constexpr milliseconds ReadTimeout{1'000};

/// Pause suggested when no owner answered.
constexpr milliseconds NoOwnerPause{500};

Error debitError(const AnswerDebit &Answer) {
  const auto Pause =
      std::chrono::duration_cast<milliseconds>(Answer.RetryAfter);
  if (Answer.Result == wire::DEBIT_RESULT_OVER_RATE && Pause.count() == 0)
    return {ErrorKind::RateLimited,
            "the request needs more tokens than the account's burst",
            "ask for fewer tokens",
            "max_tokens",
            {}};
  if (Answer.Result == wire::DEBIT_RESULT_OVER_RATE)
    return {ErrorKind::RateLimited, "the account is over its rate",
            "send the request again after the pause", "", Pause};
  if (Answer.Result == wire::DEBIT_RESULT_UNKNOWN_ACCOUNT)
    return {ErrorKind::Unauthenticated,
            "the account was removed",
            "use a key of another account",
            "Authorization",
            {}};
  return {ErrorKind::Unavailable,
          "the owner of the account's limit does not answer",
          "send the request again after the pause", "",
          std::max(Pause, NoOwnerPause)};
}

bool changesAccounts(const ConfigUpdate &Update) {
  return Update.Restored ||
         std::any_of(Update.Records.begin(), Update.Records.end(),
                     [](const wire::OffsetRecord &R) {
                       return R.record().has_change() &&
                              R.record().change().object().kind() ==
                                  wire::OBJECT_KIND_ACCOUNT;
                     });
}

AccountLimitsPtr accountLimits(const ConfigState &Config) {
  auto Limits = std::make_shared<AccountLimits>();
  for (const wire::Object *O : Config.objects(wire::OBJECT_KIND_ACCOUNT))
    (*Limits)[O->name()] = {O->account().rate(), O->account().burst()};
  return Limits;
}

LimitViewPtr makeView(const ConfigStore &Store, std::uint64_t Version,
                      AccountLimitsPtr Accounts) {
  auto View = std::make_shared<LimitView>();
  View->Version = Version;
  View->Accounts = std::move(Accounts);
  for (std::uint32_t Shard = 0; Shard < LimitShardCount; ++Shard) {
    const wire::ShardOwner Owner = Store.shardOwner(Shard);
    View->Owners[Shard] = {Owner.owner(), Owner.epoch()};
  }
  for (const wire::MemberState &M : Store.members())
    if (!M.member().gone())
      View->Members.push_back({M.member().incarnation(),
                               M.member().peer_address(), M.joined_offset()});
  return View;
}

} // namespace

/// One read of the log's end for the service.
struct LimitRuntime::LogRead {
  std::uint64_t Id = 0;
  TimePoint Began;
  std::uint64_t Until = 0; ///< end of the log as the first read told it
  std::uint64_t Position = 0;
};

LimitRuntime::LimitRuntime(std::unique_ptr<LimitService> Service,
                           ConfigStore &Store, boost::asio::io_context &Context,
                           PlatformClient &Platform, const Clock &Time,
                           std::string Author, LimitPorts Ports)
    : Service(std::move(Service)),
      Accounts(std::make_shared<const AccountLimits>()), Store(Store),
      Context(Context), Platform(Platform), Time(Time),
      Author(std::move(Author)), Ports(std::move(Ports)) {}

std::optional<Status> LimitRuntime::debit(const std::string &RequestId,
                                          const std::string &Account,
                                          std::uint64_t Tokens) {
  LimitActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Service->debit(Time.now(), {RequestId, Account, Tokens}, Actions);
  }
  return carryOut(std::move(Actions), RequestId);
}

void LimitRuntime::refund(const std::string &RequestId,
                          const std::string &Account, std::uint64_t Tokens) {
  LimitActions Actions;
  {
    std::lock_guard Lock(Mutex);
    const auto It = Epochs.find(RequestId);
    if (It == Epochs.end())
      return;
    const std::uint64_t Epoch = It->second;
    Epochs.erase(It);
    Service->refund(Time.now(), {RequestId, Account, Tokens, Epoch}, Actions);
  }
  carryOut(std::move(Actions));
}

void LimitRuntime::forget(const std::string &RequestId) {
  std::lock_guard Lock(Mutex);
  Epochs.erase(RequestId);
}

void LimitRuntime::message(const wire::Envelope &Message) {
  LimitActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Service->handleMessage(Time.now(), Message.incarnation(), Message, Actions);
  }
  carryOut(std::move(Actions));
}

void LimitRuntime::configChanged(const ConfigUpdate &Update) {
  if (changesAccounts(Update))
    Accounts = accountLimits(*Update.Config);
  const LimitViewPtr View = makeView(Store, Update.Config->version(), Accounts);
  LimitActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Service->viewApplied(Time.now(), View, Actions);
  }
  carryOut(std::move(Actions));
}

void LimitRuntime::tick(std::vector<LivePeer> Peers) {
  LimitActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Service->setLivePeers(Time.now(), std::move(Peers));
    Service->tick(Time.now(), Actions);
  }
  carryOut(std::move(Actions));
}

LimitStatus LimitRuntime::status() const {
  std::lock_guard Lock(Mutex);
  return Service->status(Time.now());
}

std::optional<Status> LimitRuntime::carryOut(LimitActions Actions,
                                             const std::string &Own) {
  std::optional<Status> Answered;
  for (LimitAction &Action : Actions) {
    if (const auto *Answer = std::get_if<AnswerDebit>(&Action)) {
      Status Result = noteAnswer(*Answer);
      if (!Own.empty() && Answer->DebitId == Own)
        Answered = std::move(Result);
      else
        // The caller may hold the lock of a request.
        boost::asio::post(Context, [this, Id = Answer->DebitId, Result] {
          Ports.Answer(Id, Result);
        });
    } else if (const auto *Send = std::get_if<SendToEntry>(&Action)) {
      Ports.Send(*Send);
    } else if (const auto *Read = std::get_if<StartLogRead>(&Action)) {
      boost::asio::post(Context, [this, Id = Read->ReadId] { startRead(Id); });
    } else if (const auto *Append = std::get_if<AppendTakeOver>(&Action)) {
      boost::asio::post(Context, [this, A = *Append] { append(A); });
    }
  }
  return Answered;
}

Status LimitRuntime::noteAnswer(const AnswerDebit &Answer) {
  if (Answer.Result != wire::DEBIT_RESULT_GRANTED)
    return debitError(Answer);
  std::lock_guard Lock(Mutex);
  Epochs[Answer.DebitId] = Answer.Epoch;
  return std::monostate{};
}

void LimitRuntime::startRead(std::uint64_t ReadId) {
  auto R = std::make_shared<LogRead>();
  R->Id = ReadId;
  R->Began = Time.now();
  R->Position = Store.current()->version();
  readOn(R);
}

void LimitRuntime::readOn(const std::shared_ptr<LogRead> &R) {
  Platform.read(
      R->Position, BatchRecords, milliseconds(0),
      [this, R](const Result<LogBatch> &Batch) {
        if (errorOf(Batch) != nullptr || valueOf(Batch).PositionExpired)
          return endRead(*R, false);
        const LogBatch &B = valueOf(Batch);
        if (R->Until == 0)
          R->Until = B.NewestOffset;
        std::vector<wire::OffsetRecord> Records;
        for (const LogEntry &E : B.Records) {
          wire::OffsetRecord &Record = Records.emplace_back();
          Record.set_offset(E.Offset);
          *Record.mutable_record() = decodeRecord(E.Data);
        }
        if (!Records.empty())
          Ports.Apply(Records);
        R->Position = Store.current()->version();
        if (R->Position >= R->Until)
          return endRead(*R, true);
        if (Records.empty())
          return endRead(*R, false);
        readOn(R);
      },
      ReadTimeout);
}

void LimitRuntime::endRead(const LogRead &R, bool Succeeded) {
  if (Succeeded)
    Ports.LogRead(R.Began);
  LimitActions Actions;
  {
    std::lock_guard Lock(Mutex);
    Service->readFinished(Time.now(), R.Id,
                          Succeeded ? std::optional<std::uint64_t>(R.Until)
                                    : std::nullopt,
                          Actions);
  }
  carryOut(std::move(Actions));
}

void LimitRuntime::append(const AppendTakeOver &Append) {
  wire::LogRecord Record;
  Record.set_operation_id(Append.OperationId);
  Record.set_author(Author);
  Record.set_unix_ms(Time.unixMicros() / 1000);
  *Record.mutable_take_over() = Append.Record;
  // The service appends again if the record does not show up.
  Platform.append(encodeStable(Record), [](const Result<std::uint64_t> &) {});
}

} // namespace hyssoprail::entry
