#include "hyssoprail/process/settings.hpp"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

namespace hyssoprail {
namespace {

using Json = nlohmann::json;

Json entryDocument() {
  return {{"name", "entry1"},
          {"vm", "vm1"},
          {"zone", "a"},
          {"address", "127.0.0.1"},
          {"platform", "127.0.0.1:9000"},
          {"key_secret", "0123456789abcdef"},
          {"operator_token_digest", std::string(64, 'a')}};
}

Json agentDocument() {
  return {{"name", "agent1"},  {"vm", "vm1"},
          {"zone", "a"},       {"address", "127.0.0.1"},
          {"endpoint", "d1"},  {"engine", "127.0.0.1:9100"},
          {"kind", "service"}, {"lease_ms", 1500}};
}

Error entryError(const Json &Document, const SettingOverrides &Changes = {}) {
  const auto Parsed = parseEntrySettings(Document.dump(), Changes);
  REQUIRE(errorOf(Parsed) != nullptr);
  CHECK(errorOf(Parsed)->Kind == ErrorKind::InvalidSettings);
  CHECK_FALSE(errorOf(Parsed)->Remedy.empty());
  return *errorOf(Parsed);
}

} // namespace

// Guards against fields that are read into the wrong place or lose their
// default.
TEST_CASE("valid settings are read with their defaults") {
  Json Document = entryDocument();
  Document["policy"] = {{"limits", "fixed"}};
  Document["entries"] = {"tcp://127.0.0.1:7001"};
  Document["heartbeat_ms"] = 100;
  const auto Parsed = parseEntrySettings(Document.dump());
  REQUIRE(succeeded(Parsed));
  const EntrySettings &S = valueOf(Parsed);
  CHECK(S.Process.Name == "entry1");
  CHECK(S.Process.PeerAddress == "tcp://127.0.0.1:0");
  CHECK(S.Limits == LimitsPolicy::Fixed);
  CHECK(S.Scheduling == SchedulingPolicy::Early);
  CHECK(S.HeartbeatInterval == std::chrono::milliseconds(100));
  CHECK(S.OutageGrace == std::chrono::milliseconds(120'000));
  CHECK(S.Entries.size() == 1);
  const auto Agent = parseAgentSettings(agentDocument().dump());
  REQUIRE(succeeded(Agent));
  CHECK(valueOf(Agent).Kind == EndpointKind::Service);
  CHECK(valueOf(Agent).Lease == std::chrono::milliseconds(1500));
}

// Guards against a start with a setting that has no effect.
TEST_CASE("unknown and missing fields name their path") {
  Json Document = entryDocument();
  Document["policy"] = {{"schedulling", "early"}};
  const Error Unknown = entryError(Document);
  CHECK(Unknown.Field == "policy.schedulling");
  CHECK(Unknown.Message.find("\"early\"") != std::string::npos);
  CHECK(Unknown.Remedy.find("scheduling") != std::string::npos);
  Document = entryDocument();
  Document.erase("platform");
  CHECK(entryError(Document).Field == "platform");
  Document = agentDocument();
  Document["platform"] = "127.0.0.1:1";
  const auto Agent = parseAgentSettings(Document.dump());
  REQUIRE(errorOf(Agent) != nullptr);
  CHECK(errorOf(Agent)->Field == "platform");
}

// Guards against a wrong type or an impossible value that is taken over.
TEST_CASE("wrong values name path, value and remedy") {
  const auto With = [](const char *Pointer, Json Value) {
    Json Document = entryDocument();
    Document[Json::json_pointer(Pointer)] = std::move(Value);
    return entryError(Document);
  };
  CHECK(With("/http_port", "80").Field == "http_port");
  const Error Range = With("/http_port", 70000);
  CHECK(Range.Message.find("70000") != std::string::npos);
  CHECK(Range.Remedy.find("65535") != std::string::npos);
  CHECK(With("/threads", 1.5).Field == "threads");
  CHECK(With("/log", {{"level", "loud"}}).Field == "log.level");
  CHECK(With("/entries", {"tcp://127.0.0.1:1", 7}).Field == "entries.1");
  CHECK(With("/address", "1.2.3").Field == "address");
  CHECK(With("/suspect_ms", 300).Field == "suspect_ms");
  CHECK(With("/policy", 3).Field == "policy");
  CHECK(With("/outage_grace_ms", 120'001).Field == "outage_grace_ms");
}

// Guards against a secret in the output of a failed start.
TEST_CASE("secrets are not shown") {
  Json Document = entryDocument();
  Document["key_secret"] = "short";
  const Error E = entryError(Document);
  CHECK(E.Field == "key_secret");
  CHECK(E.Message.find("short") == std::string::npos);
}

// Guards against text that is no JSON and documents that are no object.
TEST_CASE("other documents are refused") {
  CHECK(errorOf(parseEntrySettings("{\"name\":")) != nullptr);
  CHECK(errorOf(parseEntrySettings("[]")) != nullptr);
  CHECK(errorOf(parseEntrySettings("")) != nullptr);
}

// Guards against an override that is lost or not checked.
TEST_CASE("overrides replace fields before the check") {
  const auto Parsed = parseEntrySettings(
      entryDocument().dump(),
      {{"policy.placement", "\"least_loaded\""}, {"http_port", "8080"}});
  REQUIRE(succeeded(Parsed));
  CHECK(valueOf(Parsed).Placement == PlacementPolicy::LeastLoaded);
  CHECK(valueOf(Parsed).Process.HttpPort == 8080);
  CHECK(entryError(entryDocument(), {{"http_port", "-1"}}).Field ==
        "http_port");
}

} // namespace hyssoprail
