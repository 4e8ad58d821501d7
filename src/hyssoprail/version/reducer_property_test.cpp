#include <algorithm>

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "hyssoprail/version/config_store.hpp"
#include "hyssoprail/version/record_codec.hpp"
#include "hyssoprail/version/test_records.hpp"

namespace hyssoprail {
namespace {

using namespace testing;

template <typename T> T upTo(T Bound) { return *rc::gen::inRange<T>(0, Bound); }

std::string name(const char *Prefix, int Bound) {
  return Prefix + std::to_string(upTo(Bound));
}

/// A record that often collides with others: few names, versions and ids.
wire::LogRecord anyRecord(std::uint64_t Offset) {
  const std::string Operation = name("op", 200);
  const std::uint64_t Base = upTo<std::uint64_t>(2) * upTo(Offset + 1);
  const bool Remove = upTo(4) == 0;
  switch (upTo(10)) {
  case 0:
    return change(Operation, accountObject(name("acc", 3), upTo(4)), Base,
                  Remove);
  case 1:
    return change(Operation,
                  keyObject(name("k", 3), name("acc", 3),
                            static_cast<char>('a' + upTo(4))),
                  Base, Remove);
  case 2:
    return change(Operation, zoneObject(name("z", 2), upTo(2) == 0), Base,
                  Remove);
  case 3:
    return change(Operation, vmObject(name("v", 2), name("z", 2)), Base,
                  Remove);
  case 4:
    return member(Operation, upTo(4), name("e", 3));
  case 5:
    return takeOver(Operation, upTo(4), upTo(4), Base);
  case 6:
    return claim(name("c", 20), name("r", 40),
                 upTo<std::int64_t>(60) * 3'600'000);
  case 7:
    return outcome(name("c", 20), 200 + upTo(3));
  case 8:
    return agentLease(Operation, name("d", 3), upTo(4));
  default:
    return decodeRecord(
        *rc::gen::container<std::string>(rc::gen::arbitrary<char>()));
  }
}

std::vector<wire::OffsetRecord> anyLog() {
  const auto Size = upTo<std::size_t>(120);
  std::vector<wire::LogRecord> Records;
  for (std::size_t I = 0; I < Size; ++I)
    Records.push_back(anyRecord(I + 1));
  return numbered(std::move(Records));
}

} // namespace

// Guards against processes that disagree on the configuration.
TEST_CASE("readers with other batches and checkpoints agree") {
  CHECK(rc::check("same state", [] {
    const std::vector<wire::OffsetRecord> Log = anyLog();
    Reducer Plain;
    for (const wire::OffsetRecord &R : Log)
      Plain.apply(R.offset(), R.record());
    ConfigStore Batched;
    ConfigStore *Reader = &Batched;
    ConfigStore Restored;
    const std::size_t Cut = upTo(Log.size() + 1);
    std::uint64_t Newest = 0;
    for (std::size_t At = 0; At < Log.size();) {
      if (At >= Cut && Reader == &Batched) {
        Restored.restore(Batched.checkpoint());
        Reader = &Restored;
      }
      const std::size_t End =
          std::min(Log.size(), At + 1 + upTo<std::size_t>(9));
      // Batches overlap, as they do after a repeated request.
      const std::size_t Begin = At - std::min(At, upTo<std::size_t>(3));
      Reader->apply({Log.begin() + static_cast<long>(Begin),
                     Log.begin() + static_cast<long>(End)});
      RC_ASSERT(Reader->current()->version() >= Newest);
      Newest = Reader->current()->version();
      At = End;
    }
    RC_ASSERT(encodeStable(Reader->checkpoint()) ==
              encodeStable(Plain.checkpoint()));
  }));
}

// Guards against a version that goes back when records arrive in any order,
// twice or not at all.
TEST_CASE("versions grow under any delivery") {
  CHECK(rc::check("monotonic", [] {
    const std::vector<wire::OffsetRecord> Log = anyLog();
    ConfigStore Source;
    Source.apply(Log);
    ConfigStore Store;
    std::uint64_t Newest = 0;
    Store.subscribe([&](const ConfigUpdate &U) {
      RC_ASSERT(U.Config->version() > Newest);
      Newest = U.Config->version();
    });
    for (int Step = 0; Step < 30 && !Log.empty(); ++Step) {
      const std::size_t From = upTo(Log.size());
      const std::size_t To = From + upTo(Log.size() - From + 1);
      Store.apply({Log.begin() + static_cast<long>(From),
                   Log.begin() + static_cast<long>(To)});
    }
    Store.apply(Log);
    RC_ASSERT(encodeStable(Store.checkpoint()) ==
              encodeStable(Source.checkpoint()));
  }));
}

// Guards against a second winner when any number of operators race.
TEST_CASE("one of several racing changes wins") {
  CHECK(rc::check("first wins", [] {
    Reducer R;
    R.apply(1, change("create", accountObject("acme", 1)));
    const int Racers = 2 + upTo(5);
    for (int I = 0; I < Racers; ++I)
      R.apply(R.version() + 1, change("op" + std::to_string(I),
                                      accountObject("acme", 10 + I), 1));
    RC_ASSERT(R.config()->account("acme")->rate() == 10);
    RC_ASSERT(R.operation("op0")->accepted());
    for (int I = 1; I < Racers; ++I)
      RC_ASSERT(R.operation("op" + std::to_string(I))->conflicting_version() ==
                2U);
  }));
}

// Guards against a crash on states that no reducer wrote.
TEST_CASE("any state can be restored and extended") {
  CHECK(rc::check("no crash", [] {
    ConfigStore Source;
    Source.apply(anyLog());
    std::string Bytes = encodeStable(Source.checkpoint());
    for (int I = 0; I < 3 && !Bytes.empty(); ++I)
      Bytes[upTo(Bytes.size())] = static_cast<char>(upTo(256));
    wire::State Damaged;
    if (!Damaged.ParseFromString(Bytes))
      return;
    ConfigStore Store;
    Store.restore(Damaged);
    for (std::uint64_t I = 0; I < 40; ++I) {
      wire::OffsetRecord Next;
      Next.set_offset(Store.current()->version() + 1);
      *Next.mutable_record() = anyRecord(Next.offset() % 100);
      Store.apply({Next});
    }
    Store.checkpoint();
  }));
}

} // namespace hyssoprail
