#ifndef HYSSOPRAIL_VERSION_CONFIG_STATE_HPP
#define HYSSOPRAIL_VERSION_CONFIG_STATE_HPP

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

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
  using ObjectMap = std::map<std::string, wire::Object, std::less<>>;

  const ObjectMap *map(wire::ObjectKind Kind) const;

  std::uint64_t Version = 0;
  std::map<wire::ObjectKind, std::shared_ptr<const ObjectMap>> Kinds;
  std::shared_ptr<const std::map<std::string, std::string, std::less<>>>
      KeyNamesByDigest;
};

using ConfigPtr = std::shared_ptr<const ConfigState>;

} // namespace hyssoprail

#endif // HYSSOPRAIL_VERSION_CONFIG_STATE_HPP
