#include "hyssoprail/ctl/ctl.hpp"

#include <filesystem>
#include <fstream>
#include <sstream>

#include <catch2/catch.hpp>
#include <fmt/format.h>

#include "hyssoprail/connection/http_server.hpp"
#include "hyssoprail/core/hash.hpp"
#include "hyssoprail/process/admin_api.hpp"

namespace hyssoprail::ctl {
namespace {

/// An entry in memory: the admin API with a log that can fail.
class Entry {
public:
  Result<HttpResponse> handle(const HttpRequest &Request) {
    AdminActions Actions =
        Api.request(1,
                    {.Method = Request.Method,
                     .Target = Request.Target,
                     .Authorization = std::string(
                         headerValue(Request.Headers, "Authorization")),
                     .Body = Request.Body},
                    Time.now(), 1'000);
    while (std::holds_alternative<AppendLogRecord>(Actions.at(0)))
      Actions = append(std::get<AppendLogRecord>(Actions[0]));
    if (Request.Method == "POST" && LostAnswers > 0) {
      --LostAnswers;
      Error Lost;
      Lost.Kind = ErrorKind::UpstreamFailed;
      return Lost;
    }
    const AdminResponse &R = std::get<SendAdminResponse>(Actions[0]).Response;
    return HttpResponse{.Status = R.Status, .Headers = {}, .Body = R.Body};
  }

  AdminActions append(const AppendLogRecord &Action) {
    if (LogDown) {
      Error Down;
      Down.Kind = ErrorKind::Unavailable;
      return Api.onAppendResult(Action.OperationId, Down, Time.now());
    }
    if (BeforeAppend)
      std::exchange(BeforeAppend, nullptr)();
    store(Action.Record);
    return Api.onAppendResult(Action.OperationId, Store.current()->version(),
                              Time.now());
  }

  void store(const wire::LogRecord &Record) {
    wire::OffsetRecord R;
    R.set_offset(Store.current()->version() + 1);
    *R.mutable_record() = Record;
    Store.apply({R});
  }

  ManualClock Time;
  ConfigStore Store;
  Timeline Events{100, Time};
  FleetStatus Fleet;
  int LostAnswers = 0;
  bool LogDown = false;
  std::function<void()> BeforeAppend;
  AdminApi Api{{.ProcessName = "e1",
                .OperatorTokenDigest = sha256("token"),
                .KeySecret = "0123456789abcdef"},
               Store,
               Events,
               [this] { return Fleet; }};
};

/// Output of one command.
struct Run {
  ExitCode Code;
  std::string Out;
  std::string Err;
};

Run run(Entry &E, const Words &Line, const CtlOptions &Options = {},
        const std::string &Token = "token") {
  RandomSource Random(E.Store.current()->version() + 77);
  AdminClient Admin([&](const HttpRequest &R) { return E.handle(R); }, Token,
                    Random,
                    [&](std::chrono::milliseconds D) { E.Time.advance(D); });
  std::ostringstream Out;
  std::ostringstream Err;
  Ctl C{Admin, Options, Out, Err};
  const ExitCode Code = runCommand(C, Line);
  return {Code, Out.str(), Err.str()};
}

CtlOptions with(std::vector<GivenField> Fields) {
  return {.Fields = std::move(Fields)};
}

/// A configuration file that is removed at the end of the test.
class ConfigFile {
public:
  explicit ConfigFile(const Json &Document)
      : Path(std::filesystem::temp_directory_path() /
             ("config-" + hexId(systemSeed(), systemSeed()))) {
    std::ofstream(Path) << Document;
  }
  ~ConfigFile() { std::filesystem::remove(Path); }
  ConfigFile(const ConfigFile &) = delete;
  ConfigFile &operator=(const ConfigFile &) = delete;

  std::string name() const { return Path.string(); }

private:
  std::filesystem::path Path;
};

Json fleetDocument() {
  return {
      {"route",
       {{"chat", {{"model", "m"}, {"pool", "chat"}, {"first_token_ms", 890}}}}},
      {"pool", {{"chat", {{"model", "m"}}}}},
      {"endpoint",
       {{"d1",
         {{"pool", "chat"},
          {"role", "ENDPOINT_ROLE_DECODE"},
          {"vm", "vm1"},
          {"agent_address", "tcp://127.0.0.1:1"}}}}},
      {"vm", {{"vm1", {{"zone", "a"}, {"labels", {{"disk", "ssd"}}}}}}},
      {"zone", {{"a", {{"region", "r"}}}}},
      {"account", {{"acme", {{"rate", 100}, {"burst", 500}}}}},
      {"key", {{"k1", {{"account", "acme"}}}}},
  };
}

} // namespace

// Guards against options that reach the wrong field or reset the others.
TEST_CASE("objects are created, changed and removed") {
  Entry E;
  CHECK(run(E, {"account", "set", "acme"}, with({{"rate", 100}, {"burst", 9}}))
            .Code == ExitCode::Success);
  CHECK(run(E, {"account", "set", "acme"}, with({{"rate", 200}})).Code ==
        ExitCode::Success);
  CHECK(E.Store.current()->account("acme")->rate() == 200);
  CHECK(E.Store.current()->account("acme")->burst() == 9);
  CHECK(run(E, {"pool", "set", "shop"}, with({{"kind", "service"}})).Code ==
        ExitCode::Success);
  CHECK(E.Store.current()->pool("shop")->kind() == wire::POOL_KIND_SERVICE);
  CHECK(run(E, {"get", "account", "acme"}).Out.find("200") !=
        std::string::npos);
  CHECK(run(E, {"list"}).Out.find("shop") != std::string::npos);
  CHECK(run(E, {"account", "remove", "acme"}).Code == ExitCode::Success);
  CHECK(run(E, {"account", "remove", "acme"}).Code == ExitCode::Rejected);
  CHECK(run(E, {"account", "set", "bad"}, with({{"rate", -1}})).Code ==
        ExitCode::Rejected);
}

// Guards against a lost change of another operator.
TEST_CASE("a race is a conflict that names version and remedy") {
  Entry E;
  run(E, {"zone", "set", "a"});
  E.BeforeAppend = [&] {
    wire::LogRecord Other;
    Other.set_operation_id("other");
    wire::Object &O = *Other.mutable_change()->mutable_object();
    O.set_kind(wire::OBJECT_KIND_ZONE);
    O.set_name("a");
    O.mutable_zone()->set_name("a");
    Other.mutable_change()->set_base_version(1);
    E.store(Other);
  };
  const Run R = run(E, {"zone", "out", "a"});
  CHECK(R.Code == ExitCode::Conflict);
  CHECK(R.Err.find("conflicting version 2") != std::string::npos);
  CHECK(R.Err.find("remedy: ") != std::string::npos);
  CHECK_FALSE(E.Store.current()->zone("a")->out());
}

// Guards against a change that is made twice or reported as lost.
TEST_CASE("a lost answer does not repeat the change") {
  Entry E;
  E.LostAnswers = 2;
  const Run R = run(E, {"zone", "set", "a"});
  CHECK(R.Code == ExitCode::Success);
  CHECK(E.Store.current()->version() == 1);
  E.LostAnswers = 99;
  const Run Unknown = run(E, {"zone", "set", "b"});
  CHECK(Unknown.Code == ExitCode::Unavailable);
  const std::string Flag = "--operation_id ";
  const std::size_t At = Unknown.Err.find(Flag);
  REQUIRE(At != std::string::npos);
  E.LostAnswers = 0;
  CtlOptions Again;
  Again.OperationId = Unknown.Err.substr(At + Flag.size(), 32);
  CHECK(run(E, {"zone", "set", "b"}, Again).Code == ExitCode::Success);
  CHECK(E.Store.current()->version() == 2);
  CHECK(run(E, {"apply", "file"}, Again).Code == ExitCode::Usage);
}

// Guards against a false "changed nothing" after an attempt without answer.
TEST_CASE("an unknown result stays unknown") {
  Entry E;
  E.LostAnswers = 1;
  E.LogDown = true;
  const Run R = run(E, {"zone", "set", "a"});
  CHECK(R.Code == ExitCode::Unavailable);
  CHECK(R.Err.find("not known") != std::string::npos);
}

// Guards against keys that cannot be shown, withdrawn or are shown again.
TEST_CASE("a key is shown once") {
  Entry E;
  run(E, {"account", "set", "acme"}, with({{"rate", 1}, {"burst", 1}}));
  const Run Issued =
      run(E, {"key", "issue", "k1"}, with({{"account", "acme"}}));
  CHECK(Issued.Out.find("key: hr-") != std::string::npos);
  CHECK(run(E, {"list", "key"}).Out.find("hr-") == std::string::npos);
  CHECK(run(E, {"key", "issue", "k1"}, with({{"account", "acme"}})).Code ==
        ExitCode::Conflict);
  CHECK(run(E, {"key", "withdraw", "k1"}).Code == ExitCode::Success);
  CHECK(E.Store.current()->object(wire::OBJECT_KIND_KEY, "k1") == nullptr);
}

// Guards against zone and label changes that lose other fields.
TEST_CASE("zones and labels") {
  Entry E;
  run(E, {"zone", "set", "a"}, with({{"region", "r"}}));
  run(E, {"vm", "set", "v"}, with({{"zone", "a"}}));
  CHECK(run(E, {"zone", "out", "a"}).Code == ExitCode::Success);
  CHECK(E.Store.current()->zone("a")->out());
  CHECK(E.Store.current()->zone("a")->region() == "r");
  CHECK(run(E, {"label", "vm", "v", "disk=ssd", "gpu="}).Code ==
        ExitCode::Success);
  CHECK(run(E, {"label", "vm", "v", "gpu-"}).Code == ExitCode::Success);
  CHECK(E.Store.current()->vm("v")->labels().size() == 1);
  CHECK(run(E, {"label", "vm", "v", "gpu"}).Code == ExitCode::Usage);
  CHECK(run(E, {"label", "pool", "v", "a=b"}).Code == ExitCode::Usage);
}

// Guards against files that cannot be applied in one go, or that change
// objects which are as the file says.
TEST_CASE("apply brings the configuration to the state of the file") {
  Entry E;
  const ConfigFile File(fleetDocument());
  CHECK(run(E, {"diff", File.name()}).Code == ExitCode::Differences);
  CHECK(E.Store.current()->version() == 0);
  const Run Applied = run(E, {"apply", File.name()});
  INFO(Applied.Err);
  CHECK(Applied.Code == ExitCode::Success);
  CHECK(Applied.Out.find("key: hr-") != std::string::npos);
  CHECK(E.Store.current()->version() == 7);
  CHECK(run(E, {"diff", File.name()}).Code == ExitCode::Success);
  CHECK(run(E, {"apply", File.name()}).Code == ExitCode::Success);
  CHECK(E.Store.current()->version() == 7);
}

// Guards against objects that a shorter file removes by accident, and against
// removals in an order that the references forbid.
TEST_CASE("apply removes objects only with --prune") {
  Entry E;
  const ConfigFile Full(fleetDocument());
  run(E, {"apply", Full.name()});
  Json Empty = Json::object();
  const Json Fleet = fleetDocument();
  for (const auto &[Kind, Objects] : Fleet.items())
    Empty[Kind] = Json::object();
  const ConfigFile File(Empty);
  CHECK(run(E, {"apply", File.name()}).Out.find("7 objects") !=
        std::string::npos);
  CHECK(E.Store.current()->account("acme") != nullptr);
  CtlOptions Prune;
  Prune.Prune = true;
  const Run R = run(E, {"apply", File.name()}, Prune);
  INFO(R.Err);
  CHECK(R.Code == ExitCode::Success);
  CHECK(run(E, {"list"}).Out.empty());
  const ConfigFile Wrong(Json{{"accounts", Json::object()}});
  CHECK(run(E, {"apply", Wrong.name()}).Code == ExitCode::Usage);
  CHECK(run(E, {"apply", "/no/such/file"}).Code == ExitCode::Usage);
}

// Guards against a wait that returns while a process is behind.
TEST_CASE("wait names the processes that are behind") {
  Entry E;
  run(E, {"zone", "set", "a"});
  ProcessStatus Agent;
  Agent.Member.set_name("agent7");
  E.Fleet.Processes = {Agent};
  CtlOptions Options;
  Options.Timeout = std::chrono::milliseconds(500);
  const Run Late = run(E, {"wait", "1"}, Options);
  CHECK(Late.Code == ExitCode::NotInEffect);
  CHECK(Late.Err.find("agent7 (version 0)") != std::string::npos);
  E.Fleet.Processes[0].Member.set_version(1);
  CHECK(run(E, {"wait", "1"}, Options).Code == ExitCode::Success);
  CHECK(run(E, {"wait", "x"}, Options).Code == ExitCode::Usage);
  CHECK(run(E, {"status"}).Out.find("agent7") != std::string::npos);
}

// Guards against scripts that cannot tell failures apart.
TEST_CASE("failures have exit codes and a remedy") {
  Entry E;
  CHECK(run(E, {"status"}, {}, "wrong").Code == ExitCode::Unauthenticated);
  E.LogDown = true;
  const Run Down = run(E, {"zone", "set", "a"});
  CHECK(Down.Code == ExitCode::Unavailable);
  CHECK(Down.Err.find("changed nothing") != std::string::npos);
  CHECK(Down.Err.find("run the command again") != std::string::npos);
  CHECK(run(E, {}).Code == ExitCode::Usage);
  CHECK(run(E, {"account", "grow", "x"}).Code == ExitCode::Usage);
  CHECK(run(E, {"pool", "set", "p"}, with({{"rate", 1}})).Code ==
        ExitCode::Usage);
  CHECK(run(E, {"status"}, with({{"rate", 1}})).Code == ExitCode::Usage);
  CHECK(run(E, {"get", "disk", "x"}).Code == ExitCode::Usage);
}

// Guards against output that programs cannot read.
TEST_CASE("json output is one document") {
  Entry E;
  CtlOptions Options;
  Options.JsonOutput = true;
  CHECK(Json::parse(run(E, {"zone", "set", "a"}, Options).Out)["version"] == 1);
  CHECK(Json::parse(run(E, {"list"}, Options).Out).size() == 1);
  CHECK(Json::parse(run(E, {"wait", "1"}, Options).Out)["version"] == 1);
  CHECK(Json::parse(run(E, {"status"}, Options).Out)["version"] == 1);
  const Run Bad = run(E, {"zone", "remove", "b"}, Options);
  CHECK(Json::parse(Bad.Err)["error"]["code"] == "not_found");
}

// Guards against a transport that drops the token or hangs without an entry.
TEST_CASE("commands work over HTTP") {
  Entry E;
  const auto Server = makeHttpServer({}, [&](const auto &Exchange) {
    Exchange->respond(valueOf(E.handle(Exchange->request())));
  });
  REQUIRE(succeeded(Server->start()));
  RandomSource Random(5);
  const auto NoPause = [](std::chrono::milliseconds) {};
  const std::string Authority = fmt::format("127.0.0.1:{}", Server->port());
  AdminClient Admin(makeHttpTransport(Authority, std::chrono::seconds(5)),
                    "token", Random, NoPause);
  CHECK(succeeded(Admin.change({.Kind = wire::OBJECT_KIND_ZONE, .Name = "a"})));
  CHECK(valueOf(Admin.objects(std::nullopt)).size() == 1);
  Server->stop();
  const Result<Json> Gone = Admin.status();
  REQUIRE(errorOf(Gone) != nullptr);
  CHECK(errorOf(Gone)->Kind == ErrorKind::Unavailable);
  CHECK_FALSE(errorOf(Gone)->Remedy.empty());
}

// Guards against commands without help.
TEST_CASE("help covers commands, options and exit codes") {
  const std::string All = commandHelp({});
  for (const char *Name : {"account set", "key issue", "zone out", "apply FILE",
                           "wait VERSION", "list KIND", "Exit codes"})
    CHECK(All.find(Name) != std::string::npos);
  const std::string One = commandHelp({"route", "set"});
  CHECK(One.find("--path_prefix") != std::string::npos);
  CHECK(One.find("account set") == std::string::npos);
}

} // namespace hyssoprail::ctl
