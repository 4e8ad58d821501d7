#include "hyssoprail/process/limit_log_model.hpp"

#include <algorithm>

namespace hyssoprail {
namespace {

void apply(LimitView &To, const AccountChange &Change) {
  auto Accounts = std::make_shared<AccountLimits>(*To.Accounts);
  if (Change.Limit)
    (*Accounts)[Change.Account] = *Change.Limit;
  else
    Accounts->erase(Change.Account);
  To.Accounts = std::move(Accounts);
}

void apply(LimitView &To, const wire::Member &Member) {
  std::erase_if(To.Members, [&](const LimitMember &M) {
    return M.Incarnation == Member.incarnation();
  });
  if (!Member.gone())
    To.Members.push_back(
        {Member.incarnation(), Member.peer_address(), To.Version});
}

void apply(LimitView &To, const wire::TakeOver &TakeOver) {
  const LimitMember *Owner = To.member(TakeOver.owner());
  if (!Owner || Owner->JoinedOffset != TakeOver.joined_offset())
    return;
  for (int I = 0; I < TakeOver.shards_size(); ++I) {
    LimitShardOwner &Of = To.Owners[TakeOver.shards(I)];
    if (Of.Epoch == TakeOver.replaces(I))
      Of = {TakeOver.owner(), To.Version};
  }
}

} // namespace

std::uint64_t LimitLogModel::append(const std::string &OperationId,
                                    const Record &Body) {
  auto Next = std::make_shared<LimitView>(*Views.back());
  ++Next->Version;
  if (Operations.insert(OperationId).second)
    std::visit([&](const auto &Change) { apply(*Next, Change); }, Body);
  Views.push_back(std::move(Next));
  return end();
}

} // namespace hyssoprail
