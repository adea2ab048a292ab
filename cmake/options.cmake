# Warnings, sanitizers and the helper that declares one library per folder.

add_library(quetzalshelf_options INTERFACE)
target_include_directories(quetzalshelf_options INTERFACE ${PROJECT_SOURCE_DIR})
target_compile_options(quetzalshelf_options INTERFACE
  -Wall -Wextra -Wpedantic -Wshadow -Werror
  # Designated initialisers leave the other members at their defaults.
  -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # GCC 12 raises false positives for `"literal" + std::to_string(n)` (PR105329).
  target_compile_options(quetzalshelf_options INTERFACE -Wno-restrict)
endif()

if(QUETZALSHELF_SANITIZERS)
  target_compile_options(quetzalshelf_options INTERFACE
    -fsanitize=${QUETZALSHELF_SANITIZERS} -fno-omit-frame-pointer
    -fno-sanitize-recover=all)
  target_link_options(quetzalshelf_options INTERFACE
    -fsanitize=${QUETZALSHELF_SANITIZERS})
  # The instrumented standard library headers raise false positives here.
  target_compile_options(quetzalshelf_options INTERFACE
    -Wno-maybe-uninitialized -Wno-tsan)
endif()
if(QUETZALSHELF_FUZZ)
  target_compile_options(quetzalshelf_options INTERFACE
    -fsanitize=fuzzer-no-link,address)
  target_link_options(quetzalshelf_options INTERFACE -fsanitize=address)
endif()

# quetzalshelf_library(name LINK libs... FOLDERS folders...): a static library
# of every source file in the current folder and in the folders named.
function(quetzalshelf_library name)
  cmake_parse_arguments(ARG "" "" "LINK;FOLDERS" ${ARGN})
  list(TRANSFORM ARG_FOLDERS APPEND "/*.cc")
  file(GLOB sources CONFIGURE_DEPENDS *.cc ${ARG_FOLDERS})
  if(sources)
    add_library(${name} STATIC ${sources})
    target_link_libraries(${name} PUBLIC quetzalshelf_options ${ARG_LINK})
  else()
    add_library(${name} INTERFACE)
    target_link_libraries(${name} INTERFACE quetzalshelf_options ${ARG_LINK})
  endif()
endfunction()
