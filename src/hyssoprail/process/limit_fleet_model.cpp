#include "hyssoprail/process/limit_fleet_model.hpp"

#include <algorithm>
#include <deque>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

constexpr milliseconds HeartbeatInterval{250};
constexpr milliseconds SuspectAfter{1'000};
constexpr milliseconds PollInterval{200};
constexpr milliseconds RepeatDelay{3'000};
constexpr std::chrono::seconds RemoveMemberAfter{10};

/// Bytes of an envelope's own fields, beside its body.
constexpr std::uint64_t EnvelopeBytes = 40;

} // namespace

/// One entry process: its service, its clock and what it knows of the others.
struct LimitFleetModel::Entry : LimitObserver {
  Entry(LimitFleetModel &Fleet, std::size_t Index, double Drift,
        std::uint64_t Incarnation)
      : Fleet(Fleet), Index(Index), Incarnation(Incarnation), Rate(1 + Drift),
        Offset(std::chrono::seconds(Fleet.Random.below(1'000))),
        Random(Fleet.Random.identifier()) {
    const LimitDependencies Dependencies{Fleet.Events, Fleet.Checks, Registry,
                                         Random, this};
    Service =
        Fleet.Options.UseFixedLimits
            ? makeFixedLimits(Fleet.Options.Limits, Incarnation, Dependencies)
            : makeOwnerLimits(Fleet.Options.Limits, Incarnation, Dependencies);
  }

  TimePoint local() const {
    const std::chrono::duration<double> Since = Fleet.True.time_since_epoch();
    return TimePoint(Offset +
                     std::chrono::duration_cast<Duration>(Since * Rate));
  }

  void granted(const std::string &DebitId, const std::string &Account,
               std::uint64_t Tokens) override {
    Fleet.Audit.granted(Account, DebitId, static_cast<double>(Tokens),
                        Fleet.True);
  }

  void credited(const std::string &DebitId, const std::string &Account,
                double Tokens) override {
    Fleet.Audit.credited(Account, DebitId, Tokens);
  }

  LimitFleetModel &Fleet;
  std::size_t Index;
  std::uint64_t Incarnation;
  double Rate;
  Duration Offset;
  RandomSource Random;
  Metrics Registry;
  std::unique_ptr<LimitService> Service;
  bool Alive = true;
  bool Leaving = false;
  bool LogCut = false;
  TimePoint PausedUntil{};
  std::uint64_t Applied = 0;
  std::uint64_t Messages = 0;
  std::uint64_t Bytes = 0;
  struct Heard {
    TimePoint At;
    std::uint64_t Version;
    bool Leaving;
  };
  std::map<std::uint64_t, Heard> Peers;
};

LimitFleetModel::LimitFleetModel(LimitFleetOptions Options)
    : Options(Options), Random(Options.Seed), Events(256, EventClock),
      Checks(Events, false) {}

LimitFleetModel::~LimitFleetModel() = default;

std::size_t LimitFleetModel::addEntry(double Drift) {
  const std::size_t Index = Entries.size();
  const std::uint64_t Incarnation = Random.identifier();
  Entries.push_back(std::make_unique<Entry>(*this, Index, Drift, Incarnation));
  ByIncarnation[Incarnation] = Index;
  after(Duration::zero(), [this, Index] { poll(Index); });
  after(Duration::zero(), [this, Index] { heartbeat(Index); });
  after(Duration::zero(), [this, Index] { tick(Index); });
  return Index;
}

void LimitFleetModel::kill(std::size_t Index) { Entries[Index]->Alive = false; }

void LimitFleetModel::pause(std::size_t Index, Duration Length) {
  Entry &Of = *Entries[Index];
  Of.PausedUntil = std::max(Of.PausedUntil, True + Length);
}

void LimitFleetModel::setLeaving(std::size_t Index) {
  Entries[Index]->Leaving = true;
}

void LimitFleetModel::setLinkDown(std::size_t A, std::size_t B, bool Broken) {
  const auto Pair = std::minmax(A, B);
  if (Broken)
    Cuts.insert(Pair);
  else
    Cuts.erase(Pair);
}

void LimitFleetModel::setLogLinkDown(std::size_t Index, bool Broken) {
  Entries[Index]->LogCut = Broken;
}

void LimitFleetModel::setAccount(const std::string &Account,
                                 std::optional<AccountLimit> Limit) {
  Log.append(fmt::format("account-{}", Log.end()),
             AccountChange{Account, Limit});
  const auto It = Ideal.find(Account);
  const AccountLimit To = Limit.value_or(AccountLimit{});
  if (It != Ideal.end())
    It->second.setLimit(To, True);
  else
    Ideal.emplace(Account, TokenBucket(To, 0, 1, True));
  updateAuditLimits();
}

void LimitFleetModel::request(std::size_t Index, const std::string &Account,
                              std::uint64_t Tokens, std::uint64_t Unused,
                              Duration Hold) {
  Entry &Of = *Entries[Index];
  if (!Of.Alive)
    return;
  const std::string Id = fmt::format("{:032x}/1", ++Requests);
  LimitOutcome Outcome;
  Outcome.At = True;
  Outcome.Entry = Index;
  Outcome.Account = Account;
  Outcome.Tokens = Tokens;
  const auto It = Ideal.find(Account);
  if (It != Ideal.end()) {
    TokenBucket &Bucket = It->second;
    if (const auto Grant = Bucket.take(static_cast<double>(Tokens), True)) {
      Outcome.WithinRate = true;
      after(Hold, [this, &Bucket, Grant, Unused] {
        Bucket.returnUnused(*Grant, static_cast<double>(Unused), True);
      });
    }
  }
  OpenRequests[Id] = {Outcomes.size(), Unused, Hold};
  Outcomes.push_back(Outcome);
  deliver(Index, [this, Id, Account, Tokens](Entry &To) {
    LimitActions Actions;
    To.Service->debit(To.local(), {Id, Account, Tokens}, Actions);
    perform(To, Actions);
  });
}

void LimitFleetModel::schedule(TimePoint At, std::function<void()> What) {
  Queue.push({At, ++Order, std::move(What)});
}

void LimitFleetModel::after(Duration Delay, std::function<void()> What) {
  schedule(True + Delay, std::move(What));
}

void LimitFleetModel::runUntil(TimePoint Until) {
  while (!Queue.empty() && Queue.top().At <= Until) {
    const Scheduled Next = Queue.top();
    Queue.pop();
    True = Next.At;
    Next.What();
  }
  True = Until;
}

bool LimitFleetModel::alive(std::size_t Index) const {
  return Entries[Index]->Alive;
}

bool LimitFleetModel::serving(std::size_t Index) const {
  return Entries[Index]->Alive && !Entries[Index]->Leaving;
}

std::uint64_t LimitFleetModel::ownerEntry(const std::string &Account) const {
  const std::uint64_t Owner =
      Log.view(Log.end())->Owners[limitShard(Account)].Owner;
  const auto It = ByIncarnation.find(Owner);
  return It == ByIncarnation.end() ? Entries.size() : It->second;
}

LimitStatus LimitFleetModel::status(std::size_t Index) const {
  const Entry &Of = *Entries[Index];
  return Of.Service->status(Of.local());
}

std::uint64_t LimitFleetModel::messages(std::size_t Index) const {
  return Entries[Index]->Messages;
}

std::uint64_t LimitFleetModel::messageBytes(std::size_t Index) const {
  return Entries[Index]->Bytes;
}

Duration LimitFleetModel::networkDelay() {
  const auto Span = static_cast<std::uint64_t>(
      std::chrono::microseconds(Options.NetworkDelayMax -
                                Options.NetworkDelayMin)
          .count());
  return Options.NetworkDelayMin +
         std::chrono::microseconds(Random.below(Span + 1));
}

bool LimitFleetModel::connected(std::size_t A, std::size_t B) const {
  return !Cuts.contains(std::minmax(A, B));
}

bool LimitFleetModel::logReachable(const Entry &Of) const {
  return !LogDown && !Of.LogCut;
}

/// Runs \p What in an entry, when it is resumed if it is paused.
void LimitFleetModel::deliver(std::size_t To,
                              std::function<void(Entry &)> What) {
  Entry &Of = *Entries[To];
  if (!Of.Alive)
    return;
  if (Of.PausedUntil > True) {
    schedule(Of.PausedUntil,
             [this, To, What = std::move(What)] { deliver(To, What); });
    return;
  }
  What(Of);
}

void LimitFleetModel::perform(Entry &Of, LimitActions &Actions) {
  for (const LimitAction &Action : Actions) {
    if (const auto *Answer = std::get_if<AnswerDebit>(&Action))
      answered(Of, *Answer);
    else if (const auto *Send = std::get_if<SendToEntry>(&Action))
      sendMessage(Of, *Send);
    else if (const auto *Read = std::get_if<StartLogRead>(&Action))
      read(Of.Index, Read->ReadId);
    else if (const auto *Append = std::get_if<AppendTakeOver>(&Action))
      append(Of.Index, Append->OperationId, Append->Record);
  }
}

void LimitFleetModel::sendMessage(Entry &From, const SendToEntry &Action) {
  ++From.Messages;
  From.Bytes += Action.Message.ByteSizeLong() + EnvelopeBytes;
  const auto It = ByIncarnation.find(Action.Incarnation);
  if (It == ByIncarnation.end() || !connected(From.Index, It->second))
    return;
  const std::size_t To = It->second;
  const std::uint64_t Sender = From.Incarnation;
  auto Arrive = [this, To, Sender,
                 Message =
                     std::make_shared<const wire::Envelope>(Action.Message)] {
    deliver(To, [this, Sender, Message](Entry &Of) {
      ++Of.Messages;
      Of.Bytes += Message->ByteSizeLong() + EnvelopeBytes;
      LimitActions Actions;
      Of.Service->handleMessage(Of.local(), Sender, *Message, Actions);
      perform(Of, Actions);
    });
  };
  if (Random.unit() >= Options.LoseMessage)
    after(networkDelay(), Arrive);
  if (Random.unit() < Options.RepeatMessage)
    after(std::chrono::duration_cast<Duration>(RepeatDelay * Random.unit()),
          Arrive);
}

void LimitFleetModel::append(std::size_t From, const std::string &OperationId,
                             const LimitLogModel::Record &Body) {
  if (!logReachable(*Entries[From]))
    return;
  after(Options.LogDelay, [this, OperationId, Body] {
    if (!LogDown) {
      Log.append(OperationId, Body);
      updateAuditLimits();
    }
  });
}

/// Reads the log's end. With a read id it is one the service asked for.
void LimitFleetModel::read(std::size_t From,
                           std::optional<std::uint64_t> ReadId) {
  auto Finish = [this, From, ReadId](std::optional<std::uint64_t> End) {
    deliver(From, [this, ReadId, End](Entry &Of) {
      if (End)
        apply(Of, *End);
      if (!ReadId)
        return;
      LimitActions Actions;
      Of.Service->readFinished(Of.local(), *ReadId, End, Actions);
      perform(Of, Actions);
    });
  };
  if (!logReachable(*Entries[From])) {
    after(Options.LogDelay, [Finish] { Finish(std::nullopt); });
    return;
  }
  after(Options.LogDelay, [this, From, Finish] {
    if (LogDown || Random.unit() < Options.LoseLogAnswer)
      return;
    const std::uint64_t End = Log.end();
    after(Options.LogDelay, [this, From, Finish, End] {
      if (logReachable(*Entries[From]))
        Finish(End);
    });
  });
}

void LimitFleetModel::apply(Entry &Of, std::uint64_t Version) {
  if (Version <= Of.Applied)
    return;
  Of.Applied = Version;
  LimitActions Actions;
  Of.Service->viewApplied(Of.local(), Log.view(Version), Actions);
  perform(Of, Actions);
  updateAuditLimits();
}

void LimitFleetModel::tick(std::size_t Index) {
  Entry &Of = *Entries[Index];
  if (!Of.Alive)
    return;
  deliver(Index, [this](Entry &To) {
    updatePeers(To);
    LimitActions Actions;
    To.Service->tick(To.local(), Actions);
    perform(To, Actions);
  });
  schedule(std::max(True, Of.PausedUntil) + Options.Tick,
           [this, Index] { tick(Index); });
}

/// Follows the log, or a random peer if it cannot be reached; joins, and
/// removes members that are gone.
void LimitFleetModel::poll(std::size_t Index) {
  Entry &Of = *Entries[Index];
  if (!Of.Alive)
    return;
  deliver(Index, [this](Entry &To) {
    read(To.Index, std::nullopt);
    const std::size_t Peer = Random.below(Entries.size());
    if (Options.FollowPeers && Entries[Peer]->Alive &&
        connected(To.Index, Peer)) {
      const std::uint64_t Version = Entries[Peer]->Applied;
      after(networkDelay(), [this, Index = To.Index, Version] {
        deliver(Index, [this, Version](Entry &E) { apply(E, Version); });
      });
    }
    const LimitView &View = *Log.view(To.Applied);
    wire::Member Member;
    Member.set_peer_address("model");
    if (!View.member(To.Incarnation)) {
      Member.set_incarnation(To.Incarnation);
      append(To.Index, fmt::format("join-{:x}-{}", To.Incarnation, To.Applied),
             Member);
    }
    for (const LimitMember &M : View.Members) {
      const auto Heard = To.Peers.find(M.Incarnation);
      if (Heard == To.Peers.end() ||
          True - Heard->second.At < RemoveMemberAfter)
        continue;
      Member.set_incarnation(M.Incarnation);
      Member.set_gone(true);
      append(To.Index,
             fmt::format("gone-{:x}-{}", M.Incarnation, M.JoinedOffset),
             Member);
    }
  });
  after(PollInterval, [this, Index] { poll(Index); });
}

void LimitFleetModel::heartbeat(std::size_t Index) {
  Entry &Of = *Entries[Index];
  if (!Of.Alive)
    return;
  deliver(Index, [this](Entry &From) {
    for (const auto &To : Entries) {
      if (To->Index == From.Index || !connected(From.Index, To->Index) ||
          Random.unit() < Options.LoseMessage)
        continue;
      after(networkDelay(),
            [this, Index = To->Index, Incarnation = From.Incarnation,
             Version = From.Applied, Leaving = From.Leaving] {
              deliver(Index, [this, Incarnation, Version, Leaving](Entry &E) {
                E.Peers[Incarnation] = {True, Version, Leaving};
              });
            });
    }
  });
  after(HeartbeatInterval, [this, Index] { heartbeat(Index); });
}

void LimitFleetModel::updatePeers(Entry &Of) {
  std::vector<LivePeer> Live;
  for (const auto &[Incarnation, Heard] : Of.Peers)
    if (True - Heard.At < SuspectAfter)
      Live.push_back({Incarnation, Heard.Version, Heard.Leaving});
  Live.push_back({Of.Incarnation, Of.Applied, Of.Leaving});
  Of.Service->setLivePeers(Of.local(), std::move(Live));
}

void LimitFleetModel::answered(Entry &Of, const AnswerDebit &Answer) {
  const auto It = OpenRequests.find(Answer.DebitId);
  if (It == OpenRequests.end())
    return;
  const OpenRequest Open = It->second;
  OpenRequests.erase(It);
  LimitOutcome &Outcome = Outcomes[Open.Outcome];
  Outcome.Answered = true;
  Outcome.Granted = Answer.Result == wire::DEBIT_RESULT_GRANTED;
  Outcome.Waited = True - Outcome.At;
  if (!Outcome.Granted || Open.Unused == 0)
    return;
  const LimitRefund Refund{.DebitId = Answer.DebitId,
                           .Account = Outcome.Account,
                           .Tokens = Open.Unused,
                           .Epoch = Answer.Epoch};
  after(Open.Hold, [this, Index = Of.Index, Refund] {
    deliver(Index, [this, Refund](Entry &E) {
      LimitActions Actions;
      E.Service->refund(E.local(), Refund, Actions);
      perform(E, Actions);
    });
  });
}

/// The limit in force is the largest one that any live entry or the log has: a
/// lowered limit holds once every entry has applied it.
void LimitFleetModel::updateAuditLimits() {
  std::map<std::string, AccountLimit> Largest;
  auto Add = [&](const LimitView &View) {
    for (const auto &[Name, Limit] : *View.Accounts) {
      AccountLimit &Of = Largest[Name];
      Of.Rate = std::max(Of.Rate, Limit.Rate);
      Of.Burst = std::max(Of.Burst, Limit.Burst);
    }
  };
  Add(*Log.view(Log.end()));
  for (const auto &Of : Entries)
    if (Of->Alive)
      Add(*Log.view(Of->Applied));
  for (auto &[Name, Limit] : AuditLimits)
    if (!Largest.contains(Name))
      Largest[Name] = {};
  for (const auto &[Name, Limit] : Largest) {
    const auto [It, IsNew] = AuditLimits.try_emplace(Name, Limit);
    if (!IsNew && It->second == Limit)
      continue;
    It->second = Limit;
    Audit.setLimit(Name, True, Limit);
  }
}

} // namespace hyssoprail
