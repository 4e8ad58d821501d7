#ifndef HYSSOPRAIL_CONNECTION_DESCRIPTORS_HPP
#define HYSSOPRAIL_CONNECTION_DESCRIPTORS_HPP

#include <cstddef>

#include <boost/system/error_code.hpp>

namespace hyssoprail {

/// Returns how many descriptors this process may open: its resource limit, or
/// \p Configured if that is smaller and not 0.
std::size_t descriptorLimit(std::size_t Configured = 0);

/// Returns the number of open descriptors of this process; 0 if the kernel does
/// not tell.
std::size_t openDescriptors();

/// Returns true if a call failed because no descriptor was free.
bool isDescriptorShortage(const boost::system::error_code &Code);

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_DESCRIPTORS_HPP
