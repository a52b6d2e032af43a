// Converts between the manager's types and the text formats that callers, operators and workers use.
//
//     const job_parse_result parsed = codec.parseJob(body);
//     const operator_entry parsedEntry = codec.parseOperatorEntry(entry);
//
// The platform defines the formats, so the implementation is part of the platform's adapter.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/host_maintenance_controller.h>
#include <memory>

namespace jujubespool {

struct job_parse_result
{
    // Empty if the body is invalid. The id, queue and team are not set: they come from the call itself.
    std::optional<job_request> request;
    // Why the body is invalid.
    std::string reason;
};

// Operators ask that no task starts in a data centre any more, or take that back.
struct evacuation_request
{
    std::string dataCenter;
    bool evacuate = true;
};

// What an entry in the operators' feed contains, or what its removal takes back.
struct operator_entry
{
    std::shared_ptr<const fleet_config> config;
    std::optional<host_maintenance_wave> wave;
    std::optional<evacuation_request> evacuation;
    // Why the entry is refused; what the former one says stays in force. An evacuation holds whatever its entry says beside it.
    std::string problem;
};

class caller_codec
{
public:
    virtual ~caller_codec() = default;
    virtual job_parse_result parseJob(const std::string &body) const = 0;
    virtual std::string stateBody(job_state state) const = 0;
    virtual std::string pendingBody(int pending) const = 0;
    virtual std::string errorBody(const std::string &reason) const = 0;
    // The API key in the value of an Authorization header; empty if there is none.
    virtual std::string keyOf(const std::string &authorization) const = 0;
    // All parts are empty for entries of other kinds; config and wave also for entries with a problem.
    virtual operator_entry parseOperatorEntry(const ledger_entry &entry) const = 0;
    // Empty if the entry cannot be parsed.
    virtual std::optional<worker_report> parseWorkerEntry(const ledger_entry &entry) const = 0;
};

} // namespace jujubespool
