#include "hyssoprail/process/limit_log_model.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

void apply(LimitView &View, const AccountChange &Change) {
  auto Accounts = std::make_shared<AccountLimits>(*View.Accounts);
  if (Change.Limit)
    (*Accounts)[Change.Account] = *Change.Limit;
  else
    Accounts->erase(Change.Account);
  View.Accounts = std::move(Accounts);
}

void apply(LimitView &View, const wire::Member &Member) {
  std::erase_if(View.Members, [&](const LimitMember &M) {
    return M.Incarnation == Member.incarnation();
  });
  if (!Member.gone())
    View.Members.push_back(
        {Member.incarnation(), Member.peer_address(), View.Version});
}

void apply(LimitView &View, const wire::TakeOver &TakeOver) {
  const LimitMember *Owner = View.member(TakeOver.owner());
  if (!Owner || Owner->JoinedOffset != TakeOver.joined_offset())
    return;
  for (int I = 0; I < TakeOver.shards_size(); ++I) {
    LimitShardOwner &Current = View.Owners[TakeOver.shards(I)];
    if (Current.Epoch == TakeOver.replaces(I))
      Current = {TakeOver.owner(), View.Version};
  }
}

} // namespace

std::uint64_t LimitLogModel::append(const std::string &OperationId,
                                    const Record &Body) {
  auto Next = std::make_shared<LimitView>(*Views.back());
  ++Next->Version;
  if (AppliedOperations.insert(OperationId).second)
    std::visit([&](const auto &Change) { apply(*Next, Change); }, Body);
  Views.push_back(std::move(Next));
  return end();
}

} // namespace hyssoprail
