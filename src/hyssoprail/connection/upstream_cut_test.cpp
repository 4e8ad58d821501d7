// Answers that are cut at any byte.
#include "hyssoprail/connection/upstream_client.hpp"

#include <catch2/catch.hpp>

#include "hyssoprail/connection/upstream_sender.hpp"
#include "hyssoprail/testing/scripted_server.hpp"

namespace hyssoprail {
namespace {

using testing::ScriptedServer;
using testing::UpstreamOutcome;
using testing::UpstreamSender;

constexpr std::chrono::milliseconds Timeout{2'000};

const std::string Head = "HTTP/1.1 200 OK\r\nRequest-Id: 1\r\n"
                         "Signature: s\r\n";

/// Sends one request to an endpoint that closes after the first \p Size bytes
/// of \p Answer.
UpstreamOutcome sendToCut(UpstreamSender &S, const std::string &Answer,
                          std::size_t Size) {
  ScriptedServer Server({{Answer.substr(0, Size), true}});
  return S.send(Server.authority(), "1", Timeout);
}

} // namespace

// Guards against an answer that was cut and counts as complete: its caller
// would get a 200 with an empty or short body, framed as whole.
TEST_CASE("an answer that is cut at any byte is not complete") {
  const std::vector<std::string> Answers{
      Head + "Content-Length: 5\r\n\r\nabcde",
      Head + "Content-Length: 0\r\n\r\n",
      Head + "Transfer-Encoding: chunked\r\n\r\n"
             "2\r\nab\r\n3;name=value\r\ncde\r\n0\r\nTrailer: value\r\n\r\n"};
  UpstreamSender S;
  for (const std::string &Answer : Answers) {
    for (std::size_t Size = 0; Size < Answer.size(); ++Size) {
      CAPTURE(Answer, Size);
      CHECK(sendToCut(S, Answer, Size).End == UpstreamEnd::Broken);
    }
    CHECK(sendToCut(S, Answer, Answer.size()).End == UpstreamEnd::Complete);
  }
}

// As above, for an answer that ends with its connection: it is complete as soon
// as its head is, and what was sent must arrive.
TEST_CASE("an answer without framing is complete if its head is") {
  const std::string Body = "abcde";
  UpstreamSender S;
  for (const std::string Version : {"1", "0"}) {
    std::string Answer = Head + "\r\n" + Body;
    Answer.replace(7, 1, Version);
    for (std::size_t Size = 0; Size <= Answer.size(); ++Size) {
      CAPTURE(Answer, Size);
      const UpstreamOutcome O = sendToCut(S, Answer, Size);
      const std::size_t HeadSize = Answer.size() - Body.size();
      CHECK((O.End == UpstreamEnd::Complete) == (Size >= HeadSize));
      if (Size >= HeadSize)
        CHECK(O.Body == Body.substr(0, Size - HeadSize));
    }
  }
}

} // namespace hyssoprail
