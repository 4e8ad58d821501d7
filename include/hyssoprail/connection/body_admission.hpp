#ifndef HYSSOPRAIL_CONNECTION_BODY_ADMISSION_HPP
#define HYSSOPRAIL_CONNECTION_BODY_ADMISSION_HPP

#include <array>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>

#include "hyssoprail/core/clock.hpp"
#include "hyssoprail/core/memory_account.hpp"

namespace hyssoprail {

/// A request that waits until a MemoryAccount has room for it.
struct WaitingBody {
  std::size_t Bytes = 0;
  bool Grows = false; ///< a part of it has been read already
  MemoryReservation Memory;
  bool Admitted = false;
  std::function<void()> Wake; ///< called when it is admitted; must not throw
};

/// Decides when the body of a request may be read. A request is admitted as a
/// whole, before its body is read, so that half-read bodies never wait for each
/// other. Large requests leave a share of the account to small ones and to
/// responses, and are admitted in the order of their arrival. Used on one
/// thread.
class BodyAdmission {
public:
  /// Requests up to this size count as small. Usual requests are shorter.
  static constexpr std::size_t SmallBytes = std::size_t{128} * 1024;

  /// \p OnFull is called with true when the first request waits or is refused,
  /// and with false when none waits and half of the account is free again.
  BodyAdmission(std::shared_ptr<MemoryAccount> Account, const Clock &Time,
                std::function<void(bool Full)> OnFull = {});
  ~BodyAdmission();
  BodyAdmission(const BodyAdmission &) = delete;
  BodyAdmission &operator=(const BodyAdmission &) = delete;

  const std::shared_ptr<MemoryAccount> &account() const { return Account; }

  /// Returns false if a request of \p Bytes would wait forever.
  bool fits(std::size_t Bytes) const;

  /// Reserves \p Bytes at once, unless there is no room or others wait.
  std::optional<MemoryReservation> admit(std::size_t Bytes);

  /// Appends a request to its queue, which it leaves when the returned object
  /// is destroyed. Returns nullptr if \p Grows is set and too many others wait
  /// in the same way: they hold memory while they wait.
  std::shared_ptr<WaitingBody> wait(std::size_t Bytes, bool Grows,
                                    std::function<void()> Wake);

  /// Returns how long a request of \p Bytes would wait behind those that wait,
  /// at the rate at which memory is given back; nullopt if it is not known.
  std::optional<milliseconds> expectedWait(std::size_t Bytes);

  std::size_t waiting();

private:
  using Queue = std::deque<std::weak_ptr<WaitingBody>>;

  bool isSmall(std::size_t Bytes) const { return Bytes <= SmallBytes; }
  Queue &queueOf(std::size_t Bytes) { return Queues[isSmall(Bytes) ? 0 : 1]; }
  std::size_t keptFor(std::size_t Bytes) const;
  bool reserve(MemoryReservation &Memory, std::size_t Bytes) const;
  void onRelease(std::size_t Bytes);
  void serve(Queue &Waiting);
  void measure(std::size_t ReleasedBytes);
  void setFull();
  void clearFullIfFree();

  const std::shared_ptr<MemoryAccount> Account;
  const Clock &Time;
  const std::function<void(bool Full)> OnFull;
  std::array<Queue, 2> Queues; ///< of small and large requests
  bool Full = false;
  double BytesPerSecond = 0; ///< given back by large requests; 0: not known
  std::size_t WindowBytes = 0;
  TimePoint WindowStart{};
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CONNECTION_BODY_ADMISSION_HPP
