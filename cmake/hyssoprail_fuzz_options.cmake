# Options of a build of the fuzz targets: sanitizers, and no sources that no target needs, as each of
# them takes some seconds to compile. A target that needs one fails to link; take it off the list then.

# -O2 takes longer to compile, and it removes some faults before a sanitizer can see them.
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -gline-tables-only")
set(Sanitizers address,undefined,float-cast-overflow)
# The check of function types exists on x86-64 only, and clang 14 cannot assemble it for coroutines.
add_compile_options(-fsanitize=fuzzer-no-link,${Sanitizers} -fno-sanitize=function -fno-sanitize-recover=all)
add_link_options(-fsanitize=${Sanitizers})

set(HYSSOPRAIL_LEAVE_OUT_version ".*")
set(HYSSOPRAIL_LEAVE_OUT_connection "http_client|peer_link|platform_client|zmq_bus")
set(HYSSOPRAIL_LEAVE_OUT_routing "call_flow|stream_flow")
set(HYSSOPRAIL_LEAVE_OUT_gateway
  "event_loop|gateway_runtime|peer_socket|request_session|stage_orders|start_limits")
string(JOIN "|" HYSSOPRAIL_LEAVE_OUT_process
  admin_api agent call_outcomes cold_start debt_history endpoint_view engine_orders fair_queue fixed_limits
  invariants limit_ log membership object_json owner_limits pending_debit promise read_lease retry_budget
  schedul settings shard_ledger stored_agent take_over timeline token_bucket window_check work_key)
