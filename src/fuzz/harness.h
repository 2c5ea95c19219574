#pragma once

// Entry point that every harness defines. Under libFuzzer (make fuzz) it gets coverage-guided inputs; in the usual
// build replay.cpp calls it with the corpus and a fixed series of mutations of it.

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>
#include <string_view>

// NOLINTBEGIN(readability-identifier-naming): the name is that of libFuzzer.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size);
// NOLINTEND(readability-identifier-naming)

namespace limpet::fuzz {

/// Ends the process if a condition that must hold for any input does not.
inline void require(bool condition, const char* what)
{
    if (condition)
        return;
    std::cerr << "violated: " << what << '\n';
    std::abort();
}

} // namespace limpet::fuzz
