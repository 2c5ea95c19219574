# limpet_library(NAME DEPENDS...): the library src/lib<name> from all its sources but tests and tools, and its one test
# program <name>_test from all its *_test.cpp files.
function(limpet_library name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    set(tests ${sources})
    list(FILTER sources EXCLUDE REGEX "_(test|bench)\\.cpp$")
    list(FILTER tests INCLUDE REGEX "_test\\.cpp$")
    add_library(limpet_${name} STATIC ${sources})
    target_include_directories(limpet_${name} PUBLIC ${CMAKE_SOURCE_DIR}/src/include)
    target_include_directories(limpet_${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(limpet_${name} PUBLIC ${ARGN})
    if(tests AND NOT LIMPET_NODE_ONLY)
        add_executable(${name}_test ${tests})
        target_include_directories(${name}_test PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
        target_link_libraries(${name}_test PRIVATE limpet_${name} GTest::gmock GTest::gtest GTest::gtest_main rapidcheck)
        # GoogleTest assertions are if-else statements; the style has no braces around single statements.
        target_compile_options(${name}_test PRIVATE -Wno-dangling-else)
        add_test(NAME ${name}_test COMMAND ${name}_test)
        set_tests_properties(${name}_test PROPERTIES TIMEOUT 1200)
    endif()
endfunction()

# limpet_program(NAME DEPENDS...): a program from all sources of its folder.
function(limpet_program name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_executable(${name} ${sources})
    target_include_directories(${name} PRIVATE ${CMAKE_CURRENT_SOURCE_DIR})
    target_link_libraries(${name} PRIVATE ${ARGN})
endfunction()
