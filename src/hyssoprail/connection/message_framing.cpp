#include "hyssoprail/connection/message_framing.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/predicate.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

namespace hyssoprail {
namespace {

using boost::algorithm::iequals;

constexpr unsigned Http10 = 10;
constexpr unsigned MinorVersions = 10; ///< of each major version

constexpr std::array<std::string_view, 6> DefectNames{
    "unknown_version",  "coding_in_http10", "coding_and_length",
    "chunked_not_last", "unknown_coding",   "lengthless_http10"};

/// The transfer codings of all fields in their order, empty ones too.
std::vector<std::string> transferCodings(const HttpHeaders &Headers) {
  std::vector<std::string> Out;
  for (const HttpHeader &H : Headers) {
    if (!iequals(H.Name, "Transfer-Encoding"))
      continue;
    std::vector<std::string> Codings;
    boost::algorithm::split(Codings, H.Value, boost::algorithm::is_any_of(","));
    for (std::string &Coding : Codings) {
      boost::algorithm::trim_if(Coding, boost::algorithm::is_any_of(" \t"));
      Out.push_back(std::move(Coding));
    }
  }
  return Out;
}

bool hasHeader(const HttpHeaders &Headers, std::string_view Name) {
  return std::any_of(Headers.begin(), Headers.end(), [&](const HttpHeader &H) {
    return iequals(H.Name, Name);
  });
}

bool isChunked(const std::string &Coding) { return iequals(Coding, "chunked"); }

std::optional<FramingDefect>
findCodingDefect(const std::vector<std::string> &Codings, bool ReadAsChunks) {
  const bool EndsWithChunked =
      isChunked(Codings.back()) && ReadAsChunks &&
      std::count_if(Codings.begin(), Codings.end(), isChunked) == 1;
  if (!EndsWithChunked)
    return FramingDefect::ChunkedNotLast;
  if (Codings.size() > 1)
    return FramingDefect::UnknownCoding;
  return std::nullopt;
}

} // namespace

std::string_view framingDefectName(FramingDefect Defect) {
  return DefectNames.at(static_cast<std::size_t>(Defect));
}

std::optional<FramingDefect> findFramingDefect(const MessageHead &Head) {
  if (Head.Version / MinorVersions != 1)
    return FramingDefect::UnknownVersion;
  const std::vector<std::string> Codings = transferCodings(Head.Headers);
  if (Codings.empty())
    return std::nullopt;
  if (Head.Version == Http10)
    return FramingDefect::CodingInHttp10;
  if (hasHeader(Head.Headers, "Content-Length"))
    return FramingDefect::CodingAndLength;
  return findCodingDefect(Codings, Head.ReadAsChunks);
}

std::optional<FramingDefect> findFramingDefect(const MessageHead &Head,
                                               std::string_view Method) {
  if (const auto Defect = findFramingDefect(Head))
    return Defect;
  const bool NeedsLength = Method == "POST" || Method == "PUT";
  if (Head.Version == Http10 && NeedsLength &&
      !hasHeader(Head.Headers, "Content-Length"))
    return FramingDefect::LengthlessHttp10;
  return std::nullopt;
}

Error framingError(FramingDefect Defect) {
  const std::string Name(framingDefectName(Defect));
  if (Defect == FramingDefect::UnknownCoding)
    return {ErrorKind::NotImplemented,
            "the request has a transfer coding other than chunked (" + Name +
                ")",
            "send the body with a length or in chunks, without another coding",
            "Transfer-Encoding",
            {}};
  return {ErrorKind::InvalidRequest,
          "the end of the request can't be told (" + Name + ")",
          "send the body with one Content-Length, or with HTTP/1.1 in chunks, "
          "as RFC 9112 describes in section 6",
          "",
          {}};
}

} // namespace hyssoprail
