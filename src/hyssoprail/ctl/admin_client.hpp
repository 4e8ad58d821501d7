#ifndef HYSSOPRAIL_CTL_ADMIN_CLIENT_HPP
#define HYSSOPRAIL_CTL_ADMIN_CLIENT_HPP

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "hyssoprail/connection/http_message.hpp"
#include "hyssoprail/core/random.hpp"
#include "hyssoprail/core/result.hpp"
#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail::ctl {

using Json = nlohmann::json;

/// Sends one request to an entry and waits for the answer.
using Transport = std::function<Result<HttpResponse>(const HttpRequest &)>;

/// Makes a transport over HTTP to "IP:PORT".
Transport makeHttpTransport(const std::string &Authority,
                            std::chrono::milliseconds Timeout);

/// One change of an object.
struct ChangeRequest {
  wire::ObjectKind Kind = wire::OBJECT_KIND_UNSPECIFIED;
  std::string Name;
  std::uint64_t BaseVersion = 0; ///< 0: create
  bool Remove = false;
  Json Value = Json::object();
  std::string OperationId = {}; ///< empty: a new one
};

/// Result of a change that was accepted.
struct ChangeResult {
  std::uint64_t Version = 0;
  std::string Key; ///< plain key, if one was issued
};

/// Calls of the admin API.
class AdminClient {
public:
  /// \p Pause waits between two attempts.
  AdminClient(Transport Send, std::string Token, RandomSource &Random,
              std::function<void(std::chrono::milliseconds)> Pause);

  /// All objects, or those of one kind, in the form of the admin API.
  Result<std::vector<Json>> objects(std::optional<wire::ObjectKind> Kind);

  /// One object; null if there is none.
  Result<Json> object(wire::ObjectKind Kind, const std::string &Name);

  /// Makes a change. If the answer is lost, the request is sent again with the
  /// same operation id, so the change is made once. If it stays unknown whether
  /// the change was made, the error's remedy names the operation id.
  Result<ChangeResult> change(const ChangeRequest &Change);

  Result<Json> status();

  /// Waits between two polls.
  void pause(std::chrono::milliseconds Time) { Pause(Time); }

private:
  Result<Json> get(const std::string &Target);
  Result<Json> send(const HttpRequest &Request, bool &MayHaveRun);

  Transport Send;
  std::string Token;
  RandomSource &Random;
  std::function<void(std::chrono::milliseconds)> Pause;
};

} // namespace hyssoprail::ctl

#endif // HYSSOPRAIL_CTL_ADMIN_CLIENT_HPP
