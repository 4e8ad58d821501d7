#include "hyssoprail/connection/sse.hpp"

#include <utility>

namespace hyssoprail {
namespace {

constexpr std::string_view ByteOrderMark = "\xef\xbb\xbf";
constexpr std::string_view LineEnds = "\r\n";

} // namespace

std::string sseEvent(std::string_view Data, std::string_view Name) {
  std::string Out;
  Out.reserve(Data.size() + Name.size() + 24);
  if (!Name.empty())
    Out.append("event: ").append(Name).append("\n");
  for (;;) {
    const std::size_t End = Data.find_first_of(LineEnds);
    Out.append("data: ").append(Data.substr(0, End)).append("\n");
    if (End == std::string_view::npos)
      break;
    Data.remove_prefix(Data.substr(End).starts_with("\r\n") ? End + 2
                                                            : End + 1);
  }
  Out.append("\n");
  return Out;
}

Status SseReader::feed(std::string_view Chunk) {
  while (!Chunk.empty() && !Failed) {
    if (std::exchange(AfterCarriageReturn, false) && Chunk.front() == '\n') {
      Chunk.remove_prefix(1);
      continue;
    }
    const std::size_t End = Chunk.find_first_of(LineEnds);
    Line.append(Chunk.substr(0, End));
    Failed = Line.size() + Event.Data.size() > MaxEventBytes;
    if (End == std::string_view::npos || Failed)
      break;
    AfterCarriageReturn = Chunk[End] == '\r';
    Chunk.remove_prefix(End + 1);
    endLine();
  }
  if (!Failed)
    return std::monostate{};
  Line.clear();
  return Error{ErrorKind::TooLarge,
               "an event of the stream is larger than " +
                   std::to_string(MaxEventBytes) + " bytes",
               "check that the endpoint sends server-sent events",
               "",
               {}};
}

void SseReader::endLine() {
  const std::string FullLine = std::exchange(Line, {});
  std::string_view Text = FullLine;
  if (std::exchange(FirstLine, false) && Text.starts_with(ByteOrderMark))
    Text.remove_prefix(ByteOrderMark.size());
  if (Text.empty()) {
    InEvent = false;
    SseEvent Completed = std::exchange(Event, {});
    if (std::exchange(HasData, false))
      OnEvent(std::move(Completed));
    return;
  }
  if (Text.front() == ':')
    return;
  InEvent = true;
  const std::size_t Colon = Text.find(':');
  std::string_view Value;
  if (Colon != std::string_view::npos)
    Value = Text.substr(Colon + 1);
  if (Value.starts_with(' '))
    Value.remove_prefix(1);
  addField(Text.substr(0, Colon), Value);
}

void SseReader::addField(std::string_view Field, std::string_view Value) {
  if (Field == "event")
    Event.Name = Value;
  if (Field != "data")
    return;
  if (std::exchange(HasData, true))
    Event.Data += '\n';
  Event.Data += Value;
}

} // namespace hyssoprail
