#ifndef HYSSOPRAIL_CORE_MEMORY_ACCOUNT_HPP
#define HYSSOPRAIL_CORE_MEMORY_ACCOUNT_HPP

#include <cstddef>
#include <utility>

namespace hyssoprail {

class MemoryReservation;

/// Bytes that a process holds for others: requests being read, waiting and
/// running, and responses on their way. Used on one thread.
///
/// \code
///   MemoryAccount Account(64 * 1024 * 1024);
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
  std::size_t available() const { return Limit - Reserved; }

private:
  friend class MemoryReservation;

  bool reserve(std::size_t Bytes) {
    if (Bytes > available())
      return false;
    Reserved += Bytes;
    return true;
  }
  void release(std::size_t Bytes) { Reserved -= Bytes; }

  const std::size_t Limit;
  std::size_t Reserved = 0;
};

/// A part of a MemoryAccount, given back when it is destroyed. The account must
/// outlive it.
class MemoryReservation {
public:
  MemoryReservation() = default;
  explicit MemoryReservation(MemoryAccount &Account) : Account(&Account) {}
  MemoryReservation(MemoryReservation &&Other) noexcept
      : Account(Other.Account), Bytes(std::exchange(Other.Bytes, 0)) {}
  MemoryReservation &operator=(MemoryReservation &&Other) noexcept {
    if (this == &Other)
      return *this;
    clear();
    Account = Other.Account;
    Bytes = std::exchange(Other.Bytes, 0);
    return *this;
  }
  ~MemoryReservation() { clear(); }

  /// Reserves \p More bytes; returns false, and reserves none of them, if the
  /// account has no room for all.
  bool grow(std::size_t More) {
    if (Account && !Account->reserve(More))
      return false;
    Bytes += More;
    return true;
  }

  void shrinkTo(std::size_t Size) {
    if (Size >= Bytes)
      return;
    if (Account)
      Account->release(Bytes - Size);
    Bytes = Size;
  }

  void clear() { shrinkTo(0); }

  std::size_t bytes() const { return Bytes; }

private:
  MemoryAccount *Account = nullptr; ///< nullptr: nothing bounds it
  std::size_t Bytes = 0;
};

} // namespace hyssoprail

#endif // HYSSOPRAIL_CORE_MEMORY_ACCOUNT_HPP
