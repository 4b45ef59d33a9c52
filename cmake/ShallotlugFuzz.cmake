option(SHALLOTLUG_LIBFUZZER "Link the fuzz targets with libFuzzer (needs clang++)" OFF)
set(SHALLOTLUG_CORPUS_MUTATIONS 3000 CACHE STRING "Mutations of each corpus file in the tests")

if(SHALLOTLUG_LIBFUZZER)
  # Instruments the libraries too, so that libFuzzer sees the branches of the parsers.
  add_compile_options(-fsanitize=fuzzer-no-link,address,undefined -fno-sanitize-recover=undefined
    -fno-omit-frame-pointer)
  add_link_options(-fsanitize=address,undefined)
endif()
add_custom_target(fuzz_targets)

# shallotlug_add_fuzz_targets(NAME)
#
# Builds each src/TARGET_fuzz.cc of a package into NAME_TARGET_fuzz. In the normal build it runs the
# files of corpus/TARGET and mutations of them, as the test NAME.corpus.TARGET; with
# SHALLOTLUG_LIBFUZZER it is a libFuzzer program.
function(shallotlug_add_fuzz_targets name)
  file(GLOB sources CONFIGURE_DEPENDS src/*_fuzz.cc)
  foreach(source IN LISTS sources)
    get_filename_component(target ${source} NAME_WE)
    string(REGEX REPLACE "_fuzz$" "" target ${target})
    set(program ${name}_${target}_fuzz)
    add_executable(${program} ${source})
    target_include_directories(${program} PRIVATE src)
    target_compile_options(${program} PRIVATE -Wall -Wextra -Wpedantic -Werror)
    target_link_libraries(${program} PRIVATE shallotlug::${name})
    add_dependencies(fuzz_targets ${program})
    if(SHALLOTLUG_LIBFUZZER)
      target_link_options(${program} PRIVATE -fsanitize=fuzzer)
    else()
      target_sources(${program} PRIVATE ${PROJECT_SOURCE_DIR}/packages/base/fuzz/corpus_runner.cc)
      add_test(NAME ${name}.corpus.${target}
        COMMAND ${program} ${CMAKE_CURRENT_SOURCE_DIR}/corpus/${target}
          ${SHALLOTLUG_CORPUS_MUTATIONS})
      set_tests_properties(${name}.corpus.${target} PROPERTIES TIMEOUT 300)
    endif()
  endforeach()
endfunction()
