#ifndef HYSSOPRAIL_ROUTING_ENGINE_FILTER_HPP
#define HYSSOPRAIL_ROUTING_ENGINE_FILTER_HPP

#include <functional>
#include <string>

namespace hyssoprail::routing {

/// Selects engines by id.
using EngineFilter = std::function<bool(const std::string &)>;

} // namespace hyssoprail::routing

#endif // HYSSOPRAIL_ROUTING_ENGINE_FILTER_HPP
