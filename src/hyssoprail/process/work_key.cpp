#include "hyssoprail/process/work_key.hpp"

#include <array>
#include <charconv>

#include "hyssoprail/core/enum_names.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<EnumName<wire::Leg>, 3> LegNames{{
    {wire::LEG_PREFILL, "prefill"},
    {wire::LEG_DECODE, "decode"},
    {wire::LEG_CALL, "call"},
}};

} // namespace

WorkKey workKey(const wire::WorkRef &Ref) {
  return {Ref.request_id(), Ref.attempt(), Ref.leg()};
}

wire::WorkRef workRef(const WorkKey &Key) {
  wire::WorkRef Ref;
  Ref.set_request_id(Key.RequestId);
  Ref.set_attempt(Key.Attempt);
  Ref.set_leg(Key.Leg);
  return Ref;
}

std::string engineWorkId(const WorkKey &Key) {
  return Key.RequestId + "/" + std::to_string(Key.Attempt) + "/" +
         std::string(enumName(LegNames, Key.Leg));
}

std::optional<WorkKey> parseEngineWorkId(std::string_view Id) {
  const std::size_t First = Id.find('/');
  const std::size_t Second = Id.rfind('/');
  if (First == std::string_view::npos || First == Second)
    return std::nullopt;
  const auto Leg = enumFromName(LegNames, Id.substr(Second + 1));
  const std::string_view AttemptText = Id.substr(First + 1, Second - First - 1);
  std::uint32_t Attempt = 0;
  const auto Parsed = std::from_chars(
      AttemptText.data(), AttemptText.data() + AttemptText.size(), Attempt);
  if (!Leg || Parsed.ec != std::errc() ||
      Parsed.ptr != AttemptText.data() + AttemptText.size())
    return std::nullopt;
  return WorkKey{std::string(Id.substr(0, First)), Attempt, *Leg};
}

} // namespace hyssoprail
