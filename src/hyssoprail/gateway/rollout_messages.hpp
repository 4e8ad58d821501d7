#ifndef HYSSOPRAIL_GATEWAY_ROLLOUT_MESSAGES_HPP
#define HYSSOPRAIL_GATEWAY_ROLLOUT_MESSAGES_HPP

#include <optional>

#include "hyssoprail/rollout/rollout_evidence.hpp"
#include "hyssoprail/wire/coordination.pb.h"

namespace hyssoprail::gateway {

/// Conversion between the messages of entries and the types of rollout.
void encodeEvidence(const rollout::RolloutEvidence &From,
                    wire::RolloutEvidence &To);
rollout::RolloutEvidence decodeEvidence(const wire::RolloutEvidence &From);

/// The time of completion travels as the time that is left at \p Now.
void encodeDecision(const rollout::RolloutDecision &From, TimePoint Now,
                    wire::RolloutDecision &To);

/// Returns nullopt if the message states an unknown phase.
std::optional<rollout::RolloutDecision>
decodeDecision(const wire::RolloutDecision &From, TimePoint Now);

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_ROLLOUT_MESSAGES_HPP
