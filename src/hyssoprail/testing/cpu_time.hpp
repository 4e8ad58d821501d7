#ifndef HYSSOPRAIL_TESTING_CPU_TIME_HPP
#define HYSSOPRAIL_TESTING_CPU_TIME_HPP

#include <algorithm>
#include <ctime>
#include <functional>

#include "hyssoprail/core/clock.hpp"

namespace hyssoprail::testing {

/// Processor time that the calling thread has used.
inline Duration threadCpuTime() {
  timespec Used{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Used);
  return std::chrono::seconds(Used.tv_sec) +
         std::chrono::nanoseconds(Used.tv_nsec);
}

/// The least processor time that \p Work took in several runs.
inline Duration leastCpuTime(const std::function<void()> &Work) {
  constexpr unsigned Runs = 5;
  Duration Least = Duration::max();
  for (unsigned I = 0; I < Runs; ++I) {
    const Duration Begin = threadCpuTime();
    Work();
    Least = std::min(Least, threadCpuTime() - Begin);
  }
  return Least;
}

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_CPU_TIME_HPP
