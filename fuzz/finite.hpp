#ifndef HYSSOPRAIL_FUZZ_FINITE_HPP
#define HYSSOPRAIL_FUZZ_FINITE_HPP

#include <google/protobuf/message.h>

namespace hyssoprail::fuzz {

/// True if all numbers of \p Message, also of the messages in it, are finite.
bool isFinite(const google::protobuf::Message &Message);

} // namespace hyssoprail::fuzz

#endif // HYSSOPRAIL_FUZZ_FINITE_HPP
