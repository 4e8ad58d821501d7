#include "hyssoprail/load/fault.hpp"

#include <csignal>

#include <fmt/format.h>

namespace hyssoprail::load {
namespace {

using nlohmann::json;
using testbed::Fleet;

std::string pick(RandomSource &Random, const char *Prefix, unsigned Count) {
  return fmt::format("{}-{}", Prefix, Random.below(Count));
}

std::string pickEngine(Fleet &F, RandomSource &Random) {
  if (Random.below(2) == 0)
    return pick(Random, "prefill", F.options().PrefillEngines);
  return pick(Random, "decode", F.options().DecodeEngines);
}

std::string pickAgent(Fleet &F, RandomSource &Random) {
  if (Random.below(4) == 0)
    return pick(Random, "agent-service", F.options().Services);
  return "agent-" + pickEngine(F, Random);
}

std::string pickEntry(Fleet &F, RandomSource &Random) {
  return pick(Random, "entry", F.options().Entries);
}

std::string killProcess(Fleet &F, const std::string &Name) {
  F.process(Name).kill();
  return Name;
}

std::string pauseProcess(Fleet &F, const std::string &Name) {
  F.process(Name).signal(SIGSTOP);
  return Name;
}

void resume(Fleet &F, const std::string &Name) {
  F.process(Name).signal(SIGCONT);
}

void restart(Fleet &F, const std::string &Name) { F.restart(Name); }

std::string stopPlanned(Fleet &F, const std::string &Name) {
  F.process(Name).signal(SIGTERM);
  return Name;
}

/// A planned stop ends by itself; the process is started again afterwards.
void finishPlannedStop(Fleet &F, const std::string &Name) {
  constexpr std::chrono::seconds DrainTime{20};
  F.process(Name).wait(DrainTime);
  F.process(Name).kill();
  F.restart(Name);
}

std::string engineFault(Fleet &F, const std::string &Name, const json &Fault) {
  F.http().post(F.httpAddress(Name), "/faults", Fault.dump());
  return Name;
}

void nothing(Fleet &, const std::string &) {}

void healTransfers(Fleet &F, const std::string &Name) {
  engineFault(F, Name, {{"stall_transfers", false}});
}

std::string platformFault(Fleet &F, const json &Fault) {
  F.faults(Fault);
  return "platform";
}

void healPlatform(Fleet &F, const std::string &) {
  F.faults({{"down", false}, {"slow_ms", 0}, {"lose_answers", 0}});
}

std::string setZone(Fleet &F, const std::string &Name, bool Out) {
  for (unsigned I = 0; I < F.options().Entries; ++I) {
    auto R = F.change("zone", Name,
                      {{"name", Name}, {"region", "region-0"}, {"out", Out}},
                      false, I);
    if (succeeded(R))
      break;
  }
  return Name;
}

} // namespace

const std::vector<FaultRow> &faultTable() {
  static const std::vector<FaultRow> Table{
      {"kill_entry",
       [](Fleet &F, RandomSource &R) {
         return killProcess(F, pickEntry(F, R));
       },
       restart},
      {"kill_agent",
       [](Fleet &F, RandomSource &R) {
         return killProcess(F, pickAgent(F, R));
       },
       restart},
      {"pause_entry",
       [](Fleet &F, RandomSource &R) {
         return pauseProcess(F, pickEntry(F, R));
       },
       resume},
      {"pause_agent",
       [](Fleet &F, RandomSource &R) {
         return pauseProcess(F, pickAgent(F, R));
       },
       resume},
      {"stop_entry",
       [](Fleet &F, RandomSource &R) {
         return stopPlanned(F, pickEntry(F, R));
       },
       finishPlannedStop},
      {"stop_agent",
       [](Fleet &F, RandomSource &R) {
         return stopPlanned(F, pickAgent(F, R));
       },
       finishPlannedStop},
      {"engine_crash",
       [](Fleet &F, RandomSource &R) {
         return engineFault(F, pickEngine(F, R), {{"crash", true}});
       },
       nothing},
      {"engine_cold",
       [](Fleet &F, RandomSource &R) {
         return engineFault(F, pickEngine(F, R), {{"cold", true}});
       },
       nothing},
      {"engine_frozen",
       [](Fleet &F, RandomSource &R) {
         return engineFault(F, pickEngine(F, R), {{"freeze_ms", 1500}});
       },
       nothing},
      {"transfers_stalled",
       [](Fleet &F, RandomSource &R) {
         return engineFault(F, pick(R, "prefill", F.options().PrefillEngines),
                            {{"stall_transfers", true}});
       },
       healTransfers},
      {"service_drops",
       [](Fleet &F, RandomSource &R) {
         return engineFault(F, pick(R, "service", F.options().Services),
                            {{"drop_rate", 0.5}});
       },
       [](Fleet &F, const std::string &Name) {
         engineFault(F, Name, {{"drop_rate", 0.0}});
       }},
      {"log_down",
       [](Fleet &F, RandomSource &) {
         return platformFault(F, {{"down", true}});
       },
       healPlatform},
      {"log_slow",
       [](Fleet &F, RandomSource &) {
         return platformFault(F, {{"slow_ms", 300}});
       },
       healPlatform},
      {"log_loses_answers",
       [](Fleet &F, RandomSource &) {
         return platformFault(F, {{"lose_answers", 0.5}});
       },
       healPlatform},
      {"zone_out",
       [](Fleet &F, RandomSource &R) {
         return setZone(F, pick(R, "zone", F.options().Zones), true);
       },
       [](Fleet &F, const std::string &Name) { setZone(F, Name, false); }},
  };
  return Table;
}

} // namespace hyssoprail::load
