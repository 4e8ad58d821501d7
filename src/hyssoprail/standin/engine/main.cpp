#include <gflags/gflags.h>

#include "hyssoprail/standin/engine/engine.hpp"

DEFINE_string(address, "127.0.0.1", "IP address to listen on");
DEFINE_uint32(port, 0, "port to listen on; 0 for any free port");
DEFINE_string(role, "decode", "prefill or decode");
DEFINE_string(model, "m", "name of the loaded model");
DEFINE_string(model_version, "1", "version of the loaded model");
DEFINE_uint64(slots, 20, "streams decoded at the same time");
DEFINE_uint64(pieces, 64, "memory pieces of 2,048 tokens");
DEFINE_uint64(max_waiting, 64, "prefills that wait before 503");
DEFINE_uint64(step_base_us, 4'000, "decode step without streams");
DEFINE_uint64(step_stream_us, 300, "decode step, added by each stream");
DEFINE_uint64(prefill_base_us, 500, "fixed part of a prefill");
DEFINE_uint64(prefill_token_us, 50, "prefill, added by each uncached token");
DEFINE_uint64(cache_tokens, 200'000, "size of the prefix cache");
DEFINE_uint64(kv_bytes_per_token, 256, "size of the KV cache");
DEFINE_uint64(link_bytes_per_s, 50'000'000, "rate of the KV export link");
DEFINE_uint32(kv_ttl_ms, 900, "life of a KV cache after its prefill");
DEFINE_uint32(load_lag_ms, 200, "age of the reported load");
DEFINE_uint32(cache_event_delay_ms, 300, "delay of cache events");
DEFINE_double(cache_event_loss, 0.1, "share of cache events that are lost");
DEFINE_uint32(cold_ms, 3'000, "time an engine stays cold after a start");
DEFINE_double(cold_factor, 4, "slow-down right after a start");
DEFINE_uint64(cold_limit, 4, "work above which a cold engine crashes");
DEFINE_uint32(load_ms, 1'000, "time to load weights");
DEFINE_uint32(transfer_timeout_ms, 10'000, "longest pause of a KV import");
DEFINE_bool(check_fencing, true, "reject orders with an old fencing number");
DEFINE_bool(free_on_disconnect, false, "free work whose caller disconnects");
DEFINE_uint64(seed, 0, "seed of the random source; 0 for a random seed");

namespace {

using std::chrono::milliseconds;

hyssoprail::standin::EngineOptions optionsFromFlags() {
  hyssoprail::standin::EngineOptions O;
  O.Role = FLAGS_role;
  O.Model = FLAGS_model;
  O.Version = FLAGS_model_version;
  O.Slots = FLAGS_slots;
  O.Pieces = FLAGS_pieces;
  O.MaxWaiting = FLAGS_max_waiting;
  O.StepBaseUs = FLAGS_step_base_us;
  O.StepStreamUs = FLAGS_step_stream_us;
  O.PrefillBaseUs = FLAGS_prefill_base_us;
  O.PrefillTokenUs = FLAGS_prefill_token_us;
  O.CacheTokens = FLAGS_cache_tokens;
  O.KvBytesPerToken = FLAGS_kv_bytes_per_token;
  O.LinkBytesPerSecond = FLAGS_link_bytes_per_s;
  O.KvTtl = milliseconds(FLAGS_kv_ttl_ms);
  O.LoadLag = milliseconds(FLAGS_load_lag_ms);
  O.CacheEventDelay = milliseconds(FLAGS_cache_event_delay_ms);
  O.CacheEventLoss = FLAGS_cache_event_loss;
  O.ColdTime = milliseconds(FLAGS_cold_ms);
  O.ColdFactor = FLAGS_cold_factor;
  O.ColdLimit = FLAGS_cold_limit;
  O.LoadTime = milliseconds(FLAGS_load_ms);
  O.TransferTimeout = milliseconds(FLAGS_transfer_timeout_ms);
  O.CheckFencing = FLAGS_check_fencing;
  O.FreeOnDisconnect = FLAGS_free_on_disconnect;
  return O;
}

} // namespace

int main(int ArgCount, char **Args) {
  gflags::ParseCommandLineFlags(&ArgCount, &Args, true);
  boost::asio::io_context Context;
  const std::uint64_t Seed =
      FLAGS_seed != 0 ? FLAGS_seed : hyssoprail::systemSeed();
  hyssoprail::standin::Engine Engine(Context, optionsFromFlags(), Seed);
  return hyssoprail::standin::runProgram(
      Context, FLAGS_address, static_cast<std::uint16_t>(FLAGS_port),
      [&](const auto &Exchange) { Engine.handle(Exchange); });
}
