#include "hyssoprail/load/process_usage.hpp"

#include <fstream>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <unistd.h>

namespace hyssoprail::load {

double processorSeconds(pid_t Pid) {
  std::ifstream File(fmt::format("/proc/{}/stat", Pid));
  std::string Line;
  std::getline(File, Line);
  // The second field is the program's name in parentheses and may hold spaces.
  std::istringstream Rest(
      Line.substr(std::min(Line.size(), Line.rfind(')') + 1)));
  std::string Skipped;
  constexpr int FieldsBeforeUserTime = 11;
  for (int I = 0; I < FieldsBeforeUserTime; ++I)
    Rest >> Skipped;
  double User = 0;
  double System = 0;
  Rest >> User >> System;
  return (User + System) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::uint64_t residentBytes(pid_t Pid) {
  std::ifstream File(fmt::format("/proc/{}/statm", Pid));
  std::uint64_t Total = 0;
  std::uint64_t Resident = 0;
  File >> Total >> Resident;
  return Resident * static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
}

} // namespace hyssoprail::load
