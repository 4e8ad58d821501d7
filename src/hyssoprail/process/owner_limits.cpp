#include "hyssoprail/process/owner_limits.hpp"

#include <algorithm>
#include <utility>

#include <fmt/format.h>

namespace hyssoprail {
namespace {

/// Minimum retry time for callers while the owner does not reply or must not
/// grant yet.
constexpr milliseconds NoOwnerRetryAfter{1'000};

std::uint32_t retryMillis(Duration Wait) {
  return static_cast<std::uint32_t>(
      std::max<std::int64_t>(Wait > Duration::zero() ? 1 : 0,
                             std::chrono::ceil<milliseconds>(Wait).count()));
}

/// Request id in a debit id "REQUEST/ATTEMPT".
std::string requestIdOf(const std::string &DebitId) {
  return DebitId.substr(0, DebitId.find('/'));
}

Event debitEvent(EventKind Kind, const std::string &DebitId,
                 const std::string &Account, std::uint64_t Epoch,
                 std::string Detail) {
  Event E;
  E.Kind = Kind;
  E.RequestId = requestIdOf(DebitId);
  E.Account = Account;
  E.Version = Epoch;
  E.Detail = std::move(Detail);
  return E;
}

wire::DebitResult toWireResult(LedgerAnswer::Kind Kind) {
  switch (Kind) {
  case LedgerAnswer::Kind::Granted:
    return wire::DEBIT_RESULT_GRANTED;
  case LedgerAnswer::Kind::OverRate:
  case LedgerAnswer::Kind::OverBurst:
    return wire::DEBIT_RESULT_OVER_RATE;
  case LedgerAnswer::Kind::UnknownAccount:
    return wire::DEBIT_RESULT_UNKNOWN_ACCOUNT;
  }
  return wire::DEBIT_RESULT_UNSPECIFIED;
}

/// True for refusals that may not recur if the debit is sent again within
/// DebitTimeout.
bool isTransient(wire::DebitResult Result) {
  return Result == wire::DEBIT_RESULT_NOT_OWNER ||
         Result == wire::DEBIT_RESULT_LEASE_LAPSED;
}

} // namespace

OwnerLimits::OwnerLimits(LimitOptions Options, std::uint64_t Self,
                         LimitDependencies Dependencies)
    : Options(Options), Self(Self), Dependencies(Dependencies), Lease(Options),
      Planner(Options, Self),
      Granted(Dependencies.Registry.counter("hyssoprail_limit_debits",
                                            {{"result", "granted"}})),
      OverRate(Dependencies.Registry.counter("hyssoprail_limit_debits",
                                             {{"result", "over_rate"}})),
      NoOwner(Dependencies.Registry.counter("hyssoprail_limit_debits",
                                            {{"result", "no_owner"}})),
      Credited(Dependencies.Registry.counter("hyssoprail_limit_refunds",
                                             {{"result", "credited"}})),
      RefundsIgnored(Dependencies.Registry.counter("hyssoprail_limit_refunds",
                                                   {{"result", "ignored"}})),
      TakeOvers(Dependencies.Registry.counter("hyssoprail_limit_take_overs")),
      HandOvers(Dependencies.Registry.counter("hyssoprail_limit_hand_overs")),
      ShardsOwned(
          Dependencies.Registry.gauge("hyssoprail_limit_shards_owned")) {}

void OwnerLimits::viewApplied(TimePoint Now, LimitViewPtr Newer,
                              LimitActions &Out) {
  if (Newer->Version <= View->Version)
    return;
  const bool NewLimits = Newer->Accounts != View->Accounts;
  View = std::move(Newer);
  updateOwnership(Now, Out);
  if (NewLimits)
    updateAccounts(Now, true);
  Planner.viewApplied(*View, Now);
  for (PendingDebit *Debit : PendingTable.due(TimePoint::max()))
    if (Debit->SentTo != View->Owners[limitShard(Debit->Account)].Owner)
      Debit->NextSend = Now;
}

/// Applies the accounts' limits to the owned shards. Accounts that no longer
/// exist are removed only with \p AllShards; the ledger of a new epoch has
/// none.
void OwnerLimits::updateAccounts(TimePoint Now, bool AllShards) {
  for (const auto &[Name, Limit] : *View->Accounts) {
    OwnedShard *Owned = OwnedShards[limitShard(Name)].get();
    if (Owned)
      Owned->Ledger.setAccount(Name, Limit, Now);
  }
  if (!AllShards)
    return;
  for (const auto &Owned : OwnedShards)
    if (Owned)
      Owned->Ledger.removeAbsentAccounts(*View->Accounts, Now);
}

void OwnerLimits::setLivePeers(TimePoint, std::vector<LivePeer> Peers) {
  Planner.setLivePeers(std::move(Peers));
}

void OwnerLimits::readFinished(TimePoint, std::uint64_t ReadId,
                               std::optional<std::uint64_t> End,
                               LimitActions &) {
  if (!End || View->Version < *End) {
    Lease.failRead(ReadId);
    return;
  }
  Lease.finishRead(ReadId);
  ExtendedByPromises = false;
}

void OwnerLimits::debit(TimePoint Now, LimitDebit Debit, LimitActions &Out) {
  PendingDebit Pending{.Id = std::move(Debit.DebitId),
                       .Account = std::move(Debit.Account),
                       .Tokens = Debit.Tokens,
                       .Deadline = Now + Options.DebitTimeout,
                       .NextSend = Now};
  if (View->Owners[limitShard(Pending.Account)].Owner == Self) {
    const Decision D =
        decideDebit(Now, Pending.Id, Pending.Account, Pending.Tokens);
    if (!isTransient(D.Result)) {
      answer(Pending.Id, D, Out);
      return;
    }
    Pending.LastResult = D.Result;
    Pending.NextSend = Now + Options.ResendInterval;
    PendingTable.add(std::move(Pending));
    return;
  }
  sendPending(Now, Pending, Out);
  PendingTable.add(std::move(Pending));
}

OwnerLimits::Decision OwnerLimits::decideDebit(TimePoint Now,
                                               const std::string &DebitId,
                                               const std::string &Account,
                                               std::uint64_t Tokens) {
  OwnedShard *Owned = OwnedShards[limitShard(Account)].get();
  if (!Owned)
    return {.Result = wire::DEBIT_RESULT_NOT_OWNER,
            .RetryAfter = NoOwnerRetryAfter};
  if (Now < Owned->ActiveFrom || !Lease.heldAt(Now))
    return {.Result = wire::DEBIT_RESULT_LEASE_LAPSED,
            .RetryAfter = waitUntilActive(*Owned, Now),
            .Epoch = Owned->Epoch};
  const LedgerAnswer Answer =
      Owned->Ledger.debit(DebitId, Account, Tokens, Now);
  const wire::DebitResult Result = toWireResult(Answer.Result);
  const bool IsGrant = Result == wire::DEBIT_RESULT_GRANTED;
  if (!Answer.Repeated) {
    Dependencies.Events.record(debitEvent(
        IsGrant ? EventKind::LimitGranted : EventKind::LimitRefused, DebitId,
        Account, Owned->Epoch, fmt::format("{} tokens", Tokens)));
    (IsGrant ? Granted : OverRate).add();
    if (IsGrant && Dependencies.Observer)
      Dependencies.Observer->granted(DebitId, Account, Tokens);
  }
  return {
      .Result = Result, .RetryAfter = Answer.RetryAfter, .Epoch = Owned->Epoch};
}

Duration OwnerLimits::waitUntilActive(const OwnedShard &Owned,
                                      TimePoint Now) const {
  return std::max<Duration>(Owned.ActiveFrom - Now, NoOwnerRetryAfter);
}

void OwnerLimits::refund(TimePoint Now, const LimitRefund &Refund,
                         LimitActions &Out) {
  const LimitShardOwner &Current = View->Owners[limitShard(Refund.Account)];
  if (Refund.Tokens == 0)
    return;
  if (Current.Epoch != Refund.Epoch) {
    RefundsIgnored.add();
    return;
  }
  if (Current.Owner == Self) {
    creditRefund(Now, Refund);
    return;
  }
  sendRefund(Current.Owner, Refund, Out);
}

void OwnerLimits::sendRefund(std::uint64_t Owner, const LimitRefund &Refund,
                             LimitActions &Out) const {
  wire::Envelope E;
  wire::Refund *Message = E.mutable_refund();
  Message->set_debit_id(Refund.DebitId);
  Message->set_account(Refund.Account);
  Message->set_tokens(Refund.Tokens);
  Message->set_epoch(Refund.Epoch);
  send(Owner, std::move(E), Out);
}

/// Credits a refund of the current epoch. A refund of an earlier epoch is
/// ignored, as its debit is not tracked in this epoch.
void OwnerLimits::creditRefund(TimePoint Now, const LimitRefund &Refund) {
  OwnedShard *Owned = OwnedShards[limitShard(Refund.Account)].get();
  std::optional<double> Tokens;
  if (Owned && Owned->Epoch == Refund.Epoch)
    Tokens = Owned->Ledger.refund(Refund.DebitId, Refund.Tokens, Now);
  if (!Tokens) {
    RefundsIgnored.add();
    return;
  }
  Credited.add();
  Dependencies.Events.record(debitEvent(
      EventKind::LimitRefunded, Refund.DebitId, Refund.Account, Refund.Epoch,
      fmt::format("{} of {} tokens", *Tokens, Refund.Tokens)));
  if (Dependencies.Observer)
    Dependencies.Observer->credited(Refund.DebitId, Refund.Account, *Tokens);
}

/// Sends a pending debit to the owner. Sends nothing while the shard has no
/// owner or this process owns it.
void OwnerLimits::sendPending(TimePoint Now, PendingDebit &Debit,
                              LimitActions &Out) {
  Debit.NextSend = Now + Options.ResendInterval;
  const LimitShardOwner &Current = View->Owners[limitShard(Debit.Account)];
  if (Current.Owner == 0 || Current.Owner == Self)
    return;
  Debit.SentTo = Current.Owner;
  Debit.SentEpoch = Current.Epoch;
  wire::Envelope E;
  wire::DebitRequest *Request = E.mutable_debit_request();
  Request->set_debit_id(Debit.Id);
  Request->set_account(Debit.Account);
  Request->set_tokens(Debit.Tokens);
  Request->set_epoch(Current.Epoch);
  send(Current.Owner, std::move(E), Out);
}

void OwnerLimits::answer(const std::string &DebitId, Decision D,
                         LimitActions &Out) {
  Out.push_back(AnswerDebit{.DebitId = DebitId,
                            .Result = D.Result,
                            .Epoch = D.Epoch,
                            .RetryAfter = D.RetryAfter});
}

/// Answers a debit whose deadline is reached. The owner may have granted it, so
/// all its tokens are refunded.
void OwnerLimits::answerExpired(const PendingDebit &Debit, LimitActions &Out) {
  NoOwner.add();
  answer(Debit.Id,
         {.Result = Debit.LastResult, .RetryAfter = NoOwnerRetryAfter}, Out);
  if (Debit.SentTo == 0)
    return;
  sendRefund(Debit.SentTo,
             {.DebitId = Debit.Id,
              .Account = Debit.Account,
              .Tokens = Debit.Tokens,
              .Epoch = Debit.SentEpoch},
             Out);
}

void OwnerLimits::handleMessage(TimePoint Now, std::uint64_t From,
                                const wire::Envelope &Message,
                                LimitActions &Out) {
  switch (Message.body_case()) {
  case wire::Envelope::kDebitRequest:
    handleDebitRequest(Now, From, Message.debit_request(), Out);
    return;
  case wire::Envelope::kDebitReply:
    handleDebitReply(Now, From, Message.debit_reply(), Out);
    return;
  case wire::Envelope::kRefund:
    creditRefund(Now, {.DebitId = Message.refund().debit_id(),
                       .Account = Message.refund().account(),
                       .Tokens = Message.refund().tokens(),
                       .Epoch = Message.refund().epoch()});
    return;
  case wire::Envelope::kPromiseRequest:
    handlePromiseRequest(Now, From, Message.promise_request(), Out);
    return;
  case wire::Envelope::kPromiseReply: {
    const wire::PromiseReply &Reply = Message.promise_reply();
    const auto RequestedAt =
        Round.addReply(Reply.promise_id(), From, Reply.granted());
    if (RequestedAt) {
      Lease.extendByPromises(*RequestedAt);
      ExtendedByPromises = true;
    }
    return;
  }
  case wire::Envelope::kLimitHandOver:
    applyHandOver(Message.limit_hand_over(), Now);
    return;
  default:
    return;
  }
}

void OwnerLimits::handleDebitRequest(TimePoint Now, std::uint64_t From,
                                     const wire::DebitRequest &Request,
                                     LimitActions &Out) {
  Decision D;
  const LimitShardOwner &Current = View->Owners[limitShard(Request.account())];
  // A newer epoch in the request means a take-over that this process has not
  // applied yet, so it may no longer be the owner.
  if (Request.epoch() <= Current.Epoch)
    D = decideDebit(Now, Request.debit_id(), Request.account(),
                    Request.tokens());
  wire::Envelope E;
  wire::DebitReply *Reply = E.mutable_debit_reply();
  Reply->set_debit_id(Request.debit_id());
  Reply->set_result(D.Result);
  Reply->set_retry_ms(retryMillis(D.RetryAfter));
  Reply->set_epoch(D.Epoch);
  send(From, std::move(E), Out);
}

void OwnerLimits::handleDebitReply(TimePoint Now, std::uint64_t From,
                                   const wire::DebitReply &Reply,
                                   LimitActions &Out) {
  PendingDebit *Debit = PendingTable.find(Reply.debit_id());
  // Replies of an owner other than the one last asked are ignored.
  if (!Debit || Debit->SentTo != From || Debit->Deadline <= Now)
    return;
  Debit->LastResult = Reply.result();
  if (isTransient(Reply.result()))
    return;
  answer(Debit->Id,
         {.Result = Reply.result(),
          .RetryAfter = milliseconds(Reply.retry_ms()),
          .Epoch = Reply.epoch()},
         Out);
  PendingTable.erase(Reply.debit_id());
}

/// By a promise, this process confirms that it knows of no take-over that the
/// requesting owner has not applied, and that it will append none of the
/// owner's shards for as long as the owner's lease can last. A take-over that
/// was appended before and takes effect later is harmless: this process waits
/// after it applies the record, and the lease extended by this promise ends
/// during that wait.
void OwnerLimits::handlePromiseRequest(TimePoint Now, std::uint64_t From,
                                       const wire::PromiseRequest &Request,
                                       LimitActions &Out) {
  const bool CanPromise =
      From == Request.owner() && View->newestEpoch() <= Request.version();
  if (CanPromise)
    Promises.add(From, Now + Options.driftSafeWait(Options.LeaseDuration));
  wire::Envelope E;
  wire::PromiseReply *Reply = E.mutable_promise_reply();
  Reply->set_promise_id(Request.promise_id());
  Reply->set_granted(CanPromise);
  Reply->set_version(View->Version);
  send(From, std::move(E), Out);
}

void OwnerLimits::requestPromises(TimePoint Now, LimitActions &Out) {
  if (!Lease.lastConfirmedStart() ||
      *Lease.lastConfirmedStart() + Options.OutageGrace <= Now ||
      !Round.due(Now, Options.PromiseRoundInterval))
    return;
  std::set<std::uint64_t> Others;
  for (const LimitMember &M : View->Members)
    if (M.Incarnation != Self)
      Others.insert(M.Incarnation);
  Round.start(Dependencies.Random.identifier(), Others, Now);
  if (Others.empty()) {
    Lease.extendByPromises(Now);
    ExtendedByPromises = true;
  }
  for (const std::uint64_t To : Others) {
    wire::Envelope E;
    wire::PromiseRequest *Request = E.mutable_promise_request();
    Request->set_promise_id(Round.id());
    Request->set_owner(Self);
    Request->set_version(View->Version);
    send(To, std::move(E), Out);
  }
}

void OwnerLimits::tick(TimePoint Now, LimitActions &Out) {
  Promises.tick(Now);
  for (const PendingDebit &Expired : PendingTable.takeExpired(Now))
    answerExpired(Expired, Out);
  std::vector<std::string> Decided;
  for (PendingDebit *Debit : PendingTable.due(Now)) {
    if (View->Owners[limitShard(Debit->Account)].Owner != Self) {
      sendPending(Now, *Debit, Out);
      continue;
    }
    Debit->NextSend = Now + Options.ResendInterval;
    const Decision D =
        decideDebit(Now, Debit->Id, Debit->Account, Debit->Tokens);
    Debit->LastResult = D.Result;
    if (isTransient(D.Result))
      continue;
    answer(Debit->Id, D, Out);
    Decided.push_back(Debit->Id);
  }
  for (const std::string &Id : Decided)
    PendingTable.erase(Id);
  for (const TakeOverProposal &P :
       Planner.plan(*View, Promises, Dependencies.Random, Now)) {
    AppendTakeOver Append;
    Append.OperationId = P.OperationId;
    Append.Record.set_owner(Self);
    Append.Record.set_joined_offset(P.JoinedOffset);
    for (const std::uint32_t Shard : P.Shards)
      Append.Record.add_shards(Shard);
    for (const std::uint64_t Epoch : P.Replaces)
      Append.Record.add_replaces(Epoch);
    Out.push_back(std::move(Append));
  }
  if (!ownsAny())
    return;
  if (const auto ReadId = Lease.startRead(Now))
    Out.push_back(StartLogRead{*ReadId});
  if (Lease.end() - Now < Options.PromiseMargin)
    requestPromises(Now, Out);
  for (const auto &Owned : OwnedShards)
    if (Owned)
      Owned->Ledger.tick(Now);
}

LimitStatus OwnerLimits::status(TimePoint Now) const {
  LimitStatus S;
  S.ShardsOwned = OwnedCount;
  for (const auto &Owned : OwnedShards)
    if (Owned && Now >= Owned->ActiveFrom && Lease.heldAt(Now))
      ++S.ShardsActive;
  S.LeaseLeft = std::max<Duration>(Lease.end() - Now, Duration::zero());
  S.ExtendedByPromises = ExtendedByPromises;
  S.PendingDebits = PendingTable.size();
  return S;
}

void OwnerLimits::send(std::uint64_t To, wire::Envelope Message,
                       LimitActions &Out) const {
  const LimitMember *M = View->member(To);
  Message.set_to_incarnation(To);
  Out.push_back(SendToEntry{.Incarnation = To,
                            .Address = M ? M->Address : std::string(),
                            .Message = std::move(Message)});
}

std::unique_ptr<LimitService> makeOwnerLimits(LimitOptions Options,
                                              std::uint64_t Self,
                                              LimitDependencies Dependencies) {
  return std::make_unique<OwnerLimits>(Options, Self, Dependencies);
}

} // namespace hyssoprail
