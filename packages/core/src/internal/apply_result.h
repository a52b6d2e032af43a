// Short forms for the results of applying a record. For the sources of fleet_state only.
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

// Whether a host in this state is out of service.
inline bool isOut(host_state state)
{
    return state != host_state::active;
}

} // namespace jujubespool::internal
