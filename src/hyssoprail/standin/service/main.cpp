#include <gflags/gflags.h>

#include "hyssoprail/standin/service/service.hpp"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 for any free port");
DEFINE_uint32(delay_ms, 5, "time one call takes");
DEFINE_double(fail_rate, 0, "share of calls that fail without executing");
DEFINE_double(drop_rate, 0, "share of calls executed but never answered");
DEFINE_uint64(seed, 1, "seed of the random source");

int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  boost::asio::io_context Context;
  hyssoprail::standin::ServiceOptions Options;
  Options.Delay = std::chrono::milliseconds(FLAGS_delay_ms);
  Options.FailRate = FLAGS_fail_rate;
  Options.DropRate = FLAGS_drop_rate;
  hyssoprail::standin::Service Service(Context, Options, FLAGS_seed);
  return hyssoprail::standin::runProgram(
      Context, FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto &Exchange) { Service.handle(Exchange); });
}
