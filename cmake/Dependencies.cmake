# Every outside library the project links, found in one place. All come from
# Debian packages; packages.txt lists them.
find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS context log system thread)
find_package(nlohmann_json 3.11 REQUIRED)
if(LYNXGLADE_TESTS)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
endif()
find_package(prometheus-cpp REQUIRED)
find_package(PkgConfig REQUIRED)
# The compile definitions of cpp-httplib change the layout of its classes, so
# every user has to take them from pkg-config.
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
find_library(CAF_CORE_LIBRARY caf_core REQUIRED)
find_package(benchmark QUIET)
