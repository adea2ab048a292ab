# Third-party libraries, all from Debian packages.

find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(yaml-cpp REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(CLI11 REQUIRED)
if(QUETZALSHELF_DEVELOPMENT)
  find_package(doctest REQUIRED)
endif()
find_package(PkgConfig REQUIRED)
pkg_check_modules(HTTPLIB REQUIRED IMPORTED_TARGET cpp-httplib)

# Asio detects std::aligned_alloc only when a standard header came before its
# own, so that files would disagree on how its memory is freed.
add_library(quetzalshelf_asio INTERFACE)
target_compile_definitions(quetzalshelf_asio INTERFACE
  ASIO_STANDALONE ASIO_NO_DEPRECATED ASIO_HAS_STD_ALIGNED_ALLOC=1)
target_link_libraries(quetzalshelf_asio INTERFACE Threads::Threads)

# The flags of cpp-httplib decide the layout of its classes; they come from
# pkg-config so that the header and the library agree.
add_library(quetzalshelf_httplib INTERFACE)
target_link_libraries(quetzalshelf_httplib INTERFACE
  PkgConfig::HTTPLIB ssl crypto Threads::Threads)

add_library(quetzalshelf_easylogging STATIC
  /usr/include/easylogging++.cc
  ${CMAKE_CURRENT_LIST_DIR}/easylogging_storage.cc)
target_compile_definitions(quetzalshelf_easylogging PUBLIC
  ELPP_THREAD_SAFE ELPP_NO_DEFAULT_LOG_FILE ELPP_DISABLE_DEFAULT_CRASH_HANDLING)
target_compile_features(quetzalshelf_easylogging PUBLIC cxx_std_20)
target_link_libraries(quetzalshelf_easylogging PUBLIC Threads::Threads)
if(QUETZALSHELF_SANITIZERS)
  target_compile_options(quetzalshelf_easylogging PRIVATE
    -fsanitize=${QUETZALSHELF_SANITIZERS})
endif()
