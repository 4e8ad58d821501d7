#ifndef HYSSOPRAIL_PROCESS_WORK_KEY_HPP
#define HYSSOPRAIL_PROCESS_WORK_KEY_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// Identifies one unit of work at an agent: one leg of an attempt of a request.
struct WorkKey {
  std::string RequestId;
  std::uint32_t Attempt = 0;
  wire::Leg Leg = wire::LEG_PREFILL;

  bool operator==(const WorkKey &Other) const = default;
};

struct WorkKeyHash {
  std::size_t operator()(const WorkKey &Key) const {
    return std::hash<std::string_view>()(Key.RequestId) * 31 + Key.Attempt * 8 +
           static_cast<std::size_t>(Key.Leg);
  }
};

WorkKey workKey(const wire::WorkRef &Ref);
wire::WorkRef workRef(const WorkKey &Key);

/// Returns "<request>/<attempt>/<leg>", the id under which an engine gets the
/// work.
std::string engineWorkId(const WorkKey &Key);

/// Inverse of engineWorkId; nullopt if \p Id is malformed.
std::optional<WorkKey> parseEngineWorkId(std::string_view Id);

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_WORK_KEY_HPP
