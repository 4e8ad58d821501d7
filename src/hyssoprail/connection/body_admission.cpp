#include "hyssoprail/connection/body_admission.hpp"

#include <algorithm>
#include <utility>

namespace hyssoprail {
namespace {

/// The part of the account that large requests leave to others.
constexpr std::size_t SmallShareDivisor = 4;

/// Each of them holds up to SmallBytes while it waits for more.
constexpr std::size_t MaxGrowing = 16;

/// Time over which the rate of releases is measured.
constexpr std::chrono::seconds RateWindow{1};

} // namespace

BodyAdmission::BodyAdmission(std::shared_ptr<MemoryAccount> Account,
                             const Clock &Time,
                             std::function<void(bool Full)> OnFull)
    : Account(std::move(Account)), Time(Time), OnFull(std::move(OnFull)) {
  this->Account->onRelease([this](std::size_t Bytes) { onRelease(Bytes); });
}

BodyAdmission::~BodyAdmission() { Account->onRelease({}); }

std::size_t BodyAdmission::keptFor(std::size_t Bytes) const {
  return isSmall(Bytes) ? 0 : Account->limit() / SmallShareDivisor;
}

bool BodyAdmission::fits(std::size_t Bytes) const {
  return Bytes <= Account->limit() - keptFor(Bytes);
}

bool BodyAdmission::reserve(MemoryReservation &Memory,
                            std::size_t Bytes) const {
  return Memory.grow(Bytes, keptFor(Bytes));
}

std::optional<MemoryReservation> BodyAdmission::admit(std::size_t Bytes) {
  serve(queueOf(Bytes)); // drops those that have left
  MemoryReservation Memory(Account);
  if (queueOf(Bytes).empty() && reserve(Memory, Bytes))
    return Memory;
  setFull();
  return std::nullopt;
}

std::shared_ptr<WaitingBody> BodyAdmission::wait(std::size_t Bytes, bool Grows,
                                                 std::function<void()> Wake) {
  Queue &Waiting = queueOf(Bytes);
  std::erase_if(Waiting, [](const auto &Weak) { return Weak.expired(); });
  const auto Growing =
      std::count_if(Waiting.begin(), Waiting.end(), [](const auto &Weak) {
        const auto Other = Weak.lock();
        return Other && Other->Grows;
      });
  if (Grows && static_cast<std::size_t>(Growing) >= MaxGrowing)
    return nullptr;
  auto Out = std::make_shared<WaitingBody>();
  Out->Bytes = Bytes;
  Out->Grows = Grows;
  Out->Memory = MemoryReservation(Account);
  Out->Wake = std::move(Wake);
  Waiting.push_back(Out);
  return Out;
}

std::optional<milliseconds> BodyAdmission::expectedWait(std::size_t Bytes) {
  if (BytesPerSecond <= 0)
    return std::nullopt;
  std::size_t Needed = Bytes + keptFor(Bytes);
  for (const auto &Weak : queueOf(Bytes))
    if (const auto Other = Weak.lock())
      Needed += Other->Bytes;
  const std::size_t Missing = Needed - std::min(Needed, Account->available());
  return milliseconds(static_cast<std::int64_t>(static_cast<double>(Missing) /
                                                BytesPerSecond * 1e3));
}

std::size_t BodyAdmission::waiting() {
  std::size_t Out = 0;
  for (Queue &Waiting : Queues) {
    std::erase_if(Waiting, [](const auto &Weak) { return Weak.expired(); });
    Out += Waiting.size();
  }
  return Out;
}

void BodyAdmission::onRelease(std::size_t Bytes) {
  measure(Bytes);
  for (Queue &Waiting : Queues)
    serve(Waiting);
  clearFullIfFree();
}

void BodyAdmission::serve(Queue &Waiting) {
  while (!Waiting.empty()) {
    const auto First = Waiting.front().lock();
    if (First && !reserve(First->Memory, First->Bytes))
      return;
    Waiting.pop_front();
    if (!First)
      continue;
    First->Admitted = true;
    First->Wake();
  }
}

/// The rate is measured only while the account is full: at other times it shows
/// what arrives, not what could be given back.
void BodyAdmission::measure(std::size_t ReleasedBytes) {
  if (!Full || isSmall(ReleasedBytes))
    return;
  WindowBytes += ReleasedBytes;
  const std::chrono::duration<double> Elapsed = Time.now() - WindowStart;
  if (Elapsed < RateWindow)
    return;
  const double Rate = static_cast<double>(WindowBytes) / Elapsed.count();
  BytesPerSecond = BytesPerSecond > 0 ? (BytesPerSecond + Rate) / 2 : Rate;
  WindowBytes = 0;
  WindowStart = Time.now();
}

void BodyAdmission::setFull() {
  if (std::exchange(Full, true))
    return;
  BytesPerSecond = 0;
  WindowBytes = 0;
  WindowStart = Time.now();
  if (OnFull)
    OnFull(true);
}

void BodyAdmission::clearFullIfFree() {
  if (!Full || Account->reserved() > Account->limit() / 2 || waiting() > 0)
    return;
  Full = false;
  if (OnFull)
    OnFull(false);
}

} // namespace hyssoprail
