#include "hyssoprail/process/admin_api.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/process/query.hpp"
#include "hyssoprail/version/key_digest.hpp"

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

constexpr const char *Secret = "0123456789abcdef";

/// An AdminApi with a store that plays the log.
class Bench {
public:
  AdminActions post(const Json &Body, AdminRequestId RequestId = 1) {
    return Api.request(RequestId,
                       {.Method = "POST",
                        .Target = "/admin/v1/changes",
                        .Authorization = "Bearer token",
                        .Body = Body.dump()},
                       Time.now(), 1'000);
  }

  AdminResponse get(const std::string &Target,
                    const std::string &Authorization = "Bearer token") {
    return answer(Api.request(9,
                              {.Method = "GET",
                               .Target = Target,
                               .Authorization = Authorization,
                               .Body = ""},
                              Time.now(), 1'000));
  }

  /// Lets the record of the only action take effect in the log.
  std::uint64_t reduce(const AdminActions &Actions) {
    REQUIRE(Actions.size() == 1);
    wire::OffsetRecord R;
    R.set_offset(Store.current()->version() + 1);
    *R.mutable_record() = std::get<AppendLogRecord>(Actions[0]).Record;
    Store.apply({R});
    return R.offset();
  }

  static AdminResponse answer(const AdminActions &Actions) {
    REQUIRE(Actions.size() == 1);
    REQUIRE(std::holds_alternative<SendAdminResponse>(Actions[0]));
    return std::get<SendAdminResponse>(Actions[0]).Response;
  }

  /// Sends a change whose append succeeds.
  AdminResponse complete(const Json &Body) {
    const AdminActions Sent = post(Body);
    if (std::holds_alternative<SendAdminResponse>(Sent.at(0)))
      return answer(Sent);
    const std::uint64_t Offset = reduce(Sent);
    return answer(Api.onAppendResult(Body["operation_id"].get<std::string>(),
                                     Offset, Time.now()));
  }

  ManualClock Time;
  ConfigStore Store;
  Timeline Events{100, Time};
  AdminApi Api{{.ProcessName = "e1",
                .OperatorTokenDigest = sha256("token"),
                .KeySecret = Secret},
               Store,
               Events,
               [] { return FleetStatus{}; }};
};

Json account(const std::string &Operation, std::int64_t Base,
             double Rate = 100) {
  return {{"operation_id", Operation},
          {"kind", "account"},
          {"name", "acme"},
          {"base_version", Base},
          {"value", {{"rate", Rate}, {"burst", Rate}}}};
}

Error failed(ErrorKind Kind) {
  Error Out;
  Out.Kind = Kind;
  return Out;
}

} // namespace

// Guards against changes by callers who are no operators.
TEST_CASE("every call needs the operator token") {
  Bench B;
  CHECK(B.get("/admin/v1/objects", "").Status == 401);
  CHECK(B.get("/admin/v1/status", "Bearer wrong").Status == 401);
  CHECK(B.get("/admin/v1/status").Status == 200);
  CHECK(B.get("/admin/v1/timeline?limit=5").Status == 200);
  CHECK(B.get("/admin/v1/none").Status == 404);
  CHECK(B.get("/admin/v1/changes").Status == 405);
  CHECK(B.get("/admin/v1/objects?kind=x").Status == 400);
}

// Guards against an answer before the change is in effect here.
TEST_CASE("a change is answered when it was reduced") {
  Bench B;
  const AdminActions Sent = B.post(account("a", 0));
  REQUIRE(std::holds_alternative<AppendLogRecord>(Sent.at(0)));
  CHECK(B.Api.onAppendResult("a", std::uint64_t{1}, B.Time.now()).empty());
  B.reduce(Sent);
  const AdminResponse R = Bench::answer(B.Api.onRecordsApplied());
  CHECK(R.Status == 200);
  CHECK(Json::parse(R.Body)["version"] == 1);
  const Json Found =
      Json::parse(B.get("/admin/v1/objects?kind=account&name=acme").Body);
  CHECK(Found["objects"].size() == 1);
  CHECK(Found["objects"][0]["value"]["rate"] == 100);
}

// Guards against two operators who both believe that they won.
TEST_CASE("a conflict names the version and the remedy") {
  Bench B;
  CHECK(B.complete(account("a", 0)).Status == 200);
  CHECK(B.complete(account("b", 1)).Status == 200);
  const AdminResponse R = B.complete(account("c", 1));
  CHECK(R.Status == 409);
  const Json E = Json::parse(R.Body)["error"];
  CHECK(E["conflicting_version"] == 2);
  CHECK_FALSE(E["remedy"].get<std::string>().empty());
  CHECK(B.complete(account("d", -1)).Status == 200);
  // The result of a known operation is given again without a record.
  CHECK(B.complete(account("c", -1)).Status == 409);
  CHECK(B.Store.current()->version() == 4);
}

// Guards against a change that is lost or made twice when the log loses the
// answer of an append.
TEST_CASE("an append without answer is repeated with the same id") {
  Bench B;
  const AdminActions Sent = B.post(account("a", 0));
  const Error Lost = failed(ErrorKind::DeadlineExceeded);
  CHECK(B.Api.onAppendResult("a", Lost, B.Time.now()).empty());
  CHECK(B.post(account("a", 0), 2).empty()); // joins the pending change
  B.Time.advance(milliseconds(300));
  const AdminActions Again = B.Api.tick(B.Time.now());
  REQUIRE(Again.size() == 1);
  CHECK(std::get<AppendLogRecord>(Again[0]).Record.SerializeAsString() ==
        std::get<AppendLogRecord>(Sent[0]).Record.SerializeAsString());
  B.reduce(Sent);
  B.reduce(Again);
  CHECK(B.Api.onRecordsApplied().size() == 2);
  CHECK(
      B.Store.current()->object(wire::OBJECT_KIND_ACCOUNT, "acme")->version() ==
      1);
}

// Guards against operators who wait for a log that is down, and against a
// false "not run".
TEST_CASE("a log outage is a typed 503") {
  Bench B;
  B.post(account("a", 0));
  const Error Down = failed(ErrorKind::Unavailable);
  AdminResponse R =
      Bench::answer(B.Api.onAppendResult("a", Down, B.Time.now()));
  CHECK(R.Status == 503);
  CHECK(R.RetryAfter > milliseconds(0));
  CHECK(Json::parse(R.Body)["error"]["not_run"] == true);
  B.post(account("b", 0));
  B.Api.onAppendResult("b", failed(ErrorKind::UpstreamFailed), B.Time.now());
  B.Api.onAppendResult("b", Down, B.Time.now());
  B.Time.advance(milliseconds(10'000));
  R = Bench::answer(B.Api.tick(B.Time.now()));
  CHECK(R.Status == 503);
  CHECK(Json::parse(R.Body)["error"]["not_run"] == false);
  CHECK(B.Api.pending() == 0);
}

// Guards against keys in the log, and against a key that is lost with the
// answer that should have shown it.
TEST_CASE("a key is issued, shown and withdrawn") {
  Bench B;
  B.complete(account("a", 0));
  const Json Issue{{"operation_id", "k"},
                   {"kind", "key"},
                   {"name", "k1"},
                   {"base_version", 0},
                   {"value", {{"account", "acme"}}}};
  const Json First = Json::parse(B.complete(Issue).Body);
  const std::string Key = First["key"].get<std::string>();
  CHECK(B.Store.current()->keyByDigest(keyDigest(Secret, Key)) != nullptr);
  CHECK(B.get("/admin/v1/objects").Body.find(Key) == std::string::npos);
  CHECK(Json::parse(B.complete(Issue).Body) == First);
  const Json Withdraw{{"operation_id", "w"},
                      {"kind", "key"},
                      {"name", "k1"},
                      {"base_version", -1},
                      {"remove", true}};
  CHECK(B.complete(Withdraw).Status == 200);
  CHECK_FALSE(Json::parse(B.complete(Issue).Body).contains("key"));
}

// Guards against malformed changes that reach the log.
TEST_CASE("malformed changes name the field") {
  Bench B;
  const auto Field = [&](const Json &Change) {
    Json Body = account("a", 0);
    Body.merge_patch(Change);
    const AdminResponse R = Bench::answer(B.post(Body));
    CHECK(R.Status == 400);
    return Json::parse(R.Body)["error"]["field"].get<std::string>();
  };
  CHECK(Field({{"operation_id", nullptr}}) == "operation_id");
  CHECK(Field({{"base_version", -2}}) == "base_version");
  CHECK(Field({{"base_version", "1"}}) == "base_version");
  CHECK(Field({{"kind", "acount"}}) == "kind");
  CHECK(Field({{"value", {{"rates", 1}}}}) == "value");
  CHECK(Field({{"remove", 1}}) == "remove");
}

// Guards against names with special characters that find other objects.
TEST_CASE("queries are decoded") {
  const Query Q = parseQuery("/x?name=a%20b%2Fc&kind=&flag&bad=%zz");
  CHECK(queryValue(Q, "name") == "a b/c");
  CHECK(queryValue(Q, "bad") == "%zz");
  CHECK(Q.contains("flag"));
  CHECK(queryValue(parseQuery("/x?n=" + escapeQuery("ä&=")), "n") == "ä&=");
}

} // namespace hyssoprail
