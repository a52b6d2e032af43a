// Translates what callers, operators and workers write into the manager's types.
//
//     const job_parse_result parsed = codec.parseJob(body);
//     const operator_entry news = codec.parseOperatorEntry(entry);
//
// The forms are the platform's; an implementation lives with the platform's adapter.
#pragma once

#include <jujubespool/jobs/gateways.h>
#include <jujubespool/jobs/host_maintenance_controller.h>
#include <memory>

namespace jujubespool {

struct job_parse_result
{
    // Without id, queue and team, which the call names.
    std::optional<job_request> request;
    std::string reason;
};

struct operator_entry
{
    std::shared_ptr<const fleet_config> config;
    std::optional<host_maintenance_wave> wave;
};

class caller_codec
{
public:
    virtual ~caller_codec() = default;
    virtual job_parse_result parseJob(const std::string &body) const = 0;
    virtual std::string stateBody(job_state state) const = 0;
    virtual std::string pendingBody(int pending) const = 0;
    virtual std::string errorBody(const std::string &reason) const = 0;
    // The key that an Authorization header carries; empty when it carries none.
    virtual std::string keyOf(const std::string &authorization) const = 0;
    // Nothing for entries of other kinds or that cannot be read.
    virtual operator_entry parseOperatorEntry(const ledger_entry &entry) const = 0;
    virtual std::optional<worker_report> parseWorkerEntry(const ledger_entry &entry) const = 0;
};

} // namespace jujubespool
