#ifndef HYSSOPRAIL_ROUTING_STREAM_FIXTURE_HPP
#define HYSSOPRAIL_ROUTING_STREAM_FIXTURE_HPP

#include <memory>

#include "test_support.hpp"

namespace hyssoprail::routing::testing {

inline HttpResponse head() {
  HttpResponse H;
  H.Status = 200;
  return H;
}

/// Two prefill and two decode engines, for tests of one stream at a time.
struct StreamFixture : FlowFixture {
  StreamFixture() {
    add(engine("p1", EngineStage::Prefill));
    add(engine("p2", EngineStage::Prefill, "zone-b"));
    add(engine("d1", EngineStage::Decode));
    add(engine("d2", EngineStage::Decode, "zone-b"));
  }

  FlowRequest stream(bool Resumable) const {
    FlowRequest R = request(RouteKind::Stream);
    R.Route.Resumable = Resumable;
    return R;
  }

  /// Starts a stream whose first event has arrived.
  std::unique_ptr<Flow> startedStream(bool Resumable,
                                      const PromptParts &Parts = {}) {
    FlowRequest R = stream(Resumable);
    R.Info.PromptParts = Parts;
    auto F = startStream(std::move(R));
    answer(*F, 1, answered(200, "handle-1"));
    F->onStreamHead(2, head(), Now);
    F->onStreamData(2, "id: 1\ndata: a\n\n", Now);
    return F;
  }

  const LegRequest &leg(std::size_t Number) const {
    return Io.Legs.at(Number - 1);
  }
};

} // namespace hyssoprail::routing::testing

#endif // HYSSOPRAIL_ROUTING_STREAM_FIXTURE_HPP
