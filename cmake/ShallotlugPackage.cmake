include(GoogleTest)
include(ShallotlugFuzz)

# shallotlug_add_package(NAME
#   [DEPENDS package...]      other packages of this workspace, public
#   [LIBRARIES target...]     external libraries, public
#   [TEST_DEPENDS package...] packages that only the tests use
#   [TEST_LIBRARIES target...])
#
# Builds src/*.cc and src/*.c++ (generated Cap'n Proto code) into shallotlug_NAME and
# src/*_test.cc into NAME_test. Each src/*_fuzz.cc becomes a fuzz target (ShallotlugFuzz.cmake).
function(shallotlug_add_package name)
  cmake_parse_arguments(arg "" "" "DEPENDS;LIBRARIES;TEST_DEPENDS;TEST_LIBRARIES" ${ARGN})
  file(GLOB_RECURSE sources CONFIGURE_DEPENDS src/*.cc src/*.c++)
  set(test_sources ${sources})
  list(FILTER sources EXCLUDE REGEX "_(test|fuzz)\\.cc$")
  list(FILTER test_sources INCLUDE REGEX "_test\\.cc$")
  list(TRANSFORM arg_DEPENDS PREPEND "shallotlug::")
  list(TRANSFORM arg_TEST_DEPENDS PREPEND "shallotlug::")
  set(target shallotlug_${name})
  if(sources)
    add_library(${target} STATIC ${sources})
    target_include_directories(${target} PUBLIC include PRIVATE src)
    target_link_libraries(${target} PUBLIC ${arg_DEPENDS} ${arg_LIBRARIES})
    target_compile_options(${target} PRIVATE -Wall -Wextra -Wpedantic -Werror)
  else()
    add_library(${target} INTERFACE)
    target_include_directories(${target} INTERFACE include)
    target_link_libraries(${target} INTERFACE ${arg_DEPENDS} ${arg_LIBRARIES})
  endif()
  add_library(shallotlug::${name} ALIAS ${target})
  if(test_sources AND BUILD_TESTING)
    add_executable(${name}_test ${test_sources})
    target_include_directories(${name}_test PRIVATE src)
    target_compile_options(${name}_test PRIVATE -Wall -Wextra -Werror)
    target_link_libraries(${name}_test PRIVATE shallotlug::${name} ${arg_TEST_DEPENDS}
      ${arg_TEST_LIBRARIES} GTest::gtest GTest::gmock GTest::gtest_main)
    # Test sources may find their data files below this folder.
    target_compile_definitions(${name}_test PRIVATE
      SHALLOTLUG_SOURCE_DIR="${PROJECT_SOURCE_DIR}")
    gtest_discover_tests(${name}_test TEST_PREFIX "${name}." DISCOVERY_MODE PRE_TEST
      PROPERTIES TIMEOUT 300)
  endif()
  if(BUILD_TESTING)
    shallotlug_add_fuzz_targets(${name})
  endif()
endfunction()

# Adds each listed package that has a CMakeLists.txt.
function(shallotlug_packages)
  foreach(name IN LISTS ARGN)
    if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/packages/${name}/CMakeLists.txt)
      add_subdirectory(packages/${name})
    endif()
  endforeach()
endfunction()
