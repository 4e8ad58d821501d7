#include "hyssoprail/version/reducer.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/version/test_records.hpp"

namespace hyssoprail {
namespace {

using namespace testing;

constexpr std::int64_t Hour = 3'600'000;

/// Applies records one after another and returns the last result.
ApplyResult feed(Reducer &R, const std::vector<wire::LogRecord> &Records) {
  ApplyResult Last;
  for (const wire::LogRecord &Record : Records)
    Last = R.apply(R.version() + 1, Record);
  return Last;
}

} // namespace

// Guards against two racing operators who both believe that they won.
TEST_CASE("the first of two racing changes wins") {
  Reducer R;
  feed(R, {change("create", accountObject("acme", 100))});
  CHECK(feed(R, {change("x", accountObject("acme", 200), 1)}).Outcome ==
        ApplyOutcome::Applied);
  const ApplyResult Second =
      feed(R, {change("y", accountObject("acme", 9), 1)});
  CHECK(Second.Outcome == ApplyOutcome::Rejected);
  CHECK(Second.Why.Kind == ErrorKind::Conflict);
  CHECK_FALSE(Second.Why.Remedy.empty());
  CHECK(R.config()->account("acme")->rate() == 200);
  REQUIRE(R.operation("y") != nullptr);
  CHECK(R.operation("y")->conflicting_version() == 2);
  CHECK(R.operation("x")->accepted());
}

// Guards against a second effect of an append that was sent again.
TEST_CASE("a repeated operation id has no second effect") {
  Reducer R;
  feed(R, {change("a", accountObject("acme", 1)),
           change("b", accountObject("acme", 1), 1, true)});
  CHECK(feed(R, {change("a", accountObject("acme", 1))}).Outcome ==
        ApplyOutcome::Repeated);
  CHECK(R.config()->account("acme") == nullptr);
  CHECK(R.operation("a")->offset() == 1);
}

// Guards against references to objects that do not exist.
TEST_CASE("references are checked in both directions") {
  Reducer R;
  const auto Refused = [&](const wire::LogRecord &Record) {
    const ApplyResult Result = feed(R, {Record});
    CHECK(Result.Outcome == ApplyOutcome::Rejected);
    CHECK(Result.Why.Kind == ErrorKind::InvalidRequest);
    CHECK_FALSE(Result.Why.Remedy.empty());
    return Result.Why.Field;
  };
  CHECK(Refused(change("k", keyObject("k", "acme"))) == "key.account");
  CHECK(Refused(change("v", vmObject("vm", "a"))) == "vm.zone");
  feed(R, fleet());
  CHECK(R.config()->vm("vm1") == nullptr); // "v" repeats its rejected change
}

// Guards against removals and values that leave the configuration unusable.
TEST_CASE("the fleet is accepted and keeps what is in use") {
  Reducer R;
  for (const wire::LogRecord &Record : fleet())
    REQUIRE(feed(R, {Record}).Outcome == ApplyOutcome::Applied);
  const auto Refused = [&](const wire::LogRecord &Record) {
    return feed(R, {Record}).Why.Field;
  };
  CHECK(Refused(change("1", accountObject("acme"), 3, true)) == "name");
  CHECK(Refused(change("2", zoneObject("a"), 1, true)) == "name");
  CHECK(Refused(change("3", accountObject("none"), 0, true)) == "name");
  CHECK(Refused(change("4", accountObject("bad", 0))) == "account.rate");
  CHECK(Refused(change("5", accountObject("a b"))) == "name");
  CHECK(Refused(change("6", selectorObject("s", "", "zone="))) ==
        "selector.expression");
  CHECK(Refused(change("7", routeObject("twin", "chat", "m", ""))) ==
        "route.model");
  CHECK(Refused(change("8", poolObject("chat", "other"), 5)) == "pool.model");
  CHECK(Refused(
            change("9", endpointObject("e", "chat", wire::ENDPOINT_ROLE_SERVICE,
                                       "vm1"))) == "endpoint.role");
  CHECK(Refused(change("10", keyObject("k2", "acme"))) == "key.digest");
}

// Guards against a call that runs twice under one idempotency key.
TEST_CASE("the first claim and the first outcome win") {
  Reducer R;
  feed(R, {claim("c", "r1", Hour)});
  CHECK(feed(R, {claim("c", "r2", Hour)}).Why.Kind == ErrorKind::Conflict);
  CHECK(feed(R, {claim("c", "r1", Hour)}).Outcome == ApplyOutcome::Repeated);
  feed(R, {outcome("c", 201), outcome("c", 500)});
  REQUIRE(R.claim("c") != nullptr);
  CHECK(R.claim("c")->claim().request_id() == "r1");
  CHECK(R.claim("c")->reply().status() == 201);
  CHECK(feed(R, {outcome("none", 200)}).Outcome == ApplyOutcome::Rejected);
}

// Guards against claims that fill the memory, and against one wrong clock
// that drops the claims of all others.
TEST_CASE("claims are kept for a day of log time") {
  Reducer R;
  feed(R, {claim("old", "r0", Hour)});
  for (int I = 1; I <= 40; ++I)
    feed(R, {claim("c" + std::to_string(I), "r" + std::to_string(I),
                   (24 + I) * Hour)});
  CHECK(R.claim("old") == nullptr);
  CHECK(R.claim("c40") != nullptr);
  CHECK(R.claim("c30") != nullptr);
  for (int I = 0; I < 5; ++I)
    feed(R, {claim("future" + std::to_string(I), "f" + std::to_string(I),
                   1'000'000 * Hour)});
  CHECK(R.claim("c30") != nullptr);
}

// Guards against two owners of one limit shard.
TEST_CASE("a takeover must name the epoch that it replaces") {
  Reducer R;
  CHECK(feed(R, {takeOver("t0", 7, 3, 0)}).Outcome == ApplyOutcome::Rejected);
  feed(R,
       {member("m7", 7, "e1"), member("m8", 8, "e2"), takeOver("t1", 7, 3, 0)});
  CHECK(R.shardOwner(3).owner() == 7);
  CHECK(R.shardOwner(3).epoch() == 4);
  CHECK(feed(R, {takeOver("t2", 8, 3, 0)}).Outcome == ApplyOutcome::Rejected);
  CHECK(R.shardOwner(3).owner() == 7);
  feed(R, {takeOver("t3", 8, 3, 4)});
  CHECK(R.shardOwner(3).owner() == 8);
  CHECK(R.shardOwner(LimitShardCount).epoch() == 0);
}

// Guards against an entry that was removed and joined again and then acts on
// what it proposed before, while the owner no longer knows it as a member.
TEST_CASE("a takeover holds only for the joining it was proposed under") {
  Reducer R;
  wire::LogRecord Gone = member("gone", 7, "e1");
  Gone.mutable_member()->set_gone(true);
  feed(R, {member("m7", 7, "e1"), member("m8", 8, "e2"),
           takeOver("t1", 8, 3, 0), Gone, member("m7-again", 7, "e1")});
  wire::LogRecord Old = takeOver("t2", 7, 3, 3);
  Old.mutable_take_over()->set_joined_offset(1);
  CHECK(feed(R, {Old}).Outcome == ApplyOutcome::Rejected);
  CHECK(R.shardOwner(3).owner() == 8);
  wire::LogRecord Anew = takeOver("t3", 7, 3, 3);
  Anew.mutable_take_over()->set_joined_offset(5);
  feed(R, {Anew});
  CHECK(R.shardOwner(3).owner() == 7);
}

// Guards against a replaced entry that takes over shards.
TEST_CASE("a new incarnation replaces the member of the same name") {
  Reducer R;
  feed(R, {member("m7", 7, "e1"), member("m9", 9, "e1")});
  CHECK(R.members().size() == 1);
  CHECK(R.members().at(9).joined_offset() == 2);
  wire::LogRecord Gone = member("g9", 9, "e1");
  Gone.mutable_member()->set_gone(true);
  feed(R, {Gone});
  CHECK(R.members().empty());
}

// Guards against a fencing number that grows without a new incarnation.
TEST_CASE("the newest agent incarnation holds the lease") {
  Reducer R;
  feed(R, {agentLease("a", "d1", 5), agentLease("b", "d1", 5)});
  CHECK(R.agentLease("d1")->offset() == 1);
  feed(R, {agentLease("c", "d1", 6)});
  CHECK(R.agentLease("d1")->incarnation() == 6);
  CHECK(R.agentLease("d1")->offset() == 3);
}

// Guards against a version that goes back or skips records.
TEST_CASE("old offsets, gaps and old checkpoints are ignored") {
  Reducer R;
  feed(R, fleet());
  const wire::State Old = R.checkpoint();
  feed(R, {change("new", accountObject("late"))});
  CHECK(R.apply(4, record("x")).Outcome == ApplyOutcome::OldOffset);
  CHECK(R.apply(99, record("x")).Outcome == ApplyOutcome::Gap);
  CHECK_FALSE(R.restore(Old));
  CHECK(R.version() == 11);
  CHECK(R.config()->account("late") != nullptr);
}

// Guards against operation results that fill the memory.
TEST_CASE("results of operations are bounded") {
  Reducer R;
  for (std::size_t I = 0; I <= Reducer::MaxOperations; ++I)
    feed(R, {agentLease(std::to_string(I), "d1", 5)});
  CHECK(R.operation("0") == nullptr);
  CHECK(R.operation("1") != nullptr);
}

} // namespace hyssoprail
