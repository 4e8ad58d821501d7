#ifndef HYSSOPRAIL_STANDIN_SERVICE_SERVICE_HPP
#define HYSSOPRAIL_STANDIN_SERVICE_SERVICE_HPP

#include <chrono>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "hyssoprail/core/random.hpp"
#include "hyssoprail/standin/program.hpp"

namespace hyssoprail::standin {

/// Behaviour of the plain service, changed by POST /faults with the same
/// field names in snake_case.
struct ServiceOptions {
  std::chrono::milliseconds Delay{5};
  double FailRate = 0; ///< answers 500 without executing
  double DropRate = 0; ///< executes, then breaks the connection
  bool Hang = false;   ///< executes and never answers
};

/// Emulates a plain HTTP service: POST /orders, GET /stock/{item}, and for
/// tests GET /executions and POST /faults.
class Service {
public:
  Service(boost::asio::io_context &Context, ServiceOptions Options,
          std::uint64_t Seed);

  void handle(const ExchangePtr &Exchange);

private:
  void setFaults(HttpExchange &Exchange);
  void execute(const ExchangePtr &Exchange);
  void finish(HttpExchange &Exchange);

  boost::asio::io_context &Context;
  ServiceOptions Options;
  RandomSource Random;
  std::uint64_t Orders = 0;
  std::map<std::string, std::uint64_t> Executions;
};

} // namespace hyssoprail::standin

#endif // HYSSOPRAIL_STANDIN_SERVICE_SERVICE_HPP
