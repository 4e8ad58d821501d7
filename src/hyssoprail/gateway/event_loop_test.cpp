#include "hyssoprail/gateway/event_loop.hpp"

#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

namespace hyssoprail::gateway {

// Guards against an unexpected error in one handler that ends the process and
// all its requests.
TEST_CASE("an exception in a handler does not end the event loop") {
  boost::asio::io_context Context;
  std::vector<std::string> Errors;
  bool Served = false;
  boost::asio::post(Context, [] { throw std::runtime_error("first"); });
  boost::asio::post(Context, [] { throw std::out_of_range("second"); });
  boost::asio::post(Context, [&] { Served = true; });
  runEventLoop(Context,
               [&](std::string_view Why) { Errors.emplace_back(Why); });
  CHECK(Errors == std::vector<std::string>{"first", "second"});
  CHECK(Served);
}

// Guards against an event loop that keeps running after a planned stop because
// a handler threw.
TEST_CASE("a stopped event loop ends although a handler throws") {
  boost::asio::io_context Context;
  boost::asio::post(Context, [&] {
    Context.stop();
    throw std::runtime_error("late");
  });
  unsigned Errors = 0;
  runEventLoop(Context, [&](std::string_view) { ++Errors; });
  CHECK(Errors == 1);
}

} // namespace hyssoprail::gateway
