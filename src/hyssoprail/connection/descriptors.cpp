#include "hyssoprail/connection/descriptors.hpp"

#include <algorithm>
#include <filesystem>
#include <system_error>

#include <sys/resource.h>

namespace hyssoprail {
namespace {

/// Assumed if the limit cannot be read.
constexpr std::size_t FallbackLimit = 1'024;

/// The kernel's own bound (fs.nr_open) if the process has none.
constexpr std::size_t KernelLimit = 1'048'576;

} // namespace

std::size_t descriptorLimit(std::size_t Configured) {
  rlimit Limit{};
  std::size_t Own = FallbackLimit;
  if (::getrlimit(RLIMIT_NOFILE, &Limit) == 0)
    Own = Limit.rlim_cur == RLIM_INFINITY
              ? KernelLimit
              : static_cast<std::size_t>(Limit.rlim_cur);
  return Configured > 0 ? std::min(Own, Configured) : Own;
}

std::size_t openDescriptors() {
  std::error_code Failed;
  std::size_t Entries = 0;
  std::filesystem::directory_iterator It("/proc/self/fd", Failed);
  for (; !Failed && It != std::filesystem::directory_iterator();
       It.increment(Failed))
    ++Entries;
  // One of the entries is the descriptor that reads them.
  return Entries > 0 ? Entries - 1 : 0;
}

bool isDescriptorShortage(const boost::system::error_code &Code) {
  return Code == boost::system::errc::too_many_files_open ||
         Code == boost::system::errc::too_many_files_open_in_system;
}

} // namespace hyssoprail
