#include "hyssoprail/connection/server_exchange.hpp"

namespace hyssoprail {

void ServerExchange::respond(HttpResponse Response) {
  std::lock_guard Lock(Mutex);
  if (Started)
    return;
  Started = Finished = Whole = true;
  Head = std::move(Response);
  wake();
}

void ServerExchange::begin(unsigned Status, HttpHeaders Headers) {
  std::lock_guard Lock(Mutex);
  if (Started)
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
  if (Unsent.empty())
    Unsent = std::move(Data);
  else
    Unsent.append(Data);
  if (Unsent.size() <= MaxUnsentBytes)
    return wake();
  Aborted = Finished = true;
  wakeUrgently();
}

void ServerExchange::finish() {
  std::lock_guard Lock(Mutex);
  if (!Started || Finished)
    return;
  Finished = true;
  wake();
}

void ServerExchange::abort() {
  std::lock_guard Lock(Mutex);
  Aborted = Started = Finished = true;
  wakeUrgently();
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

ServerExchange::Step ServerExchange::takeStep() {
  std::lock_guard Lock(Mutex);
  Woken = false;
  Step S{Started, Whole, Finished, Aborted, Disconnected, {}};
  S.Data.swap(Unsent);
  return S;
}

bool ServerExchange::woken() const {
  std::lock_guard Lock(Mutex);
  return Woken;
}

bool ServerExchange::broken() const {
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
    wakeUrgently();
  }
  if (Callback)
    Callback();
}

void ServerExchange::complete() {
  std::function<void()> Callback;
  std::function<void()> Waker;
  std::lock_guard Lock(Mutex);
  Complete = true;
  // Destroyed after the lock is released: they may hold the last reference to
  // this exchange.
  Callback.swap(DisconnectCallback);
  Waker.swap(Wake);
}

void ServerExchange::wake() {
  if (Woken || !Wake)
    return;
  Woken = true;
  Wake();
}

/// Wakes the connection even if it has not yet taken the last step, because it
/// may be held up by a write.
void ServerExchange::wakeUrgently() {
  Woken = false;
  wake();
}

} // namespace hyssoprail
