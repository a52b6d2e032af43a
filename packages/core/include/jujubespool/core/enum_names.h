// Converts enumerators to names and names to enumerators.
//
//     template <> struct enum_names<color>
//     {
//         static constexpr std::array<std::string_view, 2> NAMES{ "red", "green" };
//     };
//     nameOf(color::green);   // "green"
//     valueOf<color>("red");  // color::red
//
// The values of the enumerators must start at 0 and follow the order of the table.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace jujubespool {

template <typename E> struct enum_names;

// Throws std::out_of_range when the value is not in the table.
template <typename E> constexpr std::string_view nameOf(E value)
{
    return enum_names<E>::NAMES.at(static_cast<std::size_t>(value));
}

// Returns std::nullopt when the name is not in the table.
template <typename E> constexpr std::optional<E> valueOf(std::string_view name)
{
    const auto &names = enum_names<E>::NAMES;
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == name) {
            return static_cast<E>(i);
        }
    }
    return std::nullopt;
}

} // namespace jujubespool
