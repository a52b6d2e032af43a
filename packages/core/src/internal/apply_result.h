// Functions that create an apply_result. Only the source files of fleet_state include this file.
//
//     return known ? accept() : reject("unknown host {}", name);
#pragma once

#include <fmt/format.h>
#include <jujubespool/core/fleet_state.h>
#include <utility>

namespace jujubespool::internal {

inline apply_result accept()
{
    return {};
}

template <typename... Args> apply_result reject(fmt::format_string<Args...> text, Args &&...args)
{
    return { apply_verdict::rejected, fmt::format(text, std::forward<Args>(args)...) };
}

// Returns whether a host in this state is out of service.
inline bool isOutOfService(host_state state)
{
    return state != host_state::active;
}

} // namespace jujubespool::internal
