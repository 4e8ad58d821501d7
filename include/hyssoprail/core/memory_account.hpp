#ifndef HYSSOPRAIL_CORE_MEMORY_ACCOUNT_HPP
#define HYSSOPRAIL_CORE_MEMORY_ACCOUNT_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <utility>

namespace hyssoprail {

class MemoryReservation;

/// Bytes that a process holds for others: requests being read, waiting and
/// running, and responses on their way. Used on one thread.
///
/// \code
///   const auto Account = std::make_shared<MemoryAccount>(64 * 1024 * 1024);
///   MemoryReservation Body(Account);
///   if (!Body.grow(Size))
///     return rejectForMemory();
/// \endcode
class MemoryAccount {
public:
  explicit MemoryAccount(std::size_t LimitBytes) : Limit(LimitBytes) {}
  MemoryAccount(const MemoryAccount &) = delete;
  MemoryAccount &operator=(const MemoryAccount &) = delete;

  std::size_t limit() const { return Limit; }
  std::size_t reserved() const { return Reserved; }
  std::size_t available() const {
    return Reserved < Limit ? Limit - Reserved : 0;
  }

  /// Sets a callback that runs when bytes were given back. It must not throw.
  void onRelease(std::function<void(std::size_t Bytes)> Callback) {
    Released = std::move(Callback);
  }

private:
  friend class MemoryReservation;

  bool reserve(std::size_t Bytes, std::size_t Kept) {
    if (Kept > available() || Bytes > available() - Kept)
      return false;
    Reserved += Bytes;
    return true;
  }
  void charge(std::size_t Bytes) { Reserved += Bytes; }
  void release(std::size_t Bytes) {
    Reserved -= Bytes;
    if (Released)
      Released(Bytes);
  }

  const std::size_t Limit;
  std::size_t Reserved = 0;
  std::function<void(std::size_t Bytes)> Released;
};

/// A part of a MemoryAccount, given back when it is destroyed.
class MemoryReservation {
public:
  /// Without an account, nothing bounds the reservation.
  explicit MemoryReservation(std::shared_ptr<MemoryAccount> Account = nullptr)
      : Account(std::move(Account)) {}
  MemoryReservation(MemoryReservation &&Other) noexcept
      : Bytes(std::exchange(Other.Bytes, 0)) {
    Account = Other.Account; // not moved: Other can be used again
  }
  MemoryReservation &operator=(MemoryReservation &&Other) noexcept {
    if (this == &Other)
      return *this;
    clear();
    Account = Other.Account; // not moved: Other can be used again
    Bytes = std::exchange(Other.Bytes, 0);
    return *this;
  }
  ~MemoryReservation() { clear(); }

  /// Reserves \p More bytes; returns false, and reserves none of them, if the
  /// account has no room for all and for \p Kept bytes besides.
  bool grow(std::size_t More, std::size_t Kept = 0) {
    if (Account && !Account->reserve(More, Kept))
      return false;
    Bytes += More;
    return true;
  }

  /// Reserves \p More bytes even if the account is full: for what cannot be
  /// refused any more.
  void charge(std::size_t More) {
    if (Account)
      Account->charge(More);
    Bytes += More;
  }

  void shrinkTo(std::size_t Size) {
    if (Size >= Bytes)
      return;
    const std::size_t Less = Bytes - Size;
    Bytes = Size;
    if (Account)
      Account->release(Less);
  }

  void clear() { shrinkTo(0); }

  std::size_t bytes() const { return Bytes; }

private:
  std::shared_ptr<MemoryAccount> Account;
  std::size_t Bytes = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_MEMORY_ACCOUNT_HPP
