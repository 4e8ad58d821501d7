#ifndef HYSSOPRAIL_VERSION_CONFIG_STATE_HPP
#define HYSSOPRAIL_VERSION_CONFIG_STATE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "hyssoprail/version/selector.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail {

/// The configuration objects of one version. Immutable once published;
/// snapshots share the maps of the kinds that did not change. Claims, limit
/// ownership, members and agent leases change more often and are held by the
/// reducer beside it.
class ConfigState {
public:
  /// Offset of the newest log record that is contained.
  std::uint64_t version() const { return Version; }

  /// Objects by name; null if there is none. Pointers live as long as this
  /// state.
  const wire::ClientAccount *account(std::string_view Name) const;
  const wire::Pool *pool(std::string_view Name) const;
  const wire::Endpoint *endpoint(std::string_view Name) const;
  const wire::Vm *vm(std::string_view Name) const;
  const wire::AvailabilityZone *zone(std::string_view Name) const;

  /// Key with this HMAC digest; null if there is none.
  const wire::Key *keyByDigest(std::string_view Digest) const;

  /// Route of completions for \p Model; null if there is none.
  const wire::Route *routeForModel(std::string_view Model) const;

  /// Plain-service route with the longest path prefix of \p Path.
  const wire::Route *routeForPath(std::string_view Path) const;

  /// Endpoints of \p Pool with \p Role, in name order.
  std::vector<const wire::Endpoint *>
  endpointsOf(std::string_view Pool, wire::EndpointRole Role) const;

  /// All endpoints in name order.
  std::vector<const wire::Endpoint *> endpoints() const;

  /// True if the endpoint's VM is in a zone that is in service and the
  /// endpoint is not leaving.
  bool inService(const wire::Endpoint &Endpoint) const;

  /// True if every selector that applies to \p Account and \p Route matches
  /// the labels of the endpoint's VM and zone.
  bool permits(const wire::Endpoint &Endpoint, std::string_view Account,
               std::string_view Route) const;

  /// Stored object with its version; null if there is none.
  const wire::Object *object(wire::ObjectKind Kind,
                             std::string_view Name) const;

  /// All objects of a kind in name order.
  std::vector<const wire::Object *> objects(wire::ObjectKind Kind) const;

  /// Returns a copy with \p Object stored, or removed, at version \p Version.
  std::shared_ptr<const ConfigState>
  with(const wire::Object &Object, bool Remove, std::uint64_t Version) const;

  /// Returns a copy that differs in its version only.
  std::shared_ptr<const ConfigState> at(std::uint64_t Version) const;

private:
  friend class ConfigBuilder;

  using ObjectPtr = std::shared_ptr<const wire::Object>;
  using ObjectMap = std::map<std::string, ObjectPtr, std::less<>>;
  using NameMap = std::map<std::string, std::string, std::less<>>;

  /// Endpoints of one pool by role, in name order.
  using EndpointsByRole =
      std::map<wire::EndpointRole, std::vector<const wire::Endpoint *>>;
  using PoolIndex = std::map<std::string, EndpointsByRole, std::less<>>;

  struct ParsedSelector {
    wire::Selector Source;
    LabelSelector Terms;
  };

  const ObjectMap *map(wire::ObjectKind Kind) const;

  /// Labels of a VM: those of its zone, its own, and "vm", "zone", "region".
  Labels labelsOf(std::string_view VmName) const;

  /// Rebuilds what is derived from the objects of \p Kind.
  void index(wire::ObjectKind Kind);
  void indexKeys();
  void indexEndpoints();
  void indexSelectors();
  void indexRoutes();

  std::uint64_t Version = 0;
  std::map<wire::ObjectKind, std::shared_ptr<const ObjectMap>> Kinds;
  std::shared_ptr<const NameMap> KeyNamesByDigest;
  std::shared_ptr<const NameMap> RouteNamesByModel;
  std::shared_ptr<const PoolIndex> EndpointsByPool;
  std::shared_ptr<const std::vector<ParsedSelector>> Selectors;
};

using ConfigPtr = std::shared_ptr<const ConfigState>;

/// Collects changes to a state before it is published. Each map is copied at
/// most once per published state, so a long series of records costs one copy.
///
/// \code
///   ConfigBuilder B(Base);
///   B.put(Object, 7);
///   ConfigPtr Next = B.publish();
/// \endcode
class ConfigBuilder {
public:
  explicit ConfigBuilder(const ConfigState &Base) : Draft(Base) {}

  /// Stores \p Object at \p Version.
  void put(const wire::Object &Object, std::uint64_t Version);

  /// Removes an object at \p Version.
  void remove(wire::ObjectKind Kind, std::string_view Name,
              std::uint64_t Version);

  /// Raises the version only.
  void advance(std::uint64_t Version) { Draft.Version = Version; }

  /// The state so far, for reading. Lookups that need an index (keys by
  /// digest, routes, endpoints of a pool, selectors) may be outdated.
  const ConfigState &draft() const { return Draft; }

  /// Returns the state and starts the next one from it.
  ConfigPtr publish();

private:
  ConfigState::ObjectMap &owned(wire::ObjectKind Kind);

  ConfigState Draft;
  std::map<wire::ObjectKind, std::shared_ptr<ConfigState::ObjectMap>> Owned;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_CONFIG_STATE_HPP
