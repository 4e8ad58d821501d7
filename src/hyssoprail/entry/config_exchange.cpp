#include "hyssoprail/entry/config_exchange.hpp"

#include <spdlog/spdlog.h>

namespace hyssoprail::entry {
namespace {

/// Most records sent in one push; a receiver that misses some asks for them.
constexpr std::size_t MaxPushed = 512;

} // namespace

bool ConfigExchange::receive(const wire::Envelope &Message,
                             const Reply &Answer) {
  if (Message.has_config_request()) {
    const std::uint64_t After = Message.config_request().after_version();
    if (After >= Store.current()->version())
      return true;
    wire::Envelope Out;
    auto Found = Store.recordsAfter(After);
    if (auto *Records = std::get_if<wire::ConfigRecords>(&Found))
      *Out.mutable_config_records() = std::move(*Records);
    else
      *Out.mutable_config_snapshot() =
          std::move(std::get<wire::ConfigSnapshot>(Found));
    Answer(std::move(Out));
    return true;
  }
  if (Message.has_config_records()) {
    const auto &Records = Message.config_records().records();
    const BatchResult Result = Store.apply({Records.begin(), Records.end()});
    if (Result.Gap)
      compare(Result.Version + 1, Answer);
    return true;
  }
  if (Message.has_config_snapshot()) {
    if (Store.restore(Message.config_snapshot().state()))
      spdlog::info("[entry] Took version {} from {}.",
                   Store.current()->version(), Message.sender());
    return true;
  }
  return false;
}

void ConfigExchange::compare(std::uint64_t PeerVersion, const Reply &Answer) {
  const std::uint64_t Own = Store.current()->version();
  if (PeerVersion <= Own)
    return;
  wire::Envelope Out;
  Out.mutable_config_request()->set_after_version(Own);
  Answer(std::move(Out));
}

void ConfigExchange::push(const ConfigUpdate &Update, PeerLinks &Links) const {
  if (Update.Records.empty() || Update.Restored)
    return;
  wire::ConfigRecords Records;
  Records.set_after_version(Update.Records.front().offset() - 1);
  for (const wire::OffsetRecord &R : Update.Records) {
    if (static_cast<std::size_t>(Records.records_size()) == MaxPushed)
      break;
    wire::OffsetRecord &Copy = *Records.add_records();
    Copy.set_offset(R.offset());
    // A checkpoint says nothing new to a receiver that follows the records.
    if (!R.record().has_checkpoint())
      *Copy.mutable_record() = R.record();
  }
  for (const std::string &Address : Links.addresses()) {
    wire::Envelope Out;
    *Out.mutable_config_records() = Records;
    Links.send(Address, std::move(Out));
  }
}

} // namespace hyssoprail::entry
