#ifndef HYSSOPRAIL_GATEWAY_FAKE_FEED_HPP
#define HYSSOPRAIL_GATEWAY_FAKE_FEED_HPP

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "hyssoprail/gateway/fleet_feed.hpp"

namespace hyssoprail::gateway {

/// A feed that has the registrations up to a given position and is always
/// fresh.
class FakeFeed : public FleetFeed {
public:
  std::uint64_t Known = 0;
  std::uint64_t DeltaStart = 0; ///< before it, the full list is sent
  bool ReadsStore = true;
  Duration StepAge{};
  /// Calls that the test answers, and what they wrote.
  std::vector<StreamVersionMap> Recorded;
  std::vector<std::function<void(WriteOutcome)>> OnWritten;
  std::vector<std::function<void(bool)>> OnRead;
  /// States that were written, by service.
  std::map<std::string, VersionStateRecord> States;
  unsigned StateWrites = 0;
  WriteOutcome StateOutcome = WriteOutcome::Written;
  std::uint64_t Era = 1;

  void start(FleetListener &, const EntryAddress &) override {}
  void setReadsStore(bool To) override { ReadsStore = To; }
  Duration storeAge() const override { return {}; }
  Duration dataAge() const override { return {}; }
  Duration stepAge() const override { return StepAge; }
  void noteInStep(TimePoint) override {}
  FeedPosition newestChange() const override { return {0, 0, Era, 0}; }
  FeedPosition syncedPosition() const override { return {0, Known, Era, 0}; }
  std::uint64_t endpointsRead() const override { return 0; }
  std::uint64_t endpointDeltaStart() const override { return DeltaStart; }
  std::string changesSince(FeedPosition, ConfigEncoding) const override {
    return "";
  }
  void applyChanges(std::string_view) override {}
  void applyPeerStatus(const PeerFeedStatus &) override {}
  TimePoint removalGraceEnd() const override { return {}; }
  void announceGroup(std::size_t) override {}
  void setReadsCrashRecords(bool) override {}
  void publishCrashRecord(const std::string &,
                          std::function<void(bool)>) override {}
  void setReadsRolloutStates(bool) override {}
  void writeRolloutState(const rollout::StatusRecord &,
                         std::function<void(bool)>) override {}
  void writeStreamVersions(const StreamVersionMap &Versions, Duration,
                           std::function<void(WriteOutcome)> OnDone) override {
    Recorded.push_back(Versions);
    OnWritten.push_back(std::move(OnDone));
  }
  void writeVersionState(const VersionStateRecord &Record,
                         std::function<void(WriteOutcome)> OnDone) override {
    ++StateWrites;
    if (StateOutcome == WriteOutcome::Written)
      States[Record.Service] = Record;
    OnDone(StateOutcome);
  }
  void readStreamVersions(std::function<void(bool)> OnDone) override {
    OnRead.push_back(std::move(OnDone));
  }
  void withOrderLease(std::function<void(std::uint64_t)>) override {}
  void releaseOrderLease() override {}
  std::uint64_t storeCalls() const override { return 0; }
};

} // namespace hyssoprail::gateway

#endif // HYSSOPRAIL_GATEWAY_FAKE_FEED_HPP
