#include <gflags/gflags.h>

#include "hyssoprail/standin/platform/platform.hpp"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 for any free port");
DEFINE_uint64(retention_records, 100'000, "records the log keeps");
DEFINE_uint32(vm_lag_ms, 500, "delay of changes in the VM list");
DEFINE_uint64(seed, 1, "seed of the random source");

int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  boost::asio::io_context Context;
  hyssoprail::standin::PlatformOptions Options;
  Options.RetentionRecords = FLAGS_retention_records;
  Options.VmLag = std::chrono::milliseconds(FLAGS_vm_lag_ms);
  hyssoprail::standin::Platform Platform(Context, Options, FLAGS_seed);
  return hyssoprail::standin::runProgram(
      Context, FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto &Exchange) { Platform.handle(Exchange); });
}
