#include "hyssoprail/process/debit_client.hpp"

namespace hyssoprail {

void DebitClient::add(PendingDebit Debit) {
  std::string Id = Debit.Id;
  Pending.emplace(std::move(Id), std::move(Debit));
}

PendingDebit *DebitClient::find(const std::string &Id) {
  const auto It = Pending.find(Id);
  return It == Pending.end() ? nullptr : &It->second;
}

std::vector<PendingDebit> DebitClient::takeExpired(TimePoint Now) {
  std::vector<PendingDebit> Out;
  std::erase_if(Pending, [&](auto &Row) {
    if (Row.second.Deadline > Now)
      return false;
    Out.push_back(std::move(Row.second));
    return true;
  });
  return Out;
}

std::vector<PendingDebit *> DebitClient::due(TimePoint Now) {
  std::vector<PendingDebit *> Out;
  for (auto &[Id, Debit] : Pending)
    if (Debit.NextSend <= Now)
      Out.push_back(&Debit);
  return Out;
}

} // namespace hyssoprail
