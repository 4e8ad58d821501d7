#include "hyssoprail/connection/server_exchange.hpp"

namespace hyssoprail {
namespace {

/// Unsent bytes of a stream for which it needs no room in the account. Only
/// what clients leave unread is cut when the account is full.
constexpr std::size_t UnboundedUnsentBytes = std::size_t{64} * 1024;

} // namespace

void ServerExchange::respond(HttpResponse Response) {
  std::lock_guard Lock(Mutex);
  if (Started || Aborted)
    return;
  Started = Finished = FullResponse = true;
  Head = std::move(Response);
  // A complete response is not refused: the request may have run.
  ResponseMemory.charge(Head.Body.size());
  wake();
}

void ServerExchange::begin(unsigned Status, HttpHeaders Headers) {
  std::lock_guard Lock(Mutex);
  if (Started || Aborted)
    return;
  Started = true;
  Head.Status = Status;
  Head.Headers = std::move(Headers);
  wake();
}

void ServerExchange::write(std::string Data) {
  std::lock_guard Lock(Mutex);
  if (!Started || Finished || Disconnected || Complete)
    return;
  const bool HasMemory = reserve(Data.size());
  if (Unsent.empty())
    Unsent = std::move(Data);
  else
    Unsent.append(Data);
  if (HasMemory && Unsent.size() <= MaxUnsentBytes)
    return wake();
  // The client does not read, so the connection would wait for it before it
  // ends.
  std::string().swap(Unsent);
  ResponseMemory.clear();
  Overflowed = Aborted = Finished = true;
  forceWake();
}

bool ServerExchange::reserve(std::size_t Bytes) {
  if (ResponseMemory.grow(Bytes))
    return true;
  if (Unsent.size() + Bytes > UnboundedUnsentBytes)
    return false;
  ResponseMemory.charge(Bytes);
  return true;
}

void ServerExchange::finish() {
  std::lock_guard Lock(Mutex);
  if (!Started || Finished)
    return;
  Finished = true;
  wake();
}

/// What was written before is kept: the connection sends it, without an end.
void ServerExchange::abort() {
  std::lock_guard Lock(Mutex);
  if (Finished)
    return;
  Aborted = Finished = true;
  forceWake();
}

void ServerExchange::onDisconnect(std::function<void()> Callback) {
  {
    std::lock_guard Lock(Mutex);
    if (Complete)
      return;
    if (!Disconnected) {
      DisconnectCallback = std::move(Callback);
      return;
    }
  }
  Callback();
}

std::size_t ServerExchange::unsentBytes() const {
  std::lock_guard Lock(Mutex);
  return Unsent.size();
}

ServerExchange::Update ServerExchange::takeUpdate() {
  std::lock_guard Lock(Mutex);
  WakePending = false;
  Update S{Started,      FullResponse, Finished, Aborted,
           Disconnected, Overflowed,   {}};
  S.Data.swap(Unsent);
  // The data of the update before has been sent.
  if (!FullResponse)
    ResponseMemory.shrinkTo(S.Data.size());
  return S;
}

bool ServerExchange::hasUpdate() const {
  std::lock_guard Lock(Mutex);
  return WakePending;
}

bool ServerExchange::cancelled() const {
  std::lock_guard Lock(Mutex);
  return Aborted || Disconnected;
}

void ServerExchange::disconnect() {
  std::function<void()> Callback;
  {
    std::lock_guard Lock(Mutex);
    if (Disconnected || Complete)
      return;
    Disconnected = true;
    Callback.swap(DisconnectCallback);
    forceWake();
  }
  if (Callback)
    Callback();
}

void ServerExchange::complete() {
  std::function<void()> Callback;
  std::function<void()> WakeCallback;
  std::lock_guard Lock(Mutex);
  Complete = true;
  ResponseMemory.clear();
  // Destroyed after the mutex is released, because they may hold the last
  // reference to this exchange.
  Callback.swap(DisconnectCallback);
  WakeCallback.swap(Wake);
}

void ServerExchange::wake() {
  if (WakePending || !Wake)
    return;
  WakePending = true;
  Wake();
}

/// Wakes the connection even if it has not taken the last update, because it
/// may be blocked in a write.
void ServerExchange::forceWake() {
  WakePending = false;
  wake();
}

} // namespace hyssoprail
