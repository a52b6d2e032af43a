// The last reason that goes with an empty std::optional.
//
//     failure reason;
//     const auto configuration = parseConfiguration(text, reason);
//     if (!configuration) {
//         report(reason.step, reason.peer, reason.reason);
//     }
#pragma once

#include <jujubespool/core/enum_names.h>
#include <string>

namespace jujubespool {

// The step of a request or of a control operation at which an error arose.
enum class failure_step { parse, authenticate, admit, queue, permit, claim, connect, exchange, answer, publish, log, peer, control };

template <> struct enum_names<failure_step>
{
    static constexpr std::array<std::string_view, 13> NAMES{ "parse",    "authenticate", "admit",   "queue", "permit", "claim",  "connect",
                                                             "exchange", "answer",       "publish", "log",   "peer",   "control" };
};

// What a caller is told of its work.
enum class outcome { ran, not_run, unknown };

template <> struct enum_names<outcome>
{
    static constexpr std::array<std::string_view, 3> NAMES{ "ran", "not-run", "unknown" };
};

struct failure
{
    failure_step step = failure_step::parse;
    // Host or address at which the error arose; empty for this process.
    std::string peer;
    std::string reason;
};

} // namespace jujubespool
