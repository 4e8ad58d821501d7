#ifndef HYSSOPRAIL_PROCESS_SCHEDULER_TYPES_HPP
#define HYSSOPRAIL_PROCESS_SCHEDULER_TYPES_HPP

#include <string>
#include <vector>

#include "hyssoprail/process/scheduler.hpp"

// Private types of Scheduler, shared by its source files.
namespace hyssoprail {

struct Scheduler::Endpoint {
  wire::Endpoint Config;
  std::string Zone;
  std::string Region;
  bool InService = false;
  TimePoint OutOfServiceSince;
  EndpointView View;
};

struct Scheduler::Candidates {
  std::vector<Endpoint *> Prefill;
  std::vector<Endpoint *> Decode;
  std::vector<Endpoint *> Service;
};

struct Scheduler::Queued {
  ScheduleRequest Request;
  TimePoint Deadline;
};

struct Scheduler::Charge {
  std::string Account;
  double Weight = 1;
  std::uint32_t MaxTokens = 0;
};

struct Scheduler::PlacedWork {
  std::string Endpoint;
  LocalWork Local;
};

struct Scheduler::PoolQueue {
  explicit PoolQueue(TokenCounters &Counters) : Queue(Counters) {}
  FairQueue Queue;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_PROCESS_SCHEDULER_TYPES_HPP
