# Adds the static library of one package under Source/: every .cpp file of the
# current folder. Further arguments are the libraries that it links.
function(vanillashunt_add_package name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/*.cpp)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${PROJECT_SOURCE_DIR}/Source)
    target_link_libraries(${name} PUBLIC ${ARGN})
endfunction()

# Lets a package that includes CAF or Beast share one precompiled header.
function(vanillashunt_use_heavy_headers name)
    target_link_libraries(${name} PRIVATE heavy_headers)
    if(PRECOMPILE_HEADERS)
        target_precompile_headers(${name} REUSE_FROM heavy_headers)
    endif()
endfunction()
