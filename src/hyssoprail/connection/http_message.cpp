#include "hyssoprail/connection/http_message.hpp"

#include <boost/algorithm/string/predicate.hpp>

namespace hyssoprail {

std::string_view headerValue(const HttpHeaders &Headers,
                             std::string_view Name) {
  for (const HttpHeader &H : Headers)
    if (boost::algorithm::iequals(H.Name, Name))
      return H.Value;
  return {};
}

std::string_view HttpRequest::path() const {
  return std::string_view(Target).substr(0, Target.find('?'));
}

HttpResponse jsonResponse(unsigned Status, std::string Body) {
  return {Status, {{"Content-Type", "application/json"}}, std::move(Body)};
}

} // namespace hyssoprail
