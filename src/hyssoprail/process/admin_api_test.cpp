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

/// An AdminApi whose appended records the test applies to the store itself, in
/// place of a log.
class AdminApiFixture {
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
    return responseOf(Api.request(9,
                                  {.Method = "GET",
                                   .Target = Target,
                                   .Authorization = Authorization,
                                   .Body = ""},
                                  Time.now(), 1'000));
  }

  /// Applies the record of the only action to the store and returns its offset.
  std::uint64_t applyRecord(const AdminActions &Actions) {
    REQUIRE(Actions.size() == 1);
    wire::OffsetRecord R;
    R.set_offset(Store.current()->version() + 1);
    *R.mutable_record() = std::get<AppendLogRecord>(Actions[0]).Record;
    Store.apply({R});
    return R.offset();
  }

  static AdminResponse responseOf(const AdminActions &Actions) {
    REQUIRE(Actions.size() == 1);
    REQUIRE(std::holds_alternative<SendAdminResponse>(Actions[0]));
    return std::get<SendAdminResponse>(Actions[0]).Response;
  }

  /// Sends a change. If it leads to an append, lets that succeed and take
  /// effect.
  AdminResponse submitAndApply(const Json &Body) {
    const AdminActions Sent = post(Body);
    if (std::holds_alternative<SendAdminResponse>(Sent.at(0)))
      return responseOf(Sent);
    const std::uint64_t Offset = applyRecord(Sent);
    return responseOf(Api.onAppendResult(
        Body["operation_id"].get<std::string>(), Offset, Time.now()));
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

Json accountChange(const std::string &OperationId, std::int64_t BaseVersion,
                   double Rate = 100) {
  return {{"operation_id", OperationId},
          {"kind", "account"},
          {"name", "acme"},
          {"base_version", BaseVersion},
          {"value", {{"rate", Rate}, {"burst", Rate}}}};
}

Error errorOfKind(ErrorKind Kind) {
  Error Out;
  Out.Kind = Kind;
  return Out;
}

} // namespace

// Guards against access without the operator token.
TEST_CASE("every call needs the operator token") {
  AdminApiFixture B;
  CHECK(B.get("/admin/v1/objects", "").Status == 401);
  CHECK(B.get("/admin/v1/status", "Bearer wrong").Status == 401);
  CHECK(B.get("/admin/v1/status").Status == 200);
  CHECK(B.get("/admin/v1/timeline?limit=5").Status == 200);
  CHECK(B.get("/admin/v1/none").Status == 404);
  CHECK(B.get("/admin/v1/changes").Status == 405);
  CHECK(B.get("/admin/v1/objects?kind=x").Status == 400);
}

// Guards against a response that is sent before the change is in effect in this
// process.
TEST_CASE("a change is answered once its record has been applied") {
  AdminApiFixture B;
  const AdminActions Sent = B.post(accountChange("a", 0));
  REQUIRE(std::holds_alternative<AppendLogRecord>(Sent.at(0)));
  CHECK(B.Api.onAppendResult("a", std::uint64_t{1}, B.Time.now()).empty());
  B.applyRecord(Sent);
  const AdminResponse R = AdminApiFixture::responseOf(B.Api.onRecordsApplied());
  CHECK(R.Status == 200);
  CHECK(Json::parse(R.Body)["version"] == 1);
  const Json Found =
      Json::parse(B.get("/admin/v1/objects?kind=account&name=acme").Body);
  CHECK(Found["objects"].size() == 1);
  CHECK(Found["objects"][0]["value"]["rate"] == 100);
}

// Guards against two operators who change the same version of an object and are
// both told that they succeeded.
TEST_CASE("a conflict names the conflicting version and a remedy") {
  AdminApiFixture B;
  CHECK(B.submitAndApply(accountChange("a", 0)).Status == 200);
  CHECK(B.submitAndApply(accountChange("b", 1)).Status == 200);
  const AdminResponse R = B.submitAndApply(accountChange("c", 1));
  CHECK(R.Status == 409);
  const Json E = Json::parse(R.Body)["error"];
  CHECK(E["conflicting_version"] == 2);
  CHECK_FALSE(E["remedy"].get<std::string>().empty());
  CHECK(B.submitAndApply(accountChange("d", -1)).Status == 200);
  // A known operation id returns its first result and writes no new record.
  CHECK(B.submitAndApply(accountChange("c", -1)).Status == 409);
  CHECK(B.Store.current()->version() == 4);
}

// Guards against a change that is lost or made twice when the response of the
// log to an append is lost.
TEST_CASE("an append with unknown outcome is retried with the same id") {
  AdminApiFixture B;
  const AdminActions Sent = B.post(accountChange("a", 0));
  const Error Lost = errorOfKind(ErrorKind::DeadlineExceeded);
  CHECK(B.Api.onAppendResult("a", Lost, B.Time.now()).empty());
  CHECK(
      B.post(accountChange("a", 0), 2).empty()); // waits for the pending change
  B.Time.advance(milliseconds(300));
  const AdminActions Retried = B.Api.tick(B.Time.now());
  REQUIRE(Retried.size() == 1);
  CHECK(std::get<AppendLogRecord>(Retried[0]).Record.SerializeAsString() ==
        std::get<AppendLogRecord>(Sent[0]).Record.SerializeAsString());
  B.applyRecord(Sent);
  B.applyRecord(Retried);
  CHECK(B.Api.onRecordsApplied().size() == 2);
  CHECK(
      B.Store.current()->object(wire::OBJECT_KIND_ACCOUNT, "acme")->version() ==
      1);
}

// Guards against operators who wait without end for a log that is down, and
// against not_run for a change that may have taken effect.
TEST_CASE("a log outage gives 503 with not_run and a retry delay") {
  AdminApiFixture B;
  B.post(accountChange("a", 0));
  const Error Down = errorOfKind(ErrorKind::Unavailable);
  AdminResponse R = AdminApiFixture::responseOf(
      B.Api.onAppendResult("a", Down, B.Time.now()));
  CHECK(R.Status == 503);
  CHECK(R.RetryAfter > milliseconds(0));
  CHECK(Json::parse(R.Body)["error"]["not_run"] == true);
  B.post(accountChange("b", 0));
  B.Api.onAppendResult("b", errorOfKind(ErrorKind::UpstreamFailed),
                       B.Time.now());
  B.Api.onAppendResult("b", Down, B.Time.now());
  B.Time.advance(milliseconds(10'000));
  R = AdminApiFixture::responseOf(B.Api.tick(B.Time.now()));
  CHECK(R.Status == 503);
  CHECK(Json::parse(R.Body)["error"]["not_run"] == false);
  CHECK(B.Api.pending() == 0);
}

// Guards against plain-text keys in the log, and against a key that nobody can
// read any more because the response that carried it was lost.
TEST_CASE(
    "a key is issued, returned again for the same operation and removed") {
  AdminApiFixture B;
  B.submitAndApply(accountChange("a", 0));
  const Json Issue{{"operation_id", "k"},
                   {"kind", "key"},
                   {"name", "k1"},
                   {"base_version", 0},
                   {"value", {{"account", "acme"}}}};
  const Json First = Json::parse(B.submitAndApply(Issue).Body);
  const std::string Key = First["key"].get<std::string>();
  CHECK(B.Store.current()->keyByDigest(keyDigest(Secret, Key)) != nullptr);
  CHECK(B.get("/admin/v1/objects").Body.find(Key) == std::string::npos);
  CHECK(Json::parse(B.submitAndApply(Issue).Body) == First);
  const Json Withdraw{{"operation_id", "w"},
                      {"kind", "key"},
                      {"name", "k1"},
                      {"base_version", -1},
                      {"remove", true}};
  CHECK(B.submitAndApply(Withdraw).Status == 200);
  CHECK_FALSE(Json::parse(B.submitAndApply(Issue).Body).contains("key"));
}

// Guards against malformed changes that reach the log.
TEST_CASE("the error of a malformed change names the field") {
  AdminApiFixture B;
  const auto Field = [&](const Json &Change) {
    Json Body = accountChange("a", 0);
    Body.merge_patch(Change);
    const AdminResponse R = AdminApiFixture::responseOf(B.post(Body));
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

// Guards against wrong look-ups of names with special characters.
TEST_CASE("query parameters are percent-decoded") {
  const Query Q = parseQuery("/x?name=a%20b%2Fc&kind=&flag&bad=%zz");
  CHECK(queryValue(Q, "name") == "a b/c");
  CHECK(queryValue(Q, "bad") == "%zz");
  CHECK(Q.contains("flag"));
  CHECK(queryValue(parseQuery("/x?n=" + escapeQuery("ä&=")), "n") == "ä&=");
}

} // namespace hyssoprail
