#ifndef HYSSOPRAIL_STANDIN_PLATFORM_PLATFORM_HPP
#define HYSSOPRAIL_STANDIN_PLATFORM_PLATFORM_HPP

#include <chrono>
#include <deque>
#include <list>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/standin/program.hpp"

namespace hyssoprail::standin {

/// Behaviour of the platform; POST /faults changes it.
struct PlatformOptions {
  bool Down = false; ///< log and VM list answer 503
  std::chrono::milliseconds Slow{0};
  double LoseAnswers = 0; ///< share of appends whose answer is dropped
  std::uint64_t RetentionRecords = 100'000;
  std::chrono::milliseconds VmLag{500};
};

/// Emulates the platform's append-only log and its list of VMs.
class Platform {
public:
  Platform(boost::asio::io_context &Context, PlatformOptions Options,
           std::uint64_t Seed);

  void handle(const ExchangePtr &Exchange);

private:
  using Time = std::chrono::steady_clock::time_point;

  /// A long poll that waits for a record.
  struct Reader {
    ExchangePtr Exchange;
    std::uint64_t After = 0;
    std::uint64_t Max = 0;
    Time Deadline;
  };

  /// A change of the VM list that readers see from VisibleAt on.
  struct VmChange {
    Time VisibleAt;
    std::string Name;
    Json Value; ///< null removes the VM
  };

  void serve(const ExchangePtr &Exchange);
  void append(const ExchangePtr &Exchange);
  void read(const ExchangePtr &Exchange);
  void answerRead(const Reader &R);
  void answerReaders();
  void listVms(HttpExchange &Exchange);
  void changeVm(HttpExchange &Exchange);
  void setFaults(HttpExchange &Exchange);
  void trim();
  void tick();
  std::uint64_t end() const { return First + Records.size() - 1; }

  boost::asio::io_context &Context;
  PlatformOptions Options;
  RandomSource Random;
  boost::asio::steady_timer Timer;
  std::uint64_t First = 1; ///< offset of Records.front()
  std::deque<std::string> Records;
  std::list<Reader> Readers;
  std::map<std::string, Json> Vms;
  std::deque<VmChange> VmChanges;
};

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_PLATFORM_PLATFORM_HPP
