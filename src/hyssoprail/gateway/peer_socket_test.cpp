#include "hyssoprail/gateway/peer_socket.hpp"

#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/steady_timer.hpp>
#include <catch2/catch.hpp>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/gateway/event_loop.hpp"
#include "hyssoprail/testing/udp_address.hpp"

namespace hyssoprail::gateway {

// Guards against an entry that hears no other one any more because the handling
// of one message threw.
TEST_CASE("messages are received after one whose handling threw",
          "[unanswered]") {
  boost::asio::io_context Context;
  const std::string Address = hyssoprail::testing::freeUdpAddress();
  PeerSocket Receiver(Context);
  PeerSocket Sender(Context);
  std::vector<std::string> Senders;
  REQUIRE(succeeded(
      Receiver.start(Address, [&](const wire::CoordinationMessage &Message) {
        Senders.push_back(Message.report().sender());
        if (Senders.size() == 1)
          throw std::runtime_error("odd message");
        Context.stop();
      })));
  REQUIRE(succeeded(Sender.start(hyssoprail::testing::freeUdpAddress(),
                                 [](const wire::CoordinationMessage &) {})));
  for (const char *Name : {"a", "b"}) {
    wire::CoordinationMessage Message;
    Message.mutable_report()->set_sender(Name);
    Sender.send(Message, Address);
  }
  boost::asio::steady_timer Limit(Context, milliseconds(2'000));
  Limit.async_wait([&](boost::system::error_code) { Context.stop(); });
  runEventLoop(Context, [](std::string_view) {});
  CHECK(Senders == std::vector<std::string>{"a", "b"});
}

// Guards against an entry that is late and lives in the past: it handled the
// messages of seconds ago one after the other, one in each round of its loop.
TEST_CASE("after a delay only the newest message of each sender is handled",
          "[late_entry]") {
  boost::asio::io_context Context;
  const std::string Address = hyssoprail::testing::freeUdpAddress();
  PeerSocket Receiver(Context);
  std::vector<std::pair<std::string, std::uint64_t>> Handled;
  REQUIRE(succeeded(
      Receiver.start(Address, [&](const wire::CoordinationMessage &Message) {
        Handled.emplace_back(Message.report().sender(),
                             Message.report().sequence());
      })));
  PeerSocket A(Context);
  PeerSocket B(Context);
  for (PeerSocket *Sender : {&A, &B})
    REQUIRE(succeeded(Sender->start(hyssoprail::testing::freeUdpAddress(),
                                    [](const wire::CoordinationMessage &) {})));
  for (std::uint64_t Sequence = 1; Sequence <= 20; ++Sequence)
    for (PeerSocket *Sender : {&A, &B}) {
      wire::CoordinationMessage Message;
      Message.mutable_report()->set_sender(Sender == &A ? "a" : "b");
      Message.mutable_report()->set_sequence(Sequence);
      Sender->send(Message, Address);
    }
  Context.run_for(milliseconds(100));
  CHECK(Handled == std::vector<std::pair<std::string, std::uint64_t>>{
                       {"a", 20}, {"b", 20}});
}

} // namespace hyssoprail::gateway
