#include "hyssoprail/process/pending_debit_table.hpp"

namespace hyssoprail {

void PendingDebitTable::add(PendingDebit Debit) {
  std::string Id = Debit.Id;
  Pending.emplace(std::move(Id), std::move(Debit));
}

PendingDebit *PendingDebitTable::find(const std::string &Id) {
  const auto It = Pending.find(Id);
  return It == Pending.end() ? nullptr : &It->second;
}

std::vector<PendingDebit> PendingDebitTable::takeExpired(TimePoint Now) {
  std::vector<PendingDebit> Result;
  std::erase_if(Pending, [&](auto &Item) {
    if (Item.second.Deadline > Now)
      return false;
    Result.push_back(std::move(Item.second));
    return true;
  });
  return Result;
}

std::vector<PendingDebit *> PendingDebitTable::due(TimePoint Now) {
  std::vector<PendingDebit *> Result;
  for (auto &[Id, Debit] : Pending)
    if (Debit.NextSend <= Now)
      Result.push_back(&Debit);
  return Result;
}

} // namespace hyssoprail
