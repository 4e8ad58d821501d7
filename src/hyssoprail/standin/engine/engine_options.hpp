#ifndef HYSSOPRAIL_STANDIN_ENGINE_ENGINE_OPTIONS_HPP
#define HYSSOPRAIL_STANDIN_ENGINE_ENGINE_OPTIONS_HPP

#include <chrono>
#include <cstdint>
#include <string>

namespace hyssoprail::standin {

/// Behaviour of the emulated engine. The defaults run a 20-slot engine in real
/// time with KV caches of reduced size.
struct EngineOptions {
  using Millis = std::chrono::milliseconds;

  std::string Role = "decode"; ///< "prefill" or "decode"
  std::string Model = "m";
  std::string Version = "1";
  std::uint64_t Slots = 20;
  std::uint64_t Pieces = 64;
  std::uint64_t PieceTokens = 2048;
  std::uint64_t MaxWaiting = 64;     ///< prefills that wait before 503
  std::uint64_t StepBaseUs = 4'000;  ///< decode step with no stream
  std::uint64_t StepStreamUs = 300;  ///< added by each stream
  std::uint64_t PrefillBaseUs = 500; ///< any prefill
  std::uint64_t PrefillTokenUs = 50; ///< added by each uncached token
  std::uint64_t CacheTokens = 200'000;
  std::uint64_t KvBytesPerToken = 256;
  std::uint64_t LinkBytesPerSecond = 50'000'000;
  Millis KvTtl{900};
  Millis LoadLag{200};
  Millis CacheEventDelay{300};
  double CacheEventLoss = 0.1;
  Millis ColdTime{3'000};
  double ColdFactor = 4;       ///< slow-down right after a start
  std::uint64_t ColdLimit = 4; ///< more work than this while cold is a crash
  Millis LoadTime{1'000};      ///< loading weights
  Millis TransferTimeout{10'000};
  bool CheckFencing = true;
  bool FreeOnDisconnect = false; ///< else the work goes on without its caller
};

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_ENGINE_ENGINE_OPTIONS_HPP
