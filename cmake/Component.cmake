# Compile options for every target of the project.
add_library(fuchsiaramp_options INTERFACE)
target_include_directories(fuchsiaramp_options INTERFACE ${CMAKE_SOURCE_DIR}/packages)
target_compile_options(fuchsiaramp_options INTERFACE -Wall -Wextra -Werror -Wshadow)
target_compile_definitions(fuchsiaramp_options INTERFACE BOOST_ASIO_NO_DEPRECATED BOOST_ALLOW_DEPRECATED_HEADERS)
if(FUCHSIARAMP_SANITIZE)
  target_compile_options(fuchsiaramp_options INTERFACE -fsanitize=address,undefined -fno-sanitize-recover=all)
  target_link_options(fuchsiaramp_options INTERFACE -fsanitize=address,undefined)
endif()

# Defines the component NAME of the package in this folder: a library from
# NAME.cc (header-only if that file does not exist) and a test from NAME_test.cc
# if that file exists. DEPS are the direct dependencies of the library, TEST_DEPS
# additional dependencies of the test, SOURCES additional source files of the
# library.
function(fuchsiaramp_component NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;TEST_DEPS;SOURCES" ${ARGN})
  set(target fr_${NAME})
  if(EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}.cc)
    add_library(${target} STATIC ${NAME}.cc ${ARG_SOURCES})
    target_link_libraries(${target} PUBLIC fuchsiaramp_options ${ARG_DEPS})
  else()
    add_library(${target} INTERFACE)
    target_link_libraries(${target} INTERFACE fuchsiaramp_options ${ARG_DEPS})
  endif()
  if(FUCHSIARAMP_TESTS AND EXISTS ${CMAKE_CURRENT_SOURCE_DIR}/${NAME}_test.cc)
    fuchsiaramp_test(${NAME}_test DEPS ${target} ${ARG_TEST_DEPS})
  endif()
endfunction()

# Defines a Boost.Test program NAME from NAME.cc and registers it with CTest. DEPS
# are its dependencies, ARGS its command line arguments.
function(fuchsiaramp_test NAME)
  cmake_parse_arguments(ARG "" "" "DEPS;ARGS" ${ARGN})
  add_executable(${NAME} ${NAME}.cc)
  target_compile_definitions(${NAME} PRIVATE BOOST_TEST_DYN_LINK)
  target_link_libraries(${NAME} PRIVATE fuchsiaramp_options ${ARG_DEPS} Boost::unit_test_framework)
  add_test(NAME ${NAME} COMMAND ${NAME} ${ARG_ARGS})
endfunction()
