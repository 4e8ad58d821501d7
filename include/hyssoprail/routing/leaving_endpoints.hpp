#ifndef HYSSOPRAIL_ROUTING_LEAVING_ENDPOINTS_HPP
#define HYSSOPRAIL_ROUTING_LEAVING_ENDPOINTS_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace hyssoprail::routing {

/// Registered endpoints that leave, with the start times of their incarnations,
/// and a digest by which two entries tell whether they know the same ones.
class LeavingEndpoints {
public:
  using Map = std::map<std::string, std::int64_t, std::less<>>;

  void set(const std::string &Id, std::int64_t StartedAtMs);
  void erase(std::string_view Id);

  const Map &all() const { return ById; }

  /// 0 if there is none.
  std::uint64_t digest() const { return Digest; }

private:
  Map ById;
  std::uint64_t Digest = 0;
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_LEAVING_ENDPOINTS_HPP
