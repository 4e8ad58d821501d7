#ifndef HYSSOPRAIL_LOAD_PROCESS_USAGE_HPP
#define HYSSOPRAIL_LOAD_PROCESS_USAGE_HPP

#include <cstdint>

#include <sys/types.h>

namespace hyssoprail::load {

/// Processor time a process has used, in seconds (from /proc).
double processorSeconds(pid_t Pid);

/// Resident memory of a process, in bytes (from /proc).
std::uint64_t residentBytes(pid_t Pid);

} // namespace hyssoprail::load

#endif // HYSSOPRAIL_LOAD_PROCESS_USAGE_HPP
