// Answers callers' requests at the owner of the jobs.
//
//     job_api_handler desk(manager, codec, log);
//     desk.handle(call, now, wall, [](const http_reply &reply) { ... });
//
// Used for requests of its own callers and for those that other processes pass on.
#pragma once

#include <jujubespool/jobs/caller_codec.h>
#include <jujubespool/jobs/job_manager.h>
#include <jujubespool/manager/http_listener.h>

namespace jujubespool {

class job_api_handler
{
public:
    job_api_handler(job_manager &manager, const caller_codec &codec, event_log &log);

    void handle(const http_call &call, instant now, wall_ms wall, const http_reply_callback &reply);

private:
    void submit(const http_call &call, const queue_config &queue, const std::string &id, const std::string &team, instant now, wall_ms wall,
                const http_reply_callback &reply);

    job_manager &m_manager;
    const caller_codec &m_codec;
    event_log &m_log;
};

} // namespace jujubespool
