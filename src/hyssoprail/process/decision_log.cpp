#include "hyssoprail/process/decision_log.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/sinks/sink.h>
#include <unistd.h>

#include "hyssoprail/core/utf8.hpp"

namespace hyssoprail {
namespace {

constexpr std::array<double, 2> LinesPerSecond{150, 150};

/// Size of a burst, in seconds of the line rate.
constexpr double BurstSeconds = 2;

/// PIPE_BUF on Linux: a write of up to this size to a pipe is atomic. Longer
/// lines are dropped.
constexpr std::size_t MaxAtomicWriteBytes = 4'096;

constexpr milliseconds ReportInterval{1'000};

template <typename Value> Value jsonValue(Value Number) { return Number; }
std::string jsonValue(std::string_view Text) { return escapeNonUtf8(Text); }

} // namespace

/// Writes lines to a descriptor and drops those that it does not accept at
/// once.
class DecisionLog::Sink : public spdlog::sinks::sink {
public:
  explicit Sink(int Descriptor) : Descriptor(Descriptor) {}

  void log(const spdlog::details::log_msg &Message) override {
    const std::size_t Size = Message.payload.size() + 1;
    if (Size > MaxAtomicWriteBytes || !isWritable()) {
      ++Dropped;
      return;
    }
    spdlog::memory_buf_t Line;
    Line.append(Message.payload.begin(), Message.payload.end());
    Line.push_back('\n');
    if (::write(Descriptor, Line.data(), Line.size()) < 0)
      ++Dropped;
  }

  void flush() override {}
  void set_pattern(const std::string &) override {}
  void set_formatter(std::unique_ptr<spdlog::formatter>) override {}

  std::uint64_t Dropped = 0;

private:
  bool isWritable() const {
    pollfd Poll{Descriptor, POLLOUT, 0};
    return ::poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
  }

  int Descriptor;
};

DecisionLog::DecisionLog(int Descriptor, std::string Process, const Clock &Time)
    : Process(std::move(Process)), Time(Time),
      Out(std::make_shared<Sink>(Descriptor)), Logger("decisions", Out) {
  const TimePoint Now = Time.now();
  for (std::size_t I = 0; I < Budgets.size(); ++I)
    Budgets[I] = {LinesPerSecond[I] * BurstSeconds, Now};
}

DecisionLog::~DecisionLog() = default;

bool DecisionLog::takeFromBudget(LogCategory Category, TimePoint Now) {
  const auto Index = static_cast<std::size_t>(Category);
  RateBudget &Budget = Budgets[Index];
  const double Rate = LinesPerSecond[Index];
  const double Elapsed =
      std::chrono::duration<double>(Now - Budget.RefilledAt).count();
  Budget.AvailableLines =
      std::min(Rate * BurstSeconds, Budget.AvailableLines + Rate * Elapsed);
  Budget.RefilledAt = Now;
  if (Budget.AvailableLines < 1)
    return false;
  Budget.AvailableLines -= 1;
  return true;
}

void DecisionLog::emit(std::string_view Decision, std::string_view Request,
                       LogFields Fields) {
  nlohmann::ordered_json Line{
      {"time_us", Time.unixMicros()}, {"process", Process}, {"what", Decision}};
  if (!Request.empty())
    Line["request"] = escapeNonUtf8(Request);
  for (const LogField &F : Fields)
    std::visit([&](const auto &V) { Line[std::string(F.Name)] = jsonValue(V); },
               F.Content);
  const std::string Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Logger.log(spdlog::level::info, spdlog::string_view_t(Text));
}

void DecisionLog::reportDropped(TimePoint Now) {
  if (dropped() == ReportedDropped || Now - ReportedAt < ReportInterval)
    return;
  ReportedAt = Now;
  const std::uint64_t Total = dropped();
  emit("lines_left_out", "", {{"lines", Total - ReportedDropped}});
  ReportedDropped = Total;
}

void DecisionLog::write(LogCategory Category, std::string_view Decision,
                        std::string_view Request, LogFields Fields) {
  const TimePoint Now = Time.now();
  reportDropped(Now);
  if (takeFromBudget(Category, Now))
    emit(Decision, Request, Fields);
  else
    ++RateLimited;
}

std::uint64_t DecisionLog::dropped() const {
  return RateLimited + Out->Dropped;
}

} // namespace hyssoprail
