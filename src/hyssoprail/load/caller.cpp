#include "hyssoprail/load/caller.hpp"

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include "hyssoprail/load/prompt.hpp"
#include "hyssoprail/testbed/answer_check.hpp"

namespace hyssoprail::load {
namespace {

using nlohmann::json;
using std::chrono::microseconds;
using std::chrono::steady_clock;

/// Longest pause between two reads of a stream before it counts as broken.
constexpr std::chrono::seconds ReadTimeout{60};

microseconds since(steady_clock::time_point Begin) {
  return std::chrono::duration_cast<microseconds>(steady_clock::now() - Begin);
}

bool isStream(RequestKind Kind) {
  return Kind == RequestKind::Chat || Kind == RequestKind::Summary;
}

/// One plan being sent.
class PlanRun {
public:
  PlanRun(const CallerOptions &Options, const std::vector<Arrival> &Plan)
      : Options(Options), Plan(Plan), Client(makeHttpClient(Context)),
        Timer(Context), DrainTimer(Context), Samples(Plan.size()),
        Streams(Plan.size()) {}

  std::vector<Sample> run(std::vector<ScheduledAction> Actions) {
    Begin = steady_clock::now();
    for (ScheduledAction &Action : Actions)
      schedule(std::move(Action));
    sendDue();
    Context.run();
    return std::move(Samples);
  }

private:
  void schedule(ScheduledAction Action) {
    auto At =
        std::make_shared<boost::asio::steady_timer>(Context, Begin + Action.At);
    At->async_wait([At, Run = std::move(Action.Run)](
                       const boost::system::error_code &Code) {
      if (!Code)
        Run();
    });
  }

  void sendDue() {
    while (Next < Plan.size() && Begin + Plan[Next].At <= steady_clock::now())
      send(Next++);
    if (Next == Plan.size()) {
      startDrain();
      return;
    }
    Timer.expires_at(Begin + Plan[Next].At);
    Timer.async_wait([this](const boost::system::error_code &Code) {
      if (!Code)
        sendDue();
    });
  }

  void startDrain() {
    if (Ended == Plan.size())
      return;
    DrainTimer.expires_after(Options.DrainTime);
    DrainTimer.async_wait([this](const boost::system::error_code &Code) {
      if (!Code)
        Context.stop();
    });
  }

  const std::string &entryOf(const Arrival &A) const {
    const auto First = static_cast<std::uint64_t>(Options.Skew * 1000) >
                       A.Serial * 7919 % 1000;
    return First ? Options.Entries.front()
                 : Options.Entries[A.Serial % Options.Entries.size()];
  }

  HttpCall makeCall(const Arrival &A) const {
    HttpCall Call;
    Call.Authority = entryOf(A);
    Call.Timeout = ReadTimeout;
    Call.Request.Headers = {
        {"Authorization", "Bearer " + Options.Keys[A.Account]},
        {"Content-Type", "application/json"}};
    switch (A.Kind) {
    case RequestKind::StockCheck:
      Call.Request.Method = "GET";
      Call.Request.Target = fmt::format("/stock/item-{}", A.Serial % 50);
      break;
    case RequestKind::Order:
      Call.Request.Method = "POST";
      Call.Request.Target = "/orders";
      Call.Request.Body =
          json{{"item", A.Serial % 50}, {"serial", A.Serial}}.dump();
      break;
    case RequestKind::Chat:
    case RequestKind::Summary:
      Call.Request.Method = "POST";
      Call.Request.Target = "/v1/completions";
      Call.Request.Body = json{
          {"model", A.Kind == RequestKind::Chat ? Options.ChatModel
                                                : Options.SummaryModel},
          {"prompt", makePrompt(A)},
          {"max_tokens", std::max(1U, A.MaxTokens)},
          {"stream", true}}.dump();
      break;
    }
    return Call;
  }

  void send(std::size_t Index) {
    Samples[Index].Planned = Plan[Index];
    if (isStream(Plan[Index].Kind))
      sendStream(Index);
    else
      sendCall(Index);
  }

  void sendCall(std::size_t Index) {
    const auto Sent = steady_clock::now();
    Client->call(makeCall(Plan[Index]), [this, Index,
                                         Sent](Result<HttpResponse> Answer) {
      Sample &S = Samples[Index];
      S.Total = since(Sent);
      if (errorOf(Answer) != nullptr) {
        S.End = Outcome::Broken;
      } else if (valueOf(Answer).Status < 300) {
        S.HttpStatus = valueOf(Answer).Status;
        S.End = Outcome::Complete;
      } else {
        readRefusal(S, valueOf(Answer).Status, valueOf(Answer).Body);
      }
      finish();
    });
  }

  /// A streamed request in progress.
  struct Streaming {
    explicit Streaming(const Arrival &A)
        : Check(makePrompt(A), std::max(1U, A.MaxTokens)) {}
    testbed::AnswerCheck Check;
    std::string ErrorBody;
    steady_clock::time_point Sent = steady_clock::now();
    microseconds Last{0};
    unsigned Events = 0;
    std::shared_ptr<HttpStream> Stream;
  };

  void sendStream(std::size_t Index) {
    auto State = std::make_shared<Streaming>(Plan[Index]);
    Streams[Index] = State;
    HttpStreamHandlers Handlers;
    Handlers.OnHeader = [this, Index](unsigned Status) {
      Samples[Index].HttpStatus = Status;
    };
    Handlers.OnData = [this, Index, State](std::string_view Data) {
      Sample &S = Samples[Index];
      if (S.HttpStatus != 200) {
        State->ErrorBody += Data;
        return;
      }
      const unsigned Events = State->Check.add(Data);
      if (Events == 0)
        return;
      State->Last = since(State->Sent);
      if (State->Events == 0)
        S.FirstToken = State->Last;
      State->Events += Events;
    };
    Handlers.OnEnd = [this, Index, State](const Status &End) {
      endStream(Samples[Index], *State, End);
      Streams[Index].reset();
      finish();
    };
    State->Stream = Client->stream(makeCall(Plan[Index]), std::move(Handlers));
  }

  static void endStream(Sample &S, const Streaming &State, const Status &End) {
    S.Total = since(State.Sent);
    S.OutputTokens = State.Check.expectedTokens();
    if (S.OutputTokens > 1 && State.Events > 0)
      S.BetweenTokens = (State.Last - S.FirstToken) / (S.OutputTokens - 1);
    if (errorOf(End) != nullptr) {
      S.End = Outcome::Broken;
      return;
    }
    if (S.HttpStatus != 200) {
      readRefusal(S, S.HttpStatus, State.ErrorBody);
      return;
    }
    if (!State.Check.errorCode().empty()) {
      S.End = Outcome::Failed;
      S.ErrorCode = State.Check.errorCode();
      return;
    }
    S.End = !State.Check.ended()    ? Outcome::Broken
            : State.Check.correct() ? Outcome::Complete
                                    : Outcome::Wrong;
  }

  static void readCallAnswer(Sample &S, const HttpResponse &Answer) {
    S.RequestId = headerValue(Answer.Headers, "X-Request-Id");
    S.HttpStatus = Answer.Status;
    if (Answer.Status < 300)
      S.End = Outcome::Complete;
    else
      readRefusal(S, Answer.Status, Answer.Body);
  }

  static void readRefusal(Sample &S, unsigned Status, const std::string &Body) {
    S.HttpStatus = Status;
    S.End = Outcome::Failed;
    const json Parsed = json::parse(Body, nullptr, false);
    if (!Parsed.is_object() || !Parsed.contains("error"))
      return;
    S.ErrorCode = Parsed["error"].value("code", "unknown");
    S.RequestId = Parsed["error"].value("request_id", S.RequestId);
    if (Parsed["error"].value("not_run", false))
      S.End = Outcome::Refused;
  }

  void finish() {
    if (++Ended == Plan.size())
      DrainTimer.cancel();
  }

  const CallerOptions &Options;
  const std::vector<Arrival> &Plan;
  boost::asio::io_context Context;
  std::unique_ptr<HttpClient> Client;
  boost::asio::steady_timer Timer;
  boost::asio::steady_timer DrainTimer;
  steady_clock::time_point Begin;
  std::vector<Sample> Samples;
  std::vector<std::shared_ptr<Streaming>> Streams;
  std::size_t Next = 0;
  std::size_t Ended = 0;
};

} // namespace

std::vector<Sample> runPlan(const CallerOptions &Options,
                            const std::vector<Arrival> &Plan,
                            std::vector<ScheduledAction> Actions) {
  PlanRun Run(Options, Plan);
  return Run.run(std::move(Actions));
}

} // namespace hyssoprail::load
