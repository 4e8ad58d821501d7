#include "finite.hpp"

#include <cmath>
#include <vector>

#include <google/protobuf/descriptor.h>

namespace hyssoprail::fuzz {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

bool isFiniteField(const Message &In, const FieldDescriptor *Field) {
  const auto *Reflection = In.GetReflection();
  const int Count = Field->is_repeated() ? Reflection->FieldSize(In, Field) : 1;
  for (int I = 0; I < Count; ++I) {
    if (Field->cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
      const double Value = Field->is_repeated()
                               ? Reflection->GetRepeatedDouble(In, Field, I)
                               : Reflection->GetDouble(In, Field);
      if (!std::isfinite(Value))
        return false;
    } else if (Field->cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      const Message &Inner = Field->is_repeated()
                                 ? Reflection->GetRepeatedMessage(In, Field, I)
                                 : Reflection->GetMessage(In, Field);
      if (!isFinite(Inner))
        return false;
    }
  }
  return true;
}

} // namespace

bool isFinite(const Message &In) {
  std::vector<const FieldDescriptor *> Fields;
  In.GetReflection()->ListFields(In, &Fields);
  for (const FieldDescriptor *Field : Fields)
    if (!isFiniteField(In, Field))
      return false;
  return true;
}

} // namespace hyssoprail::fuzz
