# acacialug_module(NAME SOURCES... [LINK targets...]): one static library a
# module; include paths start at src/.
function(acacialug_module name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_library(acacialug_${name} STATIC ${ARG_SOURCES})
  target_include_directories(acacialug_${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(acacialug_${name} PUBLIC ${ARG_LINK})
endfunction()

# acacialug_test(NAME SOURCES... [LINK targets...]): one test program a
# module, run by CTest; its main comes from framework/testing.
function(acacialug_test name)
  if(NOT ACACIALUG_BUILD_TESTS)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name}_tests ${ARG_SOURCES})
  target_compile_definitions(${name}_tests PRIVATE
    ACACIALUG_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
  target_link_libraries(${name}_tests PRIVATE ${ARG_LINK} acacialug_testing_main)
  add_test(NAME ${name} COMMAND ${name}_tests)
  set_tests_properties(${name} PROPERTIES TIMEOUT 1200)
endfunction()
