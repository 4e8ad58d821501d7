#include "hyssoprail/process/decision_log.hpp"

#include <algorithm>

#include <nlohmann/json.hpp>
#include <poll.h>
#include <spdlog/sinks/sink.h>
#include <unistd.h>

namespace hyssoprail {
namespace {

constexpr std::array<double, 2> LinesPerSecond{150, 150};

/// Seconds of lines that may come at once.
constexpr double BurstSeconds = 2;

/// A write of at most this size to a pipe is whole or nothing (PIPE_BUF).
constexpr std::size_t MaxLineBytes = 4'096;

constexpr milliseconds ReportInterval{1'000};

} // namespace

/// Writes lines to a descriptor that may not take them.
class DecisionLog::Sink : public spdlog::sinks::sink {
public:
  explicit Sink(int Descriptor) : Descriptor(Descriptor) {}

  void log(const spdlog::details::log_msg &Message) override {
    const std::size_t Size = Message.payload.size() + 1;
    if (Size > MaxLineBytes || !ready()) {
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
  bool ready() const {
    pollfd Poll{Descriptor, POLLOUT, 0};
    return ::poll(&Poll, 1, 0) == 1 && (Poll.revents & POLLOUT) != 0;
  }

  int Descriptor;
};

DecisionLog::DecisionLog(int Descriptor, std::string Process, const Clock &Time)
    : Process(std::move(Process)), Time(Time),
      Out(std::make_shared<Sink>(Descriptor)), Lines("decisions", Out) {
  const TimePoint Now = Time.now();
  for (std::size_t I = 0; I < Allowances.size(); ++I)
    Allowances[I] = {LinesPerSecond[I] * BurstSeconds, Now};
}

DecisionLog::~DecisionLog() = default;

bool DecisionLog::allowed(LogCategory Urgency, TimePoint Now) {
  const auto Index = static_cast<std::size_t>(Urgency);
  Allowance &A = Allowances[Index];
  const double Rate = LinesPerSecond[Index];
  const double Elapsed = std::chrono::duration<double>(Now - A.Since).count();
  A.Lines = std::min(Rate * BurstSeconds, A.Lines + Rate * Elapsed);
  A.Since = Now;
  if (A.Lines < 1)
    return false;
  A.Lines -= 1;
  return true;
}

void DecisionLog::emit(std::string_view What, std::string_view Request,
                       LogFields Fields) {
  nlohmann::ordered_json Line{
      {"time_us", Time.unixMicros()}, {"process", Process}, {"what", What}};
  if (!Request.empty())
    Line["request"] = Request;
  for (const LogField &F : Fields)
    std::visit([&](const auto &V) { Line[std::string(F.Name)] = V; },
               F.Content);
  const std::string Text =
      Line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  Lines.log(spdlog::level::info, spdlog::string_view_t(Text));
}

void DecisionLog::reportLeftOut(TimePoint Now) {
  if (dropped() == Reported || Now - ReportedAt < ReportInterval)
    return;
  ReportedAt = Now;
  const std::uint64_t Total = dropped();
  emit("lines_left_out", "", {{"lines", Total - Reported}});
  Reported = Total;
}

void DecisionLog::write(LogCategory Urgency, std::string_view What,
                        std::string_view Request, LogFields Fields) {
  const TimePoint Now = Time.now();
  reportLeftOut(Now);
  if (allowed(Urgency, Now))
    emit(What, Request, Fields);
  else
    ++LeftOut;
}

std::uint64_t DecisionLog::dropped() const { return LeftOut + Out->Dropped; }

} // namespace hyssoprail
