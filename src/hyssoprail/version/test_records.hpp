#ifndef HYSSOPRAIL_VERSION_TEST_RECORDS_HPP
#define HYSSOPRAIL_VERSION_TEST_RECORDS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "hyssoprail/wire/hyssoprail.pb.h"

namespace hyssoprail::testing {

inline wire::LogRecord record(std::string OperationId) {
  wire::LogRecord R;
  R.set_operation_id(std::move(OperationId));
  return R;
}

inline wire::Object accountObject(std::string Name, double Rate = 100) {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_ACCOUNT);
  O.set_name(Name);
  O.mutable_account()->set_name(Name);
  O.mutable_account()->set_rate(Rate);
  O.mutable_account()->set_burst(Rate);
  return O;
}

inline wire::Object keyObject(std::string Id, std::string Account,
                              char Digit = 'a') {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_KEY);
  O.set_name(Id);
  O.mutable_key()->set_id(Id);
  O.mutable_key()->set_account(Account);
  O.mutable_key()->set_digest(std::string(64, Digit));
  return O;
}

inline wire::Object zoneObject(std::string Name, bool Out = false) {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_ZONE);
  O.set_name(Name);
  O.mutable_zone()->set_name(Name);
  O.mutable_zone()->set_out(Out);
  (*O.mutable_zone()->mutable_labels())["power"] = "green";
  return O;
}

inline wire::Object vmObject(std::string Name, std::string Zone) {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_VM);
  O.set_name(Name);
  O.mutable_vm()->set_name(Name);
  O.mutable_vm()->set_zone(Zone);
  (*O.mutable_vm()->mutable_labels())["disk"] = "ssd";
  (*O.mutable_vm()->mutable_labels())["age"] = "new";
  return O;
}

inline wire::Object poolObject(std::string Name, std::string Model) {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_POOL);
  O.set_name(Name);
  O.mutable_pool()->set_name(Name);
  O.mutable_pool()->set_model(Model);
  O.mutable_pool()->set_kind(Model.empty() ? wire::POOL_KIND_SERVICE
                                           : wire::POOL_KIND_ENGINE);
  return O;
}

inline wire::Object endpointObject(std::string Name, std::string Pool,
                                   wire::EndpointRole Role, std::string Vm) {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_ENDPOINT);
  O.set_name(Name);
  O.mutable_endpoint()->set_name(Name);
  O.mutable_endpoint()->set_pool(Pool);
  O.mutable_endpoint()->set_role(Role);
  O.mutable_endpoint()->set_vm(Vm);
  O.mutable_endpoint()->set_agent_address("tcp://127.0.0.1:1");
  return O;
}

inline wire::Object routeObject(std::string Name, std::string Pool,
                                std::string Model, std::string Prefix) {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_ROUTE);
  O.set_name(Name);
  O.mutable_route()->set_name(Name);
  O.mutable_route()->set_pool(Pool);
  O.mutable_route()->set_model(Model);
  O.mutable_route()->set_path_prefix(Prefix);
  return O;
}

inline wire::Object selectorObject(std::string Name, std::string Account,
                                   std::string Expression) {
  wire::Object O;
  O.set_kind(wire::OBJECT_KIND_SELECTOR);
  O.set_name(Name);
  O.mutable_selector()->set_name(Name);
  O.mutable_selector()->set_account(Account);
  O.mutable_selector()->set_expression(Expression);
  return O;
}

inline wire::LogRecord change(std::string OperationId, wire::Object Object,
                              std::uint64_t Base = 0, bool Remove = false) {
  wire::LogRecord R = record(std::move(OperationId));
  *R.mutable_change()->mutable_object() = std::move(Object);
  R.mutable_change()->set_base_version(Base);
  R.mutable_change()->set_remove(Remove);
  return R;
}

inline wire::LogRecord member(std::string OperationId,
                              std::uint64_t Incarnation, std::string Name) {
  wire::LogRecord R = record(std::move(OperationId));
  R.mutable_member()->set_incarnation(Incarnation);
  R.mutable_member()->set_name(std::move(Name));
  return R;
}

inline wire::LogRecord takeOver(std::string OperationId, std::uint64_t Owner,
                                std::uint32_t Shard, std::uint64_t Replaces) {
  wire::LogRecord R = record(std::move(OperationId));
  R.mutable_take_over()->set_owner(Owner);
  R.mutable_take_over()->add_shards(Shard);
  R.mutable_take_over()->add_replaces(Replaces);
  return R;
}

inline wire::LogRecord claim(std::string Id, std::string RequestId,
                             std::int64_t UnixMs) {
  wire::LogRecord R = record("claim-" + RequestId);
  R.set_unix_ms(UnixMs);
  R.mutable_claim()->set_claim_id(std::move(Id));
  R.mutable_claim()->set_request_id(std::move(RequestId));
  return R;
}

inline wire::LogRecord outcome(std::string Id, unsigned Status) {
  wire::LogRecord R = record("outcome-" + Id);
  R.mutable_claim_outcome()->set_claim_id(std::move(Id));
  R.mutable_claim_outcome()->mutable_reply()->set_status(Status);
  return R;
}

inline wire::LogRecord agentLease(std::string OperationId, std::string Endpoint,
                                  std::uint64_t Incarnation) {
  wire::LogRecord R = record(std::move(OperationId));
  R.mutable_agent_lease()->set_endpoint(std::move(Endpoint));
  R.mutable_agent_lease()->set_incarnation(Incarnation);
  return R;
}

/// Numbers records from offset 1.
inline std::vector<wire::OffsetRecord>
numbered(std::vector<wire::LogRecord> Records) {
  std::vector<wire::OffsetRecord> Out(Records.size());
  for (std::size_t I = 0; I < Records.size(); ++I) {
    Out[I].set_offset(I + 1);
    *Out[I].mutable_record() = std::move(Records[I]);
  }
  return Out;
}

/// A small fleet: one zone, one VM, an engine pool, a service pool, routes.
inline std::vector<wire::LogRecord> fleet() {
  return {
      change("z", zoneObject("a")),
      change("v", vmObject("vm1", "a")),
      change("acc", accountObject("acme")),
      change("k", keyObject("k1", "acme")),
      change("p", poolObject("chat", "m")),
      change("s", poolObject("shop", "")),
      change("e1",
             endpointObject("d1", "chat", wire::ENDPOINT_ROLE_DECODE, "vm1")),
      change("e2",
             endpointObject("s1", "shop", wire::ENDPOINT_ROLE_SERVICE, "vm1")),
      change("r1", routeObject("chat", "chat", "m", "")),
      change("r2", routeObject("orders", "shop", "", "/orders")),
  };
}

} // namespace hyssoprail::testing

#endif // HYSSOPRAIL_VERSION_TEST_RECORDS_HPP
