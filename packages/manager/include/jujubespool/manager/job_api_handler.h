// Handles the callers' HTTP requests for jobs on the process that owns the jobs: submit, query and cancel.
//
//     job_api_handler handler(manager, codec, log);
//     handler.handle(call, now, wall, [](const http_reply &reply) { ... });
//
// It serves requests from callers of this process as well as requests that other processes forward.
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
