#include <jujubespool/entry/entry_host.h>

#include <algorithm>
#include <jujubespool/entry/logger.h>

namespace jujubespool {

namespace {

constexpr milliseconds SUPERVISION_INTERVAL{ 50 };
constexpr std::size_t DESCRIPTORS_PER_CONNECTION = 2;

client_limits clientLimitsOf(const entry_settings &settings)
{
    client_limits limits;
    limits.heldBytes = settings.clientMemoryBytes;
    limits.connections = settings.maxClientConnections;
    if (limits.connections == 0) {
        limits.connections = std::max<std::size_t>(maxOpenDescriptors() / DESCRIPTORS_PER_CONNECTION, 1);
    }
    return limits;
}

} // namespace

entry_host::entry_host(event_loop &loop, const entry_settings &settings)
    : m_loop(loop)
    , m_settings(settings)
    , m_platformClient(loop.base())
    , m_upstreamClient(loop.base())
    , m_platform(m_platformClient, settings.platformAddress, settings.host)
    , m_peerTransport(loop.base())
    , m_node(loop, m_platform, m_platform, m_platform, m_peerTransport, m_upstreamClient, settings)
    , m_clients(loop, clientLimitsOf(settings), m_node.metrics())
    , m_callers(loop, m_node.router(), m_node.metrics(), m_clients, settings)
    , m_admin(loop, m_node, m_peerTransport, m_clients, settings)
    , m_supervisor("entry-host",
                   [](const std::string &name, const failure &reason) { logFailure(log_level::error, "component-failed:" + name, reason); })
{
    m_supervisor.add(m_admin);
    m_supervisor.add(m_callers);
}

std::optional<std::string> entry_host::bindPeerAddress(failure &reason)
{
    const host_port address = *parseAddress(m_settings.peerAddress);
    const std::string port = address.port == 0 ? "*" : std::to_string(address.port);
    reason = { failure_step::peer, m_settings.peerAddress, {} };
    return m_peerTransport.bind("tcp://" + address.host + ":" + port, reason.reason);
}

bool entry_host::start(failure &reason)
{
    const std::optional<std::string> endpoint = bindPeerAddress(reason);
    if (!endpoint || !m_supervisor.start(reason)) {
        return false;
    }
    m_node.start(*endpoint);
    m_loop.repeat(SUPERVISION_INTERVAL, [this] { supervise(); });
    logEvent(log_level::info, "listening",
             { { "host", m_settings.host }, { "callers", m_callers.address() }, { "admin", m_admin.address() }, { "peers", *endpoint } });
    return true;
}

void entry_host::stopGracefully()
{
    m_node.stopGracefully();
}

void entry_host::supervise()
{
    m_supervisor.check(m_loop.now());
    m_clients.tick();
    if (m_node.isStopping()) {
        m_callers.closeConnectionsAfterResponse();
    }
    if (m_node.isRejectingRequests()) {
        m_callers.stopAccepting();
    }
    if (m_node.status() != node_status::running && m_callers.isIdle(m_loop.now())) {
        m_supervisor.stop();
        m_loop.stop();
    }
}

exit_code entry_host::exitCode() const
{
    return m_node.isSessionLost() ? exit_code::session_ended : exit_code::stopped;
}

} // namespace jujubespool
