#include "hyssoprail/process/call_outcomes.hpp"

namespace hyssoprail {

const CallRecord *CallOutcomes::find(const std::string &RequestId,
                                     const std::string &Claim) const {
  // A claim that ran under another request id outweighs this id's record.
  if (auto Known = RequestByClaim.find(Claim);
      !Claim.empty() && Known != RequestByClaim.end())
    if (auto It = Records.find(Known->second);
        It != Records.end() && It->second.Outcome != wire::CALL_OUTCOME_NOT_RUN)
      return &It->second;
  auto It = Records.find(RequestId);
  return It == Records.end() ? nullptr : &It->second;
}

void CallOutcomes::recordStart(const std::string &RequestId,
                               std::uint32_t Attempt, const std::string &Claim,
                               TimePoint Now) {
  CallRecord &Record = Records[RequestId];
  Record.Outcome = wire::CALL_OUTCOME_RUNNING;
  Record.Attempt = Attempt;
  Record.Claim = Claim;
  Record.At = Now;
  if (!Claim.empty())
    RequestByClaim[Claim] = RequestId;
}

void CallOutcomes::recordResult(const std::string &RequestId,
                                wire::CallOutcome Outcome,
                                wire::CallReply Reply, TimePoint Now) {
  auto It = Records.find(RequestId);
  if (It == Records.end())
    return;
  CallRecord &Record = It->second;
  Record.Outcome = Outcome;
  Record.At = Now;
  Record.Reply = std::move(Reply);
  Bytes += Record.Reply.body().size();
  Replies.push_back(RequestId);
  Ended.emplace_back(Now, RequestId);
  dropReplies();
}

void CallOutcomes::recordNotRun(const std::string &RequestId,
                                std::uint32_t Attempt, TimePoint Now) {
  CallRecord &Record = Records[RequestId];
  Record.Outcome = wire::CALL_OUTCOME_NOT_RUN;
  Record.Attempt = Attempt;
  Record.At = Now;
  Ended.emplace_back(Now, RequestId);
}

void CallOutcomes::expire(TimePoint Now) {
  while (!Ended.empty() && Now - Ended.front().first > Limits.Keep) {
    const auto [At, RequestId] = Ended.front();
    Ended.pop_front();
    auto It = Records.find(RequestId);
    // A later attempt of the same request has written the record anew.
    if (It == Records.end() || It->second.At != At ||
        It->second.Outcome == wire::CALL_OUTCOME_RUNNING)
      continue;
    Bytes -= It->second.Reply.body().size();
    if (auto Claim = RequestByClaim.find(It->second.Claim);
        Claim != RequestByClaim.end() && Claim->second == RequestId)
      RequestByClaim.erase(Claim);
    Records.erase(It);
  }
}

void CallOutcomes::dropReplies() {
  while (Bytes > Limits.ReplyBytes && !Replies.empty()) {
    auto It = Records.find(Replies.front());
    Replies.pop_front();
    if (It == Records.end() || It->second.Reply.body().empty())
      continue;
    Bytes -= It->second.Reply.body().size();
    It->second.Reply.Clear();
    It->second.Outcome = wire::CALL_OUTCOME_UNKNOWN;
  }
}

} // namespace hyssoprail
