// Describes why an operation failed. Functions that return an empty std::optional fill it in.
//
//     failure reason;
//     const auto state = fleet_state::load(image, reason);
//     if (!state) {
//         report(reason.step, reason.peer, reason.reason);
//     }
#pragma once

#include <jujubespool/core/enum_names.h>
#include <string>

namespace jujubespool {

// The step of a request or of a control operation that failed.
enum class failure_step { parse, authenticate, admit, queue, permit, claim, connect, exchange, answer, publish, log, peer, control };

template <> struct enum_names<failure_step>
{
    static constexpr std::array<std::string_view, 13> NAMES{ "parse",    "authenticate", "admit",   "queue", "permit", "claim",  "connect",
                                                             "exchange", "answer",       "publish", "log",   "peer",   "control" };
};

// The outcome of a request as reported to its caller.
enum class outcome { ran, not_run, unknown };

template <> struct enum_names<outcome>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "ran", "not-run", "unknown" };
};

struct failure
{
    failure_step step = failure_step::parse;
    // Host or address where the error occurred; empty for this process.
    std::string peer;
    // Error message.
    std::string reason;
};

} // namespace jujubespool
