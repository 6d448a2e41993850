# godwit_fuzz_test(NAME SOURCES file... HEADERS dir... [LIBRARIES flag...]
#                  [SEED_INPUTS file...] RUNS count)
# Builds a libFuzzer target with AddressSanitizer from its sources, apart from
# the libraries of the main build, and runs a fixed number of inputs under
# ctest label fuzz. Longer runs: out/tests/NAME -runs=N.
find_program(CLANGXX_PROGRAM NAMES clang++ clang++-14 REQUIRED)

function(godwit_fuzz_test name)
  cmake_parse_arguments(ARG "" "RUNS" "SOURCES;HEADERS;LIBRARIES;SEED_INPUTS" ${ARGN})
  set(binary ${CMAKE_BINARY_DIR}/tests/${name})
  set(includes "")
  set(headers "")
  foreach(dir IN LISTS ARG_HEADERS)
    list(APPEND includes -I${dir})
    file(GLOB_RECURSE found CONFIGURE_DEPENDS ${dir}/*.h)
    list(APPEND headers ${found})
  endforeach()
  add_custom_command(
    OUTPUT ${binary}
    COMMAND ${CMAKE_COMMAND} -E make_directory ${CMAKE_BINARY_DIR}/tests
    COMMAND ${CLANGXX_PROGRAM} -std=c++17 -O1 -g1 -fsanitize=fuzzer,address
            ${includes} ${ARG_SOURCES} ${ARG_LIBRARIES} -o ${binary}
    DEPENDS ${ARG_SOURCES} ${headers}
    COMMENT "Building fuzz target ${name}"
    VERBATIM)
  add_custom_target(${name} ALL DEPENDS ${binary})
  list(JOIN ARG_SEED_INPUTS "," seeds)
  add_test(NAME ${name}
           COMMAND ${binary} -runs=${ARG_RUNS} -seed=1 -max_len=4096 -timeout=20
                   -rss_limit_mb=2048 -seed_inputs=${seeds}
           WORKING_DIRECTORY ${CMAKE_BINARY_DIR}/tests)
  set_tests_properties(${name} PROPERTIES LABELS fuzz TIMEOUT 300)
endfunction()
