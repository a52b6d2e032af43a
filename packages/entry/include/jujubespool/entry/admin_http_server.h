// The operators' HTTP interface: health, metrics, status, configuration, keys, hosts and waves.
//
//     admin_http_server admin(loop, node, link, settings);
//     admin.start(reason);
//
// docs/REFERENCE.md lists the paths. Changes are proposed on the log and answered when they are read back.
#pragma once

#include <jujubespool/entry/entry_node.h>
#include <jujubespool/entry/event_loop.h>
#include <jujubespool/entry/supervisor.h>
#include <jujubespool/wire/peer_link.h>

struct evhttp;
struct evhttp_bound_socket;
struct evhttp_request;

namespace jujubespool {

class admin_http_server : public component
{
public:
    admin_http_server(event_loop &loop, entry_node &node, peer_link &link, const entry_settings &settings);
    ~admin_http_server() override;

    std::string name() const override
    {
        return "admin-front";
    }
    bool start(failure &reason) override;
    bool healthy(instant now) const override;
    void stop() override;
    const std::string &address() const
    {
        return m_address;
    }

private:
    struct admin_request
    {
        evhttp_request *raw = nullptr;
        bool post = false;
        std::vector<std::string> path;
        std::string body;
        std::string query(const char *name) const;
    };

    static void onRequest(evhttp_request *raw, void *self);
    void route(const admin_request &request);
    void showStatus(const admin_request &request);
    void showMetrics(const admin_request &request);
    void publish(const admin_request &request);
    void changeKey(const admin_request &request);
    void changeHost(const admin_request &request);
    void startWave(const admin_request &request);
    void controlWave(const admin_request &request);
    void planWaveOnly(const admin_request &request);
    void setFaults(const admin_request &request);
    void proposeAndAnswer(const admin_request &request, wire::record record);
    // Returns a callback that answers the request, or says after a while that the outcome is not known.
    log_session::settled answerer(evhttp_request *raw);
    std::optional<wire::wave_start> parseWave(const admin_request &request) const;

    event_loop &m_loop;
    entry_node &m_node;
    peer_link &m_link;
    const entry_settings &m_settings;
    evhttp *m_server = nullptr;
    std::string m_address;
    std::uint64_t m_lastAnswer = 0;
    std::map<std::uint64_t, evhttp_request *> m_open;
};

} // namespace jujubespool
