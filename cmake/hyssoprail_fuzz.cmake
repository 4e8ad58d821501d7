# Fuzz targets. With HYSSOPRAIL_FUZZ (scripts/fuzz.sh sets it, with clang) the
# targets are built with libFuzzer and sanitizers; else with a main that replays
# inputs, so that tests cover them with every compiler.

set(HYSSOPRAIL_FUZZ_TARGETS request response peer_message store settings)
set(HYSSOPRAIL_FUZZ_DIR ${PROJECT_SOURCE_DIR}/fuzz)

# CI runs each target this long, or this many inputs, from a fixed seed.
set(HYSSOPRAIL_FUZZ_SECONDS 5)
set(HYSSOPRAIL_FUZZ_RUNS 50000)

add_library(hyssoprail_fuzz_support STATIC
  ${HYSSOPRAIL_FUZZ_DIR}/support.cpp ${HYSSOPRAIL_FUZZ_DIR}/loopback.cpp
  ${HYSSOPRAIL_FUZZ_DIR}/finite.cpp ${HYSSOPRAIL_FUZZ_DIR}/request_framing.cpp
  ${PROJECT_SOURCE_DIR}/platform/fuzz/sent_request.cpp)
target_include_directories(hyssoprail_fuzz_support PUBLIC
  ${HYSSOPRAIL_FUZZ_DIR} ${PROJECT_SOURCE_DIR}/platform/fuzz ${PROJECT_SOURCE_DIR}/platform)
target_link_libraries(hyssoprail_fuzz_support PUBLIC hyssoprail_platform)
target_compile_options(hyssoprail_fuzz_support PRIVATE ${HYSSOPRAIL_WARNINGS})

# hyssoprail_fuzz_target(name)
# Builds fuzz/<name>_target.cpp or platform/fuzz/<name>_target.cpp into the
# program fuzz_<name>, and tests it with the inputs of fuzz/corpus/<name> and
# fuzz/regressions/<name>.
function(hyssoprail_fuzz_target Name)
  set(Source ${HYSSOPRAIL_FUZZ_DIR}/${Name}_target.cpp)
  if(NOT EXISTS ${Source})
    set(Source ${PROJECT_SOURCE_DIR}/platform/fuzz/${Name}_target.cpp)
  endif()
  add_executable(fuzz_${Name} ${Source})
  target_link_libraries(fuzz_${Name} PRIVATE hyssoprail_fuzz_support)
  target_compile_options(fuzz_${Name} PRIVATE ${HYSSOPRAIL_WARNINGS})
  if(HYSSOPRAIL_FUZZ)
    target_link_options(fuzz_${Name} PRIVATE -fsanitize=fuzzer)
    return()
  endif()
  target_sources(fuzz_${Name} PRIVATE ${HYSSOPRAIL_FUZZ_DIR}/replay_main.cpp)
  add_test(NAME fuzz_${Name}_regressions COMMAND fuzz_${Name}
    ${HYSSOPRAIL_FUZZ_DIR}/corpus/${Name} ${HYSSOPRAIL_FUZZ_DIR}/regressions/${Name})
  add_test(NAME fuzz_${Name} COMMAND ${PROJECT_SOURCE_DIR}/scripts/fuzz.sh check
    ${PROJECT_BINARY_DIR}-fuzz ${Name} ${HYSSOPRAIL_FUZZ_SECONDS}
    -seed=1 -runs=${HYSSOPRAIL_FUZZ_RUNS})
  set_tests_properties(fuzz_${Name}_regressions fuzz_${Name} PROPERTIES TIMEOUT 120)
endfunction()

foreach(Target ${HYSSOPRAIL_FUZZ_TARGETS})
  hyssoprail_fuzz_target(${Target})
endforeach()

if(HYSSOPRAIL_FUZZ)
  list(TRANSFORM HYSSOPRAIL_FUZZ_TARGETS PREPEND fuzz_ OUTPUT_VARIABLE Programs)
  add_custom_target(fuzz_all DEPENDS ${Programs})
endif()
