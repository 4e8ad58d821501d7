# Helpers that declare the libraries, programs and tests of the project.

set(HYSSOPRAIL_WARNINGS -Wall -Wextra -Wpedantic -Wshadow=compatible-local)

# Catch2's main is compiled once and linked into every test program.
if(NOT HYSSOPRAIL_GATEWAY_ONLY)
  add_library(hyssoprail_catch_main OBJECT ${PROJECT_SOURCE_DIR}/tests/catch_main.cpp)
endif()

# Boost.Asio and Beast settings shared by all targets.
add_library(hyssoprail_common INTERFACE)
target_include_directories(hyssoprail_common INTERFACE
  ${PROJECT_SOURCE_DIR}/include ${PROJECT_SOURCE_DIR}/src)
target_compile_definitions(hyssoprail_common INTERFACE
  BOOST_ASIO_NO_DEPRECATED SPDLOG_COMPILED_LIB SPDLOG_FMT_EXTERNAL)
target_link_libraries(hyssoprail_common INTERFACE
  Boost::headers OpenSSL::Crypto nlohmann_json::nlohmann_json
  spdlog::spdlog fmt gflags zmq xxhash Threads::Threads)

# hyssoprail_library(name [DIRECTORY dir] [OWN_TEST_TAGS tag...] [DEPENDS lib...])
# Builds src/hyssoprail/<name>/*.cpp (or dir/*.cpp) into a library, and every *_test.cpp there into
# <name>_test. Test cases with a tag of OWN_TEST_TAGS run as a CTest test of their own, <name>_<tag>,
# beside the others.
function(hyssoprail_library Name)
  cmake_parse_arguments(ARG "" "DIRECTORY" "OWN_TEST_TAGS;DEPENDS" ${ARGN})
  set(Dir ${PROJECT_SOURCE_DIR}/src/hyssoprail/${Name})
  if(ARG_DIRECTORY)
    set(Dir ${ARG_DIRECTORY})
  endif()
  file(GLOB Sources CONFIGURE_DEPENDS ${Dir}/*.cpp)
  list(REMOVE_ITEM Sources ${Dir}/main.cpp)
  set(Tests ${Sources})
  list(FILTER Sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER Tests INCLUDE REGEX "_test\\.cpp$")
  list(TRANSFORM ARG_DEPENDS PREPEND hyssoprail_)
  if(Sources)
    add_library(hyssoprail_${Name} STATIC ${Sources})
    target_link_libraries(hyssoprail_${Name} PUBLIC hyssoprail_common ${ARG_DEPENDS})
    target_compile_options(hyssoprail_${Name} PRIVATE ${HYSSOPRAIL_WARNINGS})
  else()
    add_library(hyssoprail_${Name} INTERFACE)
    target_link_libraries(hyssoprail_${Name} INTERFACE hyssoprail_common ${ARG_DEPENDS})
  endif()
  if(Tests AND NOT HYSSOPRAIL_GATEWAY_ONLY)
    add_executable(${Name}_test ${Tests} $<TARGET_OBJECTS:hyssoprail_catch_main>)
    target_link_libraries(${Name}_test PRIVATE hyssoprail_${Name} rapidcheck)
    target_compile_options(${Name}_test PRIVATE ${HYSSOPRAIL_WARNINGS})
    set(TestNames ${Name})
    set(OtherTests "")
    foreach(Tag ${ARG_OWN_TEST_TAGS})
      string(APPEND OtherTests "~[${Tag}]")
      add_test(NAME ${Name}_${Tag} COMMAND ${Name}_test "[${Tag}]")
      list(APPEND TestNames ${Name}_${Tag})
    endforeach()
    add_test(NAME ${Name} COMMAND ${Name}_test ${OtherTests})
    set_tests_properties(${TestNames} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
  endif()
endfunction()

# hyssoprail_program(binary directory lib...)
# Builds src/hyssoprail/<directory>/*.cpp into a program; tests beside it form <binary>_test.
function(hyssoprail_program Binary Directory)
  set(Dir ${PROJECT_SOURCE_DIR}/src/hyssoprail/${Directory})
  file(GLOB Sources CONFIGURE_DEPENDS ${Dir}/*.cpp)
  set(Tests ${Sources})
  list(FILTER Sources EXCLUDE REGEX "_test\\.cpp$")
  list(FILTER Tests INCLUDE REGEX "_test\\.cpp$")
  set(Libraries ${ARGN})
  list(TRANSFORM Libraries PREPEND hyssoprail_)
  if(NOT Sources)
    return()
  endif()
  set(Main ${Dir}/main.cpp)
  list(REMOVE_ITEM Sources ${Main})
  add_executable(${Binary} ${Main})
  target_compile_options(${Binary} PRIVATE ${HYSSOPRAIL_WARNINGS})
  target_link_libraries(${Binary} PRIVATE ${Libraries})
  if(Sources)
    add_library(${Binary}_objects STATIC ${Sources})
    target_compile_options(${Binary}_objects PRIVATE ${HYSSOPRAIL_WARNINGS})
    target_link_libraries(${Binary}_objects PUBLIC ${Libraries})
    target_link_libraries(${Binary} PRIVATE ${Binary}_objects)
  endif()
  if(Tests)
    add_executable(${Binary}_test ${Tests} $<TARGET_OBJECTS:hyssoprail_catch_main>)
    target_compile_options(${Binary}_test PRIVATE ${HYSSOPRAIL_WARNINGS})
    target_link_libraries(${Binary}_test PRIVATE ${Binary}_objects ${Libraries} rapidcheck)
    add_test(NAME ${Binary} COMMAND ${Binary}_test)
    set_tests_properties(${Binary} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 600)
  endif()
endfunction()

# Builds every examples/*.cpp as a program of its own.
function(hyssoprail_examples)
  file(GLOB Examples CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/examples/*.cpp)
  foreach(Example ${Examples})
    get_filename_component(Name ${Example} NAME_WE)
    add_executable(example_${Name} ${Example})
    target_link_libraries(example_${Name} PRIVATE
      hyssoprail_request hyssoprail_connection hyssoprail_process)
  endforeach()
endfunction()

# Builds every bench/*_bench.cpp with Google Benchmark.
function(hyssoprail_benchmarks)
  file(GLOB Benches CONFIGURE_DEPENDS ${PROJECT_SOURCE_DIR}/bench/*_bench.cpp)
  foreach(Bench ${Benches})
    get_filename_component(Name ${Bench} NAME_WE)
    add_executable(${Name} ${Bench})
    target_link_libraries(${Name} PRIVATE benchmark
      hyssoprail_request hyssoprail_connection hyssoprail_process)
  endforeach()
endfunction()
