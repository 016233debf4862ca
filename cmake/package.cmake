include(GNUInstallDirs)
include(CMakePackageConfigHelpers)

find_package(Threads REQUIRED)

set(GERANIUMPULLEY_CMAKE_DIR ${CMAKE_INSTALL_LIBDIR}/cmake/geraniumpulley)

add_library(geraniumpulley_options INTERFACE)
target_compile_options(geraniumpulley_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
# cpprest's macro `U` breaks fmt and boost.
target_compile_definitions(geraniumpulley_options
                           INTERFACE _TURN_OFF_PLATFORM_STRING
                                     GERANIUMPULLEY_VERSION="${PROJECT_VERSION}")

# geraniumpulley_package(NAME [DEPENDS target...] [LINK library...])
# One library from src/*.cpp and one test program from tests/unit-*.cpp and the fake worlds
# that they share; `main.cpp` is left out.
function(geraniumpulley_package name)
  cmake_parse_arguments(PACKAGE "" "" "DEPENDS;LINK" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS src/*.cpp src/*/*.cpp)
  list(FILTER sources EXCLUDE REGEX "/main\\.cpp$")
  add_library(geraniumpulley_${name} STATIC ${sources})
  add_library(geraniumpulley::${name} ALIAS geraniumpulley_${name})
  set_target_properties(geraniumpulley_${name} PROPERTIES EXPORT_NAME ${name})
  target_compile_features(geraniumpulley_${name} PUBLIC cxx_std_20)
  target_include_directories(
    geraniumpulley_${name} PUBLIC $<BUILD_INTERFACE:${CMAKE_CURRENT_SOURCE_DIR}/include>
                                  $<INSTALL_INTERFACE:${CMAKE_INSTALL_INCLUDEDIR}>)
  target_link_libraries(
    geraniumpulley_${name}
    PUBLIC ${PACKAGE_DEPENDS} ${PACKAGE_LINK}
    PRIVATE $<BUILD_INTERFACE:geraniumpulley_options>)
  install(TARGETS geraniumpulley_${name} EXPORT geraniumpulley-${name}
          ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
  install(EXPORT geraniumpulley-${name} NAMESPACE geraniumpulley::
          DESTINATION ${GERANIUMPULLEY_CMAKE_DIR})
  install(DIRECTORY include/ DESTINATION ${CMAKE_INSTALL_INCLUDEDIR})

  file(GLOB tests CONFIGURE_DEPENDS tests/unit-*.cpp tests/*_simulation.cpp tests/*/unit-*.cpp
       tests/*/*_simulation.cpp)
  if(BUILD_TESTING AND tests)
    add_executable(test_${name} tests/main.cpp ${tests})
    target_include_directories(test_${name} PRIVATE src ${PROJECT_SOURCE_DIR}/tests/support)
    target_link_libraries(test_${name} PRIVATE geraniumpulley::${name} geraniumpulley_options rapidcheck)
    add_test(NAME unit-${name} COMMAND test_${name})
    # Property tests draw from this seed, so that a run gives the same verdict each time.
    set_tests_properties(unit-${name} PROPERTIES ENVIRONMENT "RC_PARAMS=seed=7")
  endif()
endfunction()

function(geraniumpulley_install_config)
  configure_package_config_file(
    cmake/geraniumpulley-config.cmake.in ${PROJECT_BINARY_DIR}/geraniumpulley-config.cmake
    INSTALL_DESTINATION ${GERANIUMPULLEY_CMAKE_DIR})
  write_basic_package_version_file(${PROJECT_BINARY_DIR}/geraniumpulley-config-version.cmake
                                   COMPATIBILITY SameMinorVersion)
  install(FILES ${PROJECT_BINARY_DIR}/geraniumpulley-config.cmake
                ${PROJECT_BINARY_DIR}/geraniumpulley-config-version.cmake
          DESTINATION ${GERANIUMPULLEY_CMAKE_DIR})
endfunction()
