#include <jujubespool/manager/job_api_handler.h>

#include <algorithm>

namespace jujubespool {

namespace {

constexpr int STATUS_OK = 200;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_UNAUTHORIZED = 401;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_BAD_METHOD = 405;
constexpr int STATUS_GONE = 410;
constexpr int STATUS_TOO_LARGE = 413;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr unsigned RETRY_AFTER_S = 1;
constexpr std::size_t JOB_ID_DIGITS = 16;

bool isJobId(const std::string &text)
{
    return text.size() == JOB_ID_DIGITS && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

} // namespace

job_api_handler::job_api_handler(job_manager &manager, const caller_codec &codec, event_log &log)
    : m_manager(manager)
    , m_codec(codec)
    , m_log(log)
{
}

void job_api_handler::handle(const http_call &call, instant now, wall_ms wall, const http_reply_callback &reply)
{
    const fleet_model &model = m_manager.model();
    const auto refuse = [&](int status, const std::string &reason) {
        m_log.write("refused", { { "call", call.method + " " + call.path }, { "status", std::to_string(status) }, { "reason", reason } });
        m_log.count("refusals_total", std::to_string(status));
        reply({ status, m_codec.errorBody(reason), "application/json", status == STATUS_UNAVAILABLE ? RETRY_AFTER_S : 0U });
    };
    if (!model.configured()) {
        refuse(STATUS_UNAVAILABLE, "no configuration yet");
        return;
    }
    const std::string path = call.path.substr(0, call.path.find('?'));
    const queue_config *queue = model.config().queueFor(call.host, path);
    if (queue == nullptr) {
        refuse(STATUS_NOT_FOUND, "no such queue");
        return;
    }
    const team_config *team = model.config().teamOfKey(m_codec.keyOf(call.authorization));
    if (team == nullptr && !queue->allowsAnonymous) {
        refuse(STATUS_UNAUTHORIZED, "unknown key");
        return;
    }
    const std::string id = path.substr(queue->pathPrefix.size());
    if (id.empty() && call.method == "GET") {
        reply({ STATUS_OK, m_codec.pendingBody(m_manager.pendingJobCount(queue->name)) });
        return;
    }
    if (!isJobId(id)) {
        refuse(STATUS_BAD_REQUEST, "a job's id has 16 hexadecimal digits");
        return;
    }
    if (call.method == "POST") {
        submit(call, *queue, id, team == nullptr ? std::string() : team->name, now, wall, reply);
    } else if (call.method == "GET") {
        m_manager.queryState(
            id,
            [this, id, reply](std::optional<job_state> state) {
                if (!state) {
                    m_log.write("job-unknown", { { "job", id } });
                }
                reply(state ? http_reply{ STATUS_OK, m_codec.stateBody(*state) }
                            : http_reply{ STATUS_GONE, m_codec.errorBody("no such job") });
            },
            now);
    } else if (call.method == "DELETE") {
        m_manager.cancel(
            id,
            [this, id, reply](cancel_result end) {
                m_log.write("cancel", { { "job", id }, { "known", end == cancel_result::cancelled ? "yes" : "no" } });
                reply(end == cancel_result::cancelled ? http_reply{ STATUS_OK, "{}" }
                                                      : http_reply{ STATUS_GONE, m_codec.errorBody("no such job") });
            },
            now, wall);
    } else {
        refuse(STATUS_BAD_METHOD, "POST, GET or DELETE");
    }
}

void job_api_handler::submit(const http_call &call, const queue_config &queue, const std::string &id, const std::string &team, instant now,
                             wall_ms wall, const http_reply_callback &reply)
{
    if (call.body.size() > m_manager.model().config().maxBodyBytes) {
        reply({ STATUS_TOO_LARGE, m_codec.errorBody("the body is too large") });
        return;
    }
    job_parse_result parsed = m_codec.parseJob(call.body);
    if (!parsed.request) {
        m_log.write("refused", { { "job", id }, { "status", "400" }, { "reason", parsed.reason } });
        reply({ STATUS_BAD_REQUEST, m_codec.errorBody(parsed.reason) });
        return;
    }
    parsed.request->id = id;
    parsed.request->queue = queue.name;
    parsed.request->team = team;
    if (const std::optional<seconds> wait = m_manager.timeUntilAdmitted(*parsed.request, now)) {
        const std::string reason = "the policy service has too many requests";
        m_log.write("refused",
                    { { "job", id },
                      { "queue", queue.name },
                      { "status", std::to_string(STATUS_UNAVAILABLE) },
                      { "reason", reason },
                      { "retry_after_s", std::to_string(wait->count()) } });
        m_log.count("refusals_total", std::to_string(STATUS_UNAVAILABLE));
        reply({ STATUS_UNAVAILABLE, m_codec.errorBody(reason), "application/json", static_cast<unsigned>(wait->count()) });
        return;
    }
    m_manager.submit(
        *parsed.request,
        [this, id, queue = queue.name, team, reply](submit_result end) {
            if (end == submit_result::too_large) {
                const std::string reason = "the job has too many tasks to be stored in one record";
                m_log.write("refused", { { "job", id }, { "status", std::to_string(STATUS_TOO_LARGE) }, { "reason", reason } });
                reply({ STATUS_TOO_LARGE, m_codec.errorBody(reason) });
                return;
            }
            m_log.write(
                "submit",
                { { "job", id }, { "queue", queue }, { "team", team }, { "accepted", end == submit_result::accepted ? "yes" : "no" } });
            if (end == submit_result::accepted) {
                reply({ STATUS_OK, "{}" });
            } else {
                reply({ STATUS_UNAVAILABLE, m_codec.errorBody("not taken, try again"), "application/json", RETRY_AFTER_S });
            }
        },
        now, wall);
}

} // namespace jujubespool
