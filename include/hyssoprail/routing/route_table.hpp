#ifndef HYSSOPRAIL_ROUTING_ROUTE_TABLE_HPP
#define HYSSOPRAIL_ROUTING_ROUTE_TABLE_HPP

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "hyssoprail/routing/route_policy.hpp"

namespace hyssoprail::routing {

/// The routes of a configuration. What is asked for each request takes a time
/// that does not depend on their number, as there may be thousands.
class RouteTable {
public:
  RouteTable() = default;
  RouteTable(std::initializer_list<RoutePolicy> Routes);
  explicit RouteTable(std::vector<RoutePolicy> Routes);

  void add(RoutePolicy Route);

  /// Returns the route of \p Host with the longest prefix of \p Path, or null;
  /// of several with the same prefix, the one that was added first. \p Host is
  /// in lower case and without a port.
  const RoutePolicy *find(std::string_view Host, std::string_view Path) const;

  /// True if not all routes to \p Service have the same priority.
  bool prioritiesDiffer(std::string_view Service) const;

  std::vector<RoutePolicy>::const_iterator begin() const {
    return Routes.begin();
  }
  std::vector<RoutePolicy>::const_iterator end() const { return Routes.end(); }
  std::size_t size() const { return Routes.size(); }
  bool empty() const { return Routes.empty(); }

private:
  /// Hashes keys in such a way that a look-up needs no copy of the text.
  struct TextHash {
    using is_transparent = void;
    std::size_t operator()(std::string_view Text) const {
      return std::hash<std::string_view>()(Text);
    }
  };
  template <typename Value>
  using TextMap =
      std::unordered_map<std::string, Value, TextHash, std::equal_to<>>;

  struct HostRoutes {
    TextMap<std::size_t> ByPrefix; ///< positions in Routes
    /// Different lengths of the prefixes, the longest first.
    std::vector<std::size_t> PrefixLengths;
  };

  struct ServicePriority {
    int First = 0; ///< of the route that was added first
    bool Differs = false;
  };

  void indexPath(const RoutePolicy &Route, std::size_t Position);
  void indexPriority(const RoutePolicy &Route);

  std::vector<RoutePolicy> Routes;
  TextMap<HostRoutes> ByHost;
  TextMap<ServicePriority> Priorities; ///< by service
};

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ROUTE_TABLE_HPP
