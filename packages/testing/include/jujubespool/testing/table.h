// Runs a parameterised Criterion test once for each row of a table.
//
// Criterion runs each test in a separate process with a different address layout, so a parameter must not
// contain a pointer. The parameter is therefore the index of the row, and the table is a constant of the
// test file:
//
//     ParameterizedTestParameters(unit, behaviour) { return rowsOf(CASES); }
//     ParameterizedTest(std::size_t *row, unit, behaviour) { const auto &testCase = CASES[*row]; ... }
#pragma once

#include <criterion/criterion.h>
#include <criterion/parameterized.h>
#include <cstddef>

namespace jujubespool {

// Returns the indices of all rows as test parameters.
template <typename Row, std::size_t COUNT> criterion_test_params rowsOf(const Row (&)[COUNT])
{
    static std::size_t indices[COUNT];
    for (std::size_t i = 0; i < COUNT; ++i) {
        indices[i] = i;
    }
    return criterion_test_params{ sizeof(std::size_t), indices, COUNT, nullptr };
}

} // namespace jujubespool
