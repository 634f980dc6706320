# Helpers that give every library, program and test the same settings.

set(LYNX_WARNINGS -Wall -Wextra -Wno-unused-parameter)
if(LYNXGLADE_SANITIZE)
  add_compile_options(-O1 -fsanitize=address,undefined
                      -fno-omit-frame-pointer -fno-sanitize-recover=undefined)
  add_link_options(-fsanitize=address,undefined)
endif()
if(LYNXGLADE_TSAN)
  add_compile_options(-fsanitize=thread -fno-omit-frame-pointer)
  add_link_options(-fsanitize=thread)
endif()
if(LYNXGLADE_FUZZ)
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined
                      -fno-omit-frame-pointer -fno-sanitize-recover=undefined)
  add_link_options(-fsanitize=address,undefined)
endif()

# lynx_library(NAME SOURCES a.cc ... LINK libs ...)
# Headers are included from the source root: "request/router.h".
function(lynx_library name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;PRIVATE_LINK" ${ARGN})
  add_library(${name} STATIC ${ARG_SOURCES})
  target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_compile_options(${name} PRIVATE ${LYNX_WARNINGS})
  target_link_libraries(${name} PUBLIC ${ARG_LINK} PRIVATE ${ARG_PRIVATE_LINK})
endfunction()

# lynx_program(NAME SOURCES a.cc ... LINK libs ...)
function(lynx_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_include_directories(${name} PRIVATE ${PROJECT_SOURCE_DIR}/src
                             ${PROJECT_SOURCE_DIR}/tests)
  target_compile_options(${name} PRIVATE ${LYNX_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_LINK})
endfunction()

# lynx_test(NAME SOURCES a.cc ... LINK libs ...)
# One CTest case per binary. RapidCheck runs from a fixed seed, so that a run
# gives the same verdict every time.
# The target lynx_tests builds all of them but those under tests/system.
add_custom_target(lynx_tests)
# Property tests run as many cases as fit; sanitized ones are slower.
if(LYNXGLADE_SANITIZE OR LYNXGLADE_TSAN)
  set(LYNX_PROPERTY_CASES 30)
else()
  set(LYNX_PROPERTY_CASES 200)
endif()
function(lynx_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LINK" ${ARGN})
  lynx_program(${name} SOURCES ${ARG_SOURCES} LINK ${ARG_LINK}
               GTest::gtest GTest::gtest_main rapidcheck)
  add_test(NAME ${name} COMMAND ${name})
  if(NOT CMAKE_CURRENT_SOURCE_DIR MATCHES "tests/system$")
    add_dependencies(lynx_tests ${name})
  endif()
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT}
    ENVIRONMENT "RC_PARAMS=seed=20261202 max_success=${LYNX_PROPERTY_CASES}")
endfunction()
