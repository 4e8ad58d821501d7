#ifndef HYSSOPRAIL_TESTING_DESCRIPTOR_SHORTAGE_HPP
#define HYSSOPRAIL_TESTING_DESCRIPTOR_SHORTAGE_HPP

#include <catch2/catch.hpp>
#include <sys/resource.h>
#include <unistd.h>

namespace hyssoprail::testing {

/// Lets this process open a descriptor only after it has closed another one.
class DescriptorShortage {
public:
  DescriptorShortage() {
    REQUIRE(::getrlimit(RLIMIT_NOFILE, &Before) == 0);
    // The lowest free number: all below it are in use.
    const int Free = ::dup(STDERR_FILENO);
    REQUIRE(Free >= 0);
    ::close(Free);
    rlimit Next = Before;
    Next.rlim_cur = static_cast<rlim_t>(Free);
    REQUIRE(::setrlimit(RLIMIT_NOFILE, &Next) == 0);
  }
  DescriptorShortage(const DescriptorShortage &) = delete;
  DescriptorShortage &operator=(const DescriptorShortage &) = delete;
  ~DescriptorShortage() { ::setrlimit(RLIMIT_NOFILE, &Before); }

private:
  rlimit Before{};
};

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_TESTING_DESCRIPTOR_SHORTAGE_HPP
