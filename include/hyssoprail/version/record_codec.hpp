#ifndef HYSSOPRAIL_VERSION_RECORD_CODEC_HPP
#define HYSSOPRAIL_VERSION_RECORD_CODEC_HPP

#include <string>
#include <string_view>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Bytes of a message, the same in every process (map entries are sorted).
std::string encodeStable(const google::protobuf::MessageLite &Message);

/// Reads a record of the log. Bytes that are no record give an empty record,
/// which the reducer counts but ignores.
wire::LogRecord decodeRecord(std::string_view Bytes);

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_RECORD_CODEC_HPP
