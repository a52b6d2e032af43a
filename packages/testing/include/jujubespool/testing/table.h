// Parameterised tables for Criterion.
//
// Criterion runs each test in a process of its own at other addresses, so that a parameter must hold no
// pointer. The parameter is therefore the row's index, and the table a constant of the test file:
//
//     ParameterizedTestParameters(unit, behaviour) { return rowsOf(CASES); }
//     ParameterizedTest(std::size_t *row, unit, behaviour) { const auto &item = CASES[*row]; ... }
#pragma once

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstddef>

namespace jujubespool {

template <typename Row, std::size_t COUNT> criterion_test_params rowsOf(const Row (&)[COUNT])
{
    static std::size_t indices[COUNT];
    for (std::size_t i = 0; i < COUNT; ++i) {
        indices[i] = i;
    }
    return criterion_test_params{ sizeof(std::size_t), indices, COUNT, nullptr };
}

} // namespace jujubespool
