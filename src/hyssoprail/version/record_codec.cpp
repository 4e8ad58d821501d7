#include "hyssoprail/version/record_codec.hpp"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

namespace hyssoprail {

std::string encodeStable(const google::protobuf::MessageLite &Message) {
  std::string Out;
  google::protobuf::io::StringOutputStream Stream(&Out);
  google::protobuf::io::CodedOutputStream Coded(&Stream);
  Coded.SetSerializationDeterministic(true);
  Message.SerializeToCodedStream(&Coded);
  Coded.Trim();
  return Out;
}

wire::LogRecord decodeRecord(std::string_view Bytes) {
  wire::LogRecord Record;
  if (!Record.ParseFromArray(Bytes.data(), static_cast<int>(Bytes.size())))
    Record.Clear();
  return Record;
}

} // namespace hyssoprail
