#ifndef HYSSOPRAIL_ENTRY_CONFIG_EXCHANGE_HPP
#define HYSSOPRAIL_ENTRY_CONFIG_EXCHANGE_HPP

#include <functional>
#include <string>

#include "hyssoprail/connection/peer_links.hpp"
#include "hyssoprail/version/config_store.hpp"

namespace hyssoprail::entry {

/// Passes log records on to agents and other entries, and takes them from
/// other entries.
class ConfigExchange {
public:
  using Reply = std::function<void(wire::Envelope)>;

  explicit ConfigExchange(ConfigStore &Store) : Store(Store) {}

  /// Handles ConfigRequest, ConfigRecords and ConfigSnapshot. Returns false if
  /// \p Message is none of them.
  bool receive(const wire::Envelope &Message, const Reply &Answer);

  /// Asks a peer that has reported \p PeerVersion for what is missing here.
  void compare(std::uint64_t PeerVersion, const Reply &Answer);

  /// Sends newly applied records to all links.
  void push(const ConfigUpdate &Update, PeerLinks &Links) const;

private:
  ConfigStore &Store;
};

} // namespace hyssoprail::entry

#endif // HYSSOPRAIL_ENTRY_CONFIG_EXCHANGE_HPP
