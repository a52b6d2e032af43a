#include <jujubespool/entry/admin_http_server.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fmt/format.h>
#include <jujubespool/core/edition.h>
#include <jujubespool/entry/logger.h>
#include <jujubespool/platform/json_text.h>
#include <netinet/in.h>

namespace jujubespool {

namespace {

using json = nlohmann::json;

// Throws if the text is not JSON. A text that nests too deep yields a value without fields, on which each access throws.
json parseBody(const std::string &text)
{
    json body = parseJson(text);
    return body.is_discarded() && !nestsDeeperThan(text, MAX_JSON_NESTING) ? json::parse(text) : body;
}

constexpr int STATUS_OK = 200;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_NOT_FOUND = 404;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_UNPROCESSABLE = 422;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr milliseconds RESPONSE_TIMEOUT{ 5000 };
constexpr std::size_t MAX_BODY_BYTES = 67108864;
constexpr std::size_t MAX_HEADER_BYTES = 32768;
constexpr int IDLE_TIMEOUT_S = 60;

void send(evhttp_request *raw, int status, const std::string &type, const std::string &body)
{
    evhttp_add_header(evhttp_request_get_output_headers(raw), "Content-Type", type.c_str());
    evbuffer *buffer = evbuffer_new();
    evbuffer_add(buffer, body.data(), body.size());
    evhttp_send_reply(raw, status, nullptr, buffer);
    evbuffer_free(buffer);
}

void sendJson(evhttp_request *raw, int status, const json &body)
{
    send(raw, status, "application/json", body.dump(2, ' ', false, json::error_handler_t::replace) + "\n");
}

void sendError(evhttp_request *raw, int status, const std::string &reason)
{
    sendJson(raw, status, { { "error", reason } });
}

std::vector<std::string> splitPath(const std::string &path)
{
    std::vector<std::string> parts;
    std::size_t begin = 1;
    while (begin <= path.size()) {
        const std::size_t end = std::min(path.find('/', begin), path.size());
        parts.push_back(path.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

json describeHosts(const fleet_state &state)
{
    json hosts = json::array();
    for (const auto &[name, status] : state.hosts()) {
        const resource_allocation *allocation = state.permitAllocations().find(workerResource(name));
        hosts.push_back({ { "name", name },
                          { "pool", status.pool },
                          { "state", nameOf(status.state) },
                          { "move_to_pool", status.moveToPool },
                          { "wave", status.wave },
                          { "version", status.version },
                          { "slots_held", allocation == nullptr ? 0 : allocation->totalHeld() } });
    }
    return hosts;
}

json describeWaves(const fleet_state &state, bool logAvailable)
{
    json waves = json::array();
    for (const auto &[name, wave] : state.waves()) {
        waves.push_back({ { "name", name },
                          { "kind", wave.start.kind() == wire::WAVE_KIND_ROLL_OUT ? "roll-out" : "maintenance" },
                          { "state", nameOf(wave.state) },
                          { "hosts", wave.start.hosts_size() },
                          { "done", wave.done.size() },
                          { "failed", wave.failed },
                          { "excluded", wave.excluded },
                          { "waits_for", waveBlockedReason(state, wave, logAvailable).value_or("") } });
    }
    return waves;
}

json describeSpareCapacity(const fleet_state &state)
{
    json pools = json::array();
    for (const spare_capacity_plan &plan : planSpareCapacity(state)) {
        pools.push_back({ { "pool", plan.pool },
                          { "hosts", plan.hosts },
                          { "out_of_service", state.unavailable(plan.pool) },
                          { "may_be_out", plan.allowed },
                          { "worst_rack", plan.worstRack },
                          { "reserve", plan.reserve } });
    }
    return pools;
}

} // namespace

admin_http_server::admin_http_server(event_loop &loop, entry_node &node, zmq_peer_transport &transport, client_connections &clients,
                                     const entry_settings &settings)
    : m_loop(loop)
    , m_node(node)
    , m_transport(transport)
    , m_clients(clients)
    , m_settings(settings)
{
}

admin_http_server::~admin_http_server()
{
    stop();
}

bool admin_http_server::start(failure &reason)
{
    const host_port bindAddress = *parseAddress(m_address.empty() ? m_settings.adminAddress : m_address);
    m_server = evhttp_new(m_loop.base());
    evhttp_set_max_body_size(m_server, static_cast<ev_ssize_t>(MAX_BODY_BYTES));
    evhttp_set_max_headers_size(m_server, MAX_HEADER_BYTES);
    evhttp_set_timeout(m_server, IDLE_TIMEOUT_S);
    evhttp_set_bevcb(m_server, makeStream, this);
    evhttp_set_gencb(m_server, onRequest, this);
    evhttp_bound_socket *bound = evhttp_bind_socket_with_handle(m_server, bindAddress.host.c_str(), bindAddress.port);
    if (bound == nullptr) {
        reason = { failure_step::control, m_settings.adminAddress, "the admin address cannot be bound" };
        stop();
        return false;
    }
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(evhttp_bound_socket_get_fd(bound), reinterpret_cast<sockaddr *>(&address), &size);
    m_address = fmt::format("{}:{}", bindAddress.host, ntohs(address.sin_port));
    return true;
}

bool admin_http_server::healthy(instant) const
{
    return m_server != nullptr;
}

void admin_http_server::stop()
{
    if (m_server != nullptr) {
        evhttp_free(m_server);
        m_server = nullptr;
    }
}

std::string admin_http_server::admin_request::query(const char *name) const
{
    const char *text = evhttp_uri_get_query(evhttp_request_get_evhttp_uri(raw));
    evkeyvalq parameters{};
    if (text == nullptr || evhttp_parse_query_str(text, &parameters) != 0) {
        return {};
    }
    const char *value = evhttp_find_header(&parameters, name);
    std::string result = value == nullptr ? "" : value;
    evhttp_clear_headers(&parameters);
    return result;
}

bufferevent *admin_http_server::makeStream(event_base *base, void *self)
{
    bufferevent *stream = bufferevent_socket_new(base, -1, 0);
    static_cast<admin_http_server *>(self)->m_clients.add(stream);
    return stream;
}

void admin_http_server::onRequest(evhttp_request *raw, void *self)
{
    client_connections &clients = static_cast<admin_http_server *>(self)->m_clients;
    const bufferevent *stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(raw));
    if (!clients.serve(clients.numberOf(stream), evbuffer_get_length(evhttp_request_get_input_buffer(raw)))) {
        evhttp_add_header(evhttp_request_get_output_headers(raw), "Retry-After", "1");
        evhttp_add_header(evhttp_request_get_output_headers(raw), "Connection", "close");
        sendError(raw, STATUS_UNAVAILABLE, "the host holds too many requests");
        return;
    }
    admin_request request;
    request.raw = raw;
    request.post = evhttp_request_get_command(raw) == EVHTTP_REQ_POST;
    const evhttp_uri *uri = evhttp_request_get_evhttp_uri(raw);
    const char *path = uri == nullptr ? nullptr : evhttp_uri_get_path(uri);
    request.path = splitPath(path == nullptr ? "" : path);
    if (request.path.empty()) {
        sendError(raw, STATUS_BAD_REQUEST, "the path cannot be read");
        return;
    }
    evbuffer *body = evhttp_request_get_input_buffer(raw);
    request.body.resize(evbuffer_get_length(body));
    evbuffer_copyout(body, request.body.data(), request.body.size());
    auto *server = static_cast<admin_http_server *>(self);
    try {
        server->route(request);
    } catch (const json::exception &error) {
        sendError(raw, STATUS_BAD_REQUEST, error.what());
    }
}

void admin_http_server::route(const admin_request &request)
{
    const std::vector<std::string> &path = request.path;
    const std::string &root = path.at(0);
    const std::string resource = path.size() > 1 ? path[1] : "";
    const fleet_state &state = m_node.session().state();
    if (!request.post) {
        if (root == "healthz") {
            send(request.raw, STATUS_OK, "text/plain", "ok\n");
        } else if (root == "readyz") {
            const bool ready = m_node.isReady();
            send(request.raw, ready ? STATUS_OK : STATUS_UNAVAILABLE, "text/plain", ready ? "ready\n" : "not ready\n");
        } else if (root == "metrics") {
            sendMetrics(request);
        } else if (root == "status") {
            sendStatus(request);
        } else if (root == "v1" && resource == "config") {
            sendJson(request.raw, STATUS_OK, { { "offset", state.editionOffset() }, { "text", state.editionText() } });
        } else if (root == "v1" && resource == "hosts") {
            sendJson(request.raw, STATUS_OK, { { "hosts", describeHosts(state) } });
        } else if (root == "v1" && resource == "waves") {
            sendJson(request.raw, STATUS_OK, { { "waves", describeWaves(state, m_node.session().isLogAvailable(m_loop.now())) } });
        } else {
            sendError(request.raw, STATUS_NOT_FOUND, "unknown path");
        }
        return;
    }
    if (resource == "config") {
        publishConfiguration(request);
    } else if (resource == "keys") {
        changeKey(request);
    } else if (resource == "hosts" && path.size() == 4) {
        changeHost(request);
    } else if (resource == "waves" && path.size() == 2) {
        startWave(request);
    } else if (resource == "waves" && path.size() == 3 && path[2] == "plan") {
        sendWavePlan(request);
    } else if (resource == "waves" && path.size() == 4) {
        controlWave(request);
    } else if (resource == "faults" && m_settings.allowFaults) {
        setFaults(request);
    } else {
        sendError(request.raw, STATUS_NOT_FOUND, "unknown path");
    }
}

void admin_http_server::sendStatus(const admin_request &request)
{
    const fleet_state &state = m_node.session().state();
    const instant now = m_loop.now();
    json members = json::array();
    for (const auto &[id, session] : state.sessions()) {
        const bool own = id == m_node.session().id();
        members.push_back({ { "session", fmt::format("{:x}", id) },
                            { "host", session.open.host() },
                            { "data_center", session.open.data_center() },
                            { "ended", session.ended },
                            { "suspected", !own && !session.ended && m_node.peers().isSuspected(id, now) } });
    }
    json teams = json::array();
    for (const team_spec &team : state.config().teams) {
        const std::string resource = teamResource(team.name);
        teams.push_back({ { "team", team.name },
                          { "share", team.share },
                          { "limit", team.limit },
                          { "held", state.permitAllocations().heldBy(resource, m_node.session().id()) },
                          { "in_use", m_node.permits().inUse(resource) },
                          { "lent", m_node.permits().lentOut(resource, now) },
                          { "borrowed", m_node.permits().borrowed(resource, now) } });
    }
    const json body{ { "host", m_settings.host },
                     { "data_center", m_settings.dataCenter },
                     { "session", fmt::format("{:x}", m_node.session().id()) },
                     { "ready", m_node.isReady() },
                     { "drives_maintenance", m_node.maintenanceController().isLeader(now) },
                     { "log",
                       { { "next_offset", m_node.session().replayer().nextOffset() },
                         { "age_ms", duration_cast<milliseconds>(m_node.session().stateAge(now)).count() },
                         { "available", m_node.session().isLogAvailable(now) },
                         { "unconfirmed", m_node.session().pendingCount() },
                         { "snapshot_offset", m_node.session().replayer().snapshotOffset() } } },
                     { "edition", state.editionOffset() },
                     { "members", members },
                     { "teams", teams },
                     { "queues",
                       { { "waiting", m_node.requestDispatcher().waiting() },
                         { "running", m_node.requestDispatcher().running() },
                         { "lingering", m_node.requestDispatcher().orphaned() } } },
                     { "claims", state.claimCount() },
                     { "ejected_workers", m_node.requestDispatcher().ejectedWorkers() },
                     { "pools", describeSpareCapacity(state) } };
    sendJson(request.raw, STATUS_OK, body);
}

void admin_http_server::sendMetrics(const admin_request &request)
{
    metrics_registry &metrics = m_node.metrics();
    const instant now = m_loop.now();
    metrics.setGauge("log_age_seconds", static_cast<double>(m_node.session().stateAge(now).count()) / 1e6);
    metrics.setGauge("log_next_offset", static_cast<double>(m_node.session().replayer().nextOffset()));
    metrics.setGauge("records_undecodable", static_cast<double>(m_node.session().replayer().undecodableCount()));
    metrics.setGauge("records_rejected", static_cast<double>(m_node.session().rejectedCount()));
    metrics.setGauge("requests_waiting", static_cast<double>(m_node.requestDispatcher().waiting()));
    metrics.setGauge("requests_running", static_cast<double>(m_node.requestDispatcher().running()));
    metrics.setGauge("answers_kept_bytes", static_cast<double>(m_node.idempotencyStore().bytes()));
    metrics.setGauge("peer_bytes_sent", static_cast<double>(m_node.peers().sentBytes()));
    metrics.setGauge("loans_received", static_cast<double>(m_node.loans().grantsReceived()));
    send(request.raw, STATUS_OK, "text/plain; version=0.0.4", metrics.prometheusText());
}

log_session::proposal_callback admin_http_server::makeResponder(evhttp_request *raw)
{
    const std::uint64_t token = ++m_lastToken;
    m_pendingRequests[token] = raw;
    m_loop.after(RESPONSE_TIMEOUT, [this, token] {
        const auto found = m_pendingRequests.find(token);
        if (found != m_pendingRequests.end()) {
            sendError(found->second, STATUS_UNAVAILABLE, "the log has not confirmed the change; it may still take effect");
            m_pendingRequests.erase(found);
        }
    });
    return [this, token](const apply_result &result) {
        const auto found = m_pendingRequests.find(token);
        if (found == m_pendingRequests.end()) {
            return;
        }
        const bool accepted = result.verdict == apply_verdict::accepted;
        const json body{ { "accepted", accepted }, { "reason", result.reason }, { "offset", m_node.session().replayer().nextOffset() } };
        sendJson(found->second, accepted ? STATUS_OK : STATUS_CONFLICT, body);
        m_pendingRequests.erase(found);
    };
}

void admin_http_server::proposeAndRespond(const admin_request &request, wire::record record)
{
    m_node.session().propose(std::move(record), makeResponder(request.raw));
}

void admin_http_server::publishConfiguration(const admin_request &request)
{
    std::vector<config_problem> problems;
    const std::optional<wire::edition> edition = makeEdition(m_node.session().state(), request.body, problems);
    if (!edition) {
        json list = json::array();
        for (const config_problem &problem : problems) {
            list.push_back({ { "line", problem.line }, { "message", problem.message } });
        }
        sendJson(request.raw, STATUS_UNPROCESSABLE, { { "error", "the configuration is invalid" }, { "problems", list } });
        return;
    }
    const std::string base = request.query("base");
    if (base.empty() || base.size() > 18 || base.find_first_not_of("0123456789") != std::string::npos) {
        sendError(request.raw, STATUS_BAD_REQUEST, "base must be the offset of the edition that was edited; 0 for the first");
        return;
    }
    wire::record record;
    *record.mutable_publish() = *edition;
    record.mutable_publish()->set_base(std::stoull(base));
    const log_session::proposal_callback respond = makeResponder(request.raw);
    const std::uint64_t token = m_lastToken;
    m_node.session().propose(std::move(record), [this, token, respond, text = request.body](const apply_result &result) {
        const auto found = m_pendingRequests.find(token);
        if (result.verdict == apply_verdict::accepted || found == m_pendingRequests.end()) {
            respond(result);
            return;
        }
        const fleet_state &state = m_node.session().state();
        sendJson(found->second, STATUS_CONFLICT,
                 { { "error", result.reason },
                   { "offset", state.editionOffset() },
                   { "difference", formatTextDiff(state.editionText(), text) } });
        m_pendingRequests.erase(found);
    });
}

void admin_http_server::changeKey(const admin_request &request)
{
    const json body = parseBody(request.body);
    const std::string team = body.at("team");
    const std::string hash = body.at("hash");
    if (body.value("withdrawn", false)) {
        // The key becomes invalid here before the record is on the log, so the response does not wait for the log.
        m_node.apiKeys().withdraw(team, hash, {}, m_loop.now());
        sendJson(request.raw, STATUS_OK, { { "accepted", true }, { "reason", "withdrawn here and at every peer that can be reached" } });
        return;
    }
    m_node.apiKeys().add(team, hash, makeResponder(request.raw));
}

void admin_http_server::changeHost(const admin_request &request)
{
    const std::string &host = request.path[2];
    const std::string &action = request.path[3];
    wire::record record;
    if (action == "undrain") {
        record.mutable_undrain()->set_host(host);
    } else if (action == "drain" || action == "move") {
        record.mutable_drain()->set_host(host);
        if (action == "move") {
            record.mutable_drain()->set_move_to_pool(parseBody(request.body).at("pool").get<std::string>());
        }
    } else {
        sendError(request.raw, STATUS_NOT_FOUND, "unknown action");
        return;
    }
    proposeAndRespond(request, std::move(record));
}

std::optional<wire::wave_start> admin_http_server::parseWave(const admin_request &request) const
{
    const json body = parseBody(request.body);
    wire::wave_start start;
    start.set_name(body.value("name", ""));
    start.set_kind(body.value("kind", "") == "roll-out" ? wire::WAVE_KIND_ROLL_OUT : wire::WAVE_KIND_MAINTENANCE);
    start.set_version(body.value("version", ""));
    const json hosts = body.value("hosts", json::array());
    for (const json &host : hosts) {
        start.add_hosts(host.get<std::string>());
    }
    if (start.hosts_size() > 0) {
        return start;
    }
    const std::string pool = body.value("pool", "");
    for (const auto &[name, status] : m_node.session().state().hosts()) {
        if (pool.empty() || status.pool == pool) {
            start.add_hosts(name);
        }
    }
    return start.hosts_size() > 0 ? std::optional(start) : std::nullopt;
}

void admin_http_server::startWave(const admin_request &request)
{
    const auto start = parseWave(request);
    if (!start) {
        sendError(request.raw, STATUS_BAD_REQUEST, "the wave names no host");
        return;
    }
    wire::record record;
    *record.mutable_wave() = *start;
    proposeAndRespond(request, std::move(record));
}

void admin_http_server::sendWavePlan(const admin_request &request)
{
    const auto start = parseWave(request);
    if (!start) {
        sendError(request.raw, STATUS_BAD_REQUEST, "the wave names no host");
        return;
    }
    const std::vector<std::string> hosts(start->hosts().begin(), start->hosts().end());
    const wave_plan plan = planWave(m_node.session().state(), hosts, {});
    json rounds = json::array();
    for (const wave_round &round : plan.rounds) {
        rounds.push_back(round.hosts);
    }
    sendJson(request.raw, STATUS_OK,
             { { "rounds", rounds },
               { "lower_bound", plan.minRounds },
               { "predicted_ms", plan.predictedDuration.count() },
               { "impossible", plan.undrainableHosts } });
}

void admin_http_server::controlWave(const admin_request &request)
{
    const std::string &action = request.path[3];
    wire::record record;
    wire::wave_control &control = *record.mutable_control();
    control.set_name(request.path[2]);
    const json body = request.body.empty() ? json::object() : parseBody(request.body);
    control.set_host(body.value("host", ""));
    control.set_reason(body.value("reason", "by an operator"));
    if (action == "pause") {
        control.set_action(wire::WAVE_ACTION_PAUSE);
    } else if (action == "resume") {
        control.set_action(wire::WAVE_ACTION_RESUME);
    } else if (action == "cancel") {
        control.set_action(wire::WAVE_ACTION_CANCEL);
    } else if (action == "exclude") {
        control.set_action(wire::WAVE_ACTION_EXCLUDE);
    } else {
        sendError(request.raw, STATUS_NOT_FOUND, "unknown action");
        return;
    }
    proposeAndRespond(request, std::move(record));
}

void admin_http_server::setFaults(const admin_request &request)
{
    const json body = parseBody(request.body);
    m_transport.setPartitioned(body.value("cut_peers", false));
    sendJson(request.raw, STATUS_OK, body);
}

} // namespace jujubespool
