#include "hyssoprail/process/limit_fleet_model.hpp"

#include <algorithm>
#include <deque>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

constexpr milliseconds HeartbeatInterval{250};
constexpr milliseconds PeerTimeout{1'000};
constexpr milliseconds PollInterval{200};
constexpr milliseconds MaxDuplicateDelay{3'000};
constexpr std::chrono::seconds MemberRemovalDelay{10};

/// Bytes counted for an envelope's own fields, in addition to its body.
constexpr std::uint64_t EnvelopeOverheadBytes = 40;

} // namespace

/// An entry process with its service, its clock and the last heartbeats of the
/// other entries.
struct LimitFleetModel::Entry : LimitObserver {
  Entry(LimitFleetModel &Fleet, std::size_t Index, double Drift,
        std::uint64_t Incarnation)
      : Fleet(Fleet), Index(Index), Incarnation(Incarnation),
        ClockRate(1 + Drift),
        ClockOffset(std::chrono::seconds(Fleet.Random.below(1'000))),
        Random(Fleet.Random.identifier()) {
    const LimitDependencies Dependencies{Fleet.Events, Fleet.Checks, Registry,
                                         Random, this};
    Service =
        Fleet.Options.UseFixedLimits
            ? makeFixedLimits(Fleet.Options.Limits, Incarnation, Dependencies)
            : makeOwnerLimits(Fleet.Options.Limits, Incarnation, Dependencies);
  }

  TimePoint localTime() const {
    const std::chrono::duration<double> Since =
        Fleet.TrueTime.time_since_epoch();
    return TimePoint(ClockOffset +
                     std::chrono::duration_cast<Duration>(Since * ClockRate));
  }

  void granted(const std::string &DebitId, const std::string &Account,
               std::uint64_t Tokens) override {
    Fleet.Audit.granted(Account, DebitId, static_cast<double>(Tokens),
                        Fleet.TrueTime);
  }

  void credited(const std::string &DebitId, const std::string &Account,
                double Tokens) override {
    Fleet.Audit.credited(Account, DebitId, Tokens);
  }

  LimitFleetModel &Fleet;
  std::size_t Index;
  std::uint64_t Incarnation;
  double ClockRate;
  Duration ClockOffset;
  RandomSource Random;
  Metrics Registry;
  std::unique_ptr<LimitService> Service;
  bool Alive = true;
  bool Leaving = false;
  bool LogLinkDown = false;
  TimePoint PausedUntil{};
  std::uint64_t AppliedVersion = 0;
  std::uint64_t Messages = 0;
  std::uint64_t MessageBytes = 0;
  struct PeerReport {
    TimePoint At;
    std::uint64_t Version;
    bool Leaving;
  };
  std::map<std::uint64_t, PeerReport> Peers;
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
  scheduleAfter(Duration::zero(), [this, Index] { poll(Index); });
  scheduleAfter(Duration::zero(), [this, Index] { heartbeat(Index); });
  scheduleAfter(Duration::zero(), [this, Index] { tick(Index); });
  return Index;
}

void LimitFleetModel::kill(std::size_t Index) { Entries[Index]->Alive = false; }

void LimitFleetModel::pause(std::size_t Index, Duration Length) {
  Entry &Target = *Entries[Index];
  Target.PausedUntil = std::max(Target.PausedUntil, TrueTime + Length);
}

void LimitFleetModel::setLeaving(std::size_t Index) {
  Entries[Index]->Leaving = true;
}

void LimitFleetModel::setLinkDown(std::size_t A, std::size_t B, bool Down) {
  const auto Link = std::minmax(A, B);
  if (Down)
    DownLinks.insert(Link);
  else
    DownLinks.erase(Link);
}

void LimitFleetModel::setLogLinkDown(std::size_t Index, bool Down) {
  Entries[Index]->LogLinkDown = Down;
}

void LimitFleetModel::setAccount(const std::string &Account,
                                 std::optional<AccountLimit> Limit) {
  Log.append(fmt::format("account-{}", Log.end()),
             AccountChange{Account, Limit});
  const auto It = IdealBuckets.find(Account);
  const AccountLimit NewLimit = Limit.value_or(AccountLimit{});
  if (It != IdealBuckets.end())
    It->second.setLimit(NewLimit, TrueTime);
  else
    IdealBuckets.emplace(Account, TokenBucket(NewLimit, 0, 1, TrueTime));
  updateAuditLimits();
}

void LimitFleetModel::request(std::size_t Index, const std::string &Account,
                              std::uint64_t Tokens, std::uint64_t Unused,
                              Duration RefundDelay) {
  Entry &Target = *Entries[Index];
  if (!Target.Alive)
    return;
  const std::string Id = fmt::format("{:032x}/1", ++Requests);
  LimitOutcome Outcome;
  Outcome.At = TrueTime;
  Outcome.Entry = Index;
  Outcome.Account = Account;
  Outcome.Tokens = Tokens;
  const auto It = IdealBuckets.find(Account);
  if (It != IdealBuckets.end()) {
    TokenBucket &Bucket = It->second;
    if (const auto Grant = Bucket.take(static_cast<double>(Tokens), TrueTime)) {
      Outcome.WithinRate = true;
      scheduleAfter(RefundDelay, [this, &Bucket, Grant, Unused] {
        Bucket.returnUnused(*Grant, static_cast<double>(Unused), TrueTime);
      });
    }
  }
  OpenRequests[Id] = {Outcomes.size(), Unused, RefundDelay};
  Outcomes.push_back(Outcome);
  runInEntry(Index, [this, Id, Account, Tokens](Entry &To) {
    LimitActions Actions;
    To.Service->debit(To.localTime(), {Id, Account, Tokens}, Actions);
    executeActions(To, Actions);
  });
}

void LimitFleetModel::schedule(TimePoint At, std::function<void()> Callback) {
  Queue.push({At, ++Sequence, std::move(Callback)});
}

void LimitFleetModel::scheduleAfter(Duration Delay,
                                    std::function<void()> Callback) {
  schedule(TrueTime + Delay, std::move(Callback));
}

void LimitFleetModel::runUntil(TimePoint Until) {
  while (!Queue.empty() && Queue.top().At <= Until) {
    const ScheduledEvent Next = Queue.top();
    Queue.pop();
    TrueTime = Next.At;
    Next.Callback();
  }
  TrueTime = Until;
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
  const Entry &Target = *Entries[Index];
  return Target.Service->status(Target.localTime());
}

std::uint64_t LimitFleetModel::messages(std::size_t Index) const {
  return Entries[Index]->Messages;
}

std::uint64_t LimitFleetModel::messageBytes(std::size_t Index) const {
  return Entries[Index]->MessageBytes;
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
  return !DownLinks.contains(std::minmax(A, B));
}

bool LimitFleetModel::logReachable(const Entry &Target) const {
  return !LogDown && !Target.LogLinkDown;
}

/// Runs \p Callback in an entry, or after its pause if it is paused. Does
/// nothing if the entry is not alive.
void LimitFleetModel::runInEntry(std::size_t To,
                                 std::function<void(Entry &)> Callback) {
  Entry &Target = *Entries[To];
  if (!Target.Alive)
    return;
  if (Target.PausedUntil > TrueTime) {
    schedule(Target.PausedUntil, [this, To, Callback = std::move(Callback)] {
      runInEntry(To, Callback);
    });
    return;
  }
  Callback(Target);
}

void LimitFleetModel::executeActions(Entry &Target, LimitActions &Actions) {
  for (const LimitAction &Action : Actions) {
    if (const auto *Answer = std::get_if<AnswerDebit>(&Action))
      handleAnswer(Target, *Answer);
    else if (const auto *Send = std::get_if<SendToEntry>(&Action))
      sendMessage(Target, *Send);
    else if (const auto *Read = std::get_if<StartLogRead>(&Action))
      read(Target.Index, Read->ReadId);
    else if (const auto *Append = std::get_if<AppendTakeOver>(&Action))
      append(Target.Index, Append->OperationId, Append->Record);
  }
}

void LimitFleetModel::sendMessage(Entry &From, const SendToEntry &Action) {
  ++From.Messages;
  From.MessageBytes += Action.Message.ByteSizeLong() + EnvelopeOverheadBytes;
  const auto It = ByIncarnation.find(Action.Incarnation);
  if (It == ByIncarnation.end() || !connected(From.Index, It->second))
    return;
  const std::size_t To = It->second;
  const std::uint64_t Sender = From.Incarnation;
  auto Deliver = [this, To, Sender,
                  Message =
                      std::make_shared<const wire::Envelope>(Action.Message)] {
    runInEntry(To, [this, Sender, Message](Entry &Target) {
      ++Target.Messages;
      Target.MessageBytes += Message->ByteSizeLong() + EnvelopeOverheadBytes;
      LimitActions Actions;
      Target.Service->handleMessage(Target.localTime(), Sender, *Message,
                                    Actions);
      executeActions(Target, Actions);
    });
  };
  if (Random.unit() >= Options.MessageLoss)
    scheduleAfter(networkDelay(), Deliver);
  if (Random.unit() < Options.MessageDuplication)
    scheduleAfter(
        std::chrono::duration_cast<Duration>(MaxDuplicateDelay * Random.unit()),
        Deliver);
}

void LimitFleetModel::append(std::size_t From, const std::string &OperationId,
                             const LimitLogModel::Record &Body) {
  if (!logReachable(*Entries[From]))
    return;
  scheduleAfter(Options.LogDelay, [this, OperationId, Body] {
    if (!LogDown) {
      Log.append(OperationId, Body);
      updateAuditLimits();
    }
  });
}

/// Reads the log up to its end. \p ReadId is set if the service requested the
/// read.
void LimitFleetModel::read(std::size_t From,
                           std::optional<std::uint64_t> ReadId) {
  auto Finish = [this, From, ReadId](std::optional<std::uint64_t> End) {
    runInEntry(From, [this, ReadId, End](Entry &Target) {
      if (End)
        apply(Target, *End);
      if (!ReadId)
        return;
      LimitActions Actions;
      Target.Service->readFinished(Target.localTime(), *ReadId, End, Actions);
      executeActions(Target, Actions);
    });
  };
  if (!logReachable(*Entries[From])) {
    scheduleAfter(Options.LogDelay, [Finish] { Finish(std::nullopt); });
    return;
  }
  scheduleAfter(Options.LogDelay, [this, From, Finish] {
    if (LogDown || Random.unit() < Options.LogReplyLoss)
      return;
    const std::uint64_t End = Log.end();
    scheduleAfter(Options.LogDelay, [this, From, Finish, End] {
      if (logReachable(*Entries[From]))
        Finish(End);
    });
  });
}

void LimitFleetModel::apply(Entry &Target, std::uint64_t Version) {
  if (Version <= Target.AppliedVersion)
    return;
  Target.AppliedVersion = Version;
  LimitActions Actions;
  Target.Service->viewApplied(Target.localTime(), Log.view(Version), Actions);
  executeActions(Target, Actions);
  updateAuditLimits();
}

void LimitFleetModel::tick(std::size_t Index) {
  Entry &Target = *Entries[Index];
  if (!Target.Alive)
    return;
  runInEntry(Index, [this](Entry &To) {
    updatePeers(To);
    LimitActions Actions;
    To.Service->tick(To.localTime(), Actions);
    executeActions(To, Actions);
  });
  schedule(std::max(TrueTime, Target.PausedUntil) + Options.TickInterval,
           [this, Index] { tick(Index); });
}

/// Periodic work of an entry: reads new records from the log and, with
/// FollowPeers, from a random peer; appends its own Member record if it is no
/// member, and the removal of members that sent no heartbeat for
/// MemberRemovalDelay.
void LimitFleetModel::poll(std::size_t Index) {
  Entry &Target = *Entries[Index];
  if (!Target.Alive)
    return;
  runInEntry(Index, [this](Entry &To) {
    read(To.Index, std::nullopt);
    const std::size_t Peer = Random.below(Entries.size());
    if (Options.FollowPeers && Entries[Peer]->Alive &&
        connected(To.Index, Peer)) {
      const std::uint64_t Version = Entries[Peer]->AppliedVersion;
      scheduleAfter(networkDelay(), [this, Index = To.Index, Version] {
        runInEntry(Index, [this, Version](Entry &E) { apply(E, Version); });
      });
    }
    const LimitView &View = *Log.view(To.AppliedVersion);
    wire::Member Member;
    Member.set_peer_address("model");
    if (!View.member(To.Incarnation)) {
      Member.set_incarnation(To.Incarnation);
      append(To.Index,
             fmt::format("join-{:x}-{}", To.Incarnation, To.AppliedVersion),
             Member);
    }
    for (const LimitMember &M : View.Members) {
      const auto Report = To.Peers.find(M.Incarnation);
      if (Report == To.Peers.end() ||
          TrueTime - Report->second.At < MemberRemovalDelay)
        continue;
      Member.set_incarnation(M.Incarnation);
      Member.set_gone(true);
      append(To.Index,
             fmt::format("gone-{:x}-{}", M.Incarnation, M.JoinedOffset),
             Member);
    }
  });
  scheduleAfter(PollInterval, [this, Index] { poll(Index); });
}

void LimitFleetModel::heartbeat(std::size_t Index) {
  Entry &Target = *Entries[Index];
  if (!Target.Alive)
    return;
  runInEntry(Index, [this](Entry &From) {
    for (const auto &To : Entries) {
      if (To->Index == From.Index || !connected(From.Index, To->Index) ||
          Random.unit() < Options.MessageLoss)
        continue;
      scheduleAfter(networkDelay(), [this, Index = To->Index,
                                     Incarnation = From.Incarnation,
                                     Version = From.AppliedVersion,
                                     Leaving = From.Leaving] {
        runInEntry(Index, [this, Incarnation, Version, Leaving](Entry &E) {
          E.Peers[Incarnation] = {TrueTime, Version, Leaving};
        });
      });
    }
  });
  scheduleAfter(HeartbeatInterval, [this, Index] { heartbeat(Index); });
}

void LimitFleetModel::updatePeers(Entry &Target) {
  std::vector<LivePeer> Live;
  for (const auto &[Incarnation, Report] : Target.Peers)
    if (TrueTime - Report.At < PeerTimeout)
      Live.push_back({Incarnation, Report.Version, Report.Leaving});
  Live.push_back({Target.Incarnation, Target.AppliedVersion, Target.Leaving});
  Target.Service->setLivePeers(Target.localTime(), std::move(Live));
}

void LimitFleetModel::handleAnswer(Entry &Target, const AnswerDebit &Answer) {
  const auto It = OpenRequests.find(Answer.DebitId);
  if (It == OpenRequests.end())
    return;
  const OpenRequest Open = It->second;
  OpenRequests.erase(It);
  LimitOutcome &Outcome = Outcomes[Open.Outcome];
  Outcome.Answered = true;
  Outcome.Granted = Answer.Result == wire::DEBIT_RESULT_GRANTED;
  Outcome.Waited = TrueTime - Outcome.At;
  if (!Outcome.Granted || Open.Unused == 0)
    return;
  const LimitRefund Refund{.DebitId = Answer.DebitId,
                           .Account = Outcome.Account,
                           .Tokens = Open.Unused,
                           .Epoch = Answer.Epoch};
  scheduleAfter(Open.RefundDelay, [this, Index = Target.Index, Refund] {
    runInEntry(Index, [this, Refund](Entry &E) {
      LimitActions Actions;
      E.Service->refund(E.localTime(), Refund, Actions);
      executeActions(E, Actions);
    });
  });
}

/// The audit uses the largest limit that any live entry or the log has, as a
/// lowered limit is only enforced once every entry has applied it.
void LimitFleetModel::updateAuditLimits() {
  std::map<std::string, AccountLimit> Largest;
  auto Add = [&](const LimitView &View) {
    for (const auto &[Name, Limit] : *View.Accounts) {
      AccountLimit &Max = Largest[Name];
      Max.Rate = std::max(Max.Rate, Limit.Rate);
      Max.Burst = std::max(Max.Burst, Limit.Burst);
    }
  };
  Add(*Log.view(Log.end()));
  for (const auto &E : Entries)
    if (E->Alive)
      Add(*Log.view(E->AppliedVersion));
  for (auto &[Name, Limit] : AuditLimits)
    if (!Largest.contains(Name))
      Largest[Name] = {};
  for (const auto &[Name, Limit] : Largest) {
    const auto [It, IsNew] = AuditLimits.try_emplace(Name, Limit);
    if (!IsNew && It->second == Limit)
      continue;
    It->second = Limit;
    Audit.setLimit(Name, TrueTime, Limit);
  }
}

} // namespace hyssoprail
