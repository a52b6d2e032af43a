// A fleet of several entry_node objects in one process, with fakes for everything outside of them.
//
//     fake_fleet fleet(seed, configurationText, { "east", "west" }, 4);
//     fleet.faults.logUnavailable = true;
//     fleet.sendRequest(0, "post", "key-big", fleet.makeTag(false), 100, {});
//     fleet.run(seconds(2));
//     cr_assert(fleet.violations().empty());
//
// The clock, the platform, the network between peers and the upstreams are fakes that can inject faults; the nodes run production
// code. The fake upstreams count the work that was started, and a reference replay of the whole log gives the expected state of pools
// and budgets. Each violated invariant is added to violations().
#pragma once

#include <functional>
#include <jujubespool/entry/entry_node.h>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace jujubespool {

// Simulated time with the scheduled events of all hosts, which run in the order of their time.
class fake_event_queue
{
public:
    instant now() const
    {
        return m_now;
    }
    void at(instant when, std::function<void()> call);
    void runUntil(instant end);

private:
    struct event
    {
        instant when;
        std::uint64_t order = 0;
        std::function<void()> call;
        bool operator<(const event &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    std::priority_queue<event> m_events;
    instant m_now = instant(seconds(1000));
    std::uint64_t m_lastOrder = 0;
};

// The clock of one host. Its events are dropped when the process crashes and deferred while it is paused.
class fake_time_source : public time_source
{
public:
    fake_time_source(fake_event_queue &time, duration wallSkew, std::mt19937_64 &random);
    instant now() const override
    {
        return m_time.now();
    }
    wall_ms wallNow() const override;
    std::uint64_t randomNumber() override
    {
        return m_random();
    }
    void repeat(milliseconds interval, std::function<void()> call) override;
    void after(milliseconds delay, std::function<void()> call) override;
    void afterExactly(duration delay, std::function<void()> call);
    void setPaused(bool paused);

private:
    struct shared_state
    {
        bool paused = false;
        std::vector<std::function<void()>> deferred;
    };
    fake_event_queue &m_time;
    duration m_wallSkew;
    std::mt19937_64 &m_random;
    std::shared_ptr<shared_state> m_sharedState = std::make_shared<shared_state>();
};

struct fake_faults
{
    bool logUnavailable = false;
    // Number of appends that take effect but report a failure.
    int appendResponsesToLose = 0;
    // Fraction of peer messages that are lost, from 0 to 1.
    double messageDropRate = 0;
    // Hosts that cannot reach the platform.
    std::set<std::string> hostsCutFromPlatform;
    // Data centres that cannot reach any other data centre, by name.
    std::set<std::string> cutDataCenters;
};

enum class upstream_fault { none, refuse_connection, fail, truncate, no_response };

class fake_fleet;

class fake_platform : public log_client, public host_directory, public worker_controller
{
public:
    fake_platform(fake_fleet &fleet, fake_time_source &clock, std::string host);
    void append(const std::vector<std::string> &records, std::function<void(const append_result &)> done) override;
    void read(log_offset from, milliseconds wait, std::function<void(const read_result &)> done) override;
    void list(std::function<void(const list_result &)> done) override;
    void reboot(const std::string &host, const std::string &token, const std::string &version,
                std::function<void(const control_result &)> done) override;
    void inspect(const std::string &host, std::function<void(const inspect_result &)> done) override;
    void leaseTask(const task_lease &lease, std::function<void(const control_result &)> done) override;
    void performTaskAction(const std::string &worker, const std::string &task, task_action action,
                           std::function<void(const control_result &)> done) override;
    void usage(std::function<void(const usage_result &)> done) override;

private:
    bool reachable() const;
    fake_fleet &m_fleet;
    fake_time_source &m_clock;
    std::string m_host;
};

class fake_transport : public peer_transport
{
public:
    fake_transport(fake_fleet &fleet, std::string host);
    void setReceiver(peer_receiver &receiver) override;
    void connect(std::uint64_t peer, const std::string &endpoint) override;
    void disconnect(std::uint64_t peer) override;
    bool send(std::uint64_t peer, const wire::peer_message &message) override;
    std::uint64_t sentBytes() const override
    {
        return m_sentBytes;
    }
    void receive(const wire::peer_message &message);

private:
    fake_fleet &m_fleet;
    std::string m_host;
    peer_receiver *m_receiver = nullptr;
    std::map<std::uint64_t, std::string> m_endpoints;
    std::uint64_t m_sentBytes = 0;
};

class fake_upstreams : public http_sender
{
public:
    fake_upstreams(fake_fleet &fleet, fake_time_source &clock);
    void send(const http_request &request, callback done) override;

private:
    fake_fleet &m_fleet;
    fake_time_source &m_clock;
};

// An entry host and its process, if one is running.
struct fake_host
{
    std::string name;
    std::string dataCenter;
    entry_settings settings;
    std::unique_ptr<fake_time_source> clock;
    std::unique_ptr<fake_platform> platform;
    std::unique_ptr<fake_transport> transport;
    std::unique_ptr<fake_upstreams> upstreams;
    std::unique_ptr<entry_node> node;
    bool paused = false;
    log_offset lastEdition = 0;
};

struct caller_counts
{
    std::uint64_t sent = 0;
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::map<int, std::uint64_t> refusals;
};

class fake_fleet : private replay_observer
{
public:
    // Starts the hosts entry-0 to entry-(hosts - 1), distributed over the data centres, and publishes the configuration text.
    fake_fleet(std::uint64_t seed, const std::string &text, const std::vector<std::string> &dataCenters, int hosts);
    ~fake_fleet() override;

    void run(milliseconds time);
    fake_host &host(int index)
    {
        return *m_hosts.at(static_cast<std::size_t>(index) % m_hosts.size());
    }
    std::size_t size() const
    {
        return m_hosts.size();
    }

    void crash(int index);
    void start(int index);
    void pause(int index);
    void resume(int index);
    void publish(int index, const std::string &text);
    void propose(int index, wire::record record);
    void truncateLogBefore(log_offset offset);

    // Sends a request to the host with this index. The tag identifies the work. An empty idempotency key is not sent.
    void sendRequest(int index, const std::string &service, const std::string &apiKey, const std::string &tag, int runMs,
                     const std::string &idempotencyKey, milliseconds timeout = milliseconds(1500));

    // Returns a new tag. It begins with "many" for repeatable work, and with "once" for work that must run at most once.
    std::string makeTag(bool repeatable);
    // Returns a random number from 0 to below - 1.
    std::uint64_t random(std::uint64_t below);
    wall_ms wallNow() const;

    // State after all records on the log.
    const fleet_state &referenceState() const
    {
        return m_referenceReplayer.state();
    }
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    const caller_counts &callerCounts() const
    {
        return m_callerCounts;
    }
    std::uint32_t runningOf(const std::string &team) const;
    std::size_t recordCount() const
    {
        return m_log.size();
    }
    std::uint64_t appendCount() const
    {
        return m_appendCount;
    }
    // Number of requests that the upstreams have started.
    std::uint64_t startedCount() const
    {
        return m_startedCount;
    }
    // Number of drain records that were accepted.
    std::uint64_t drainCount() const
    {
        return m_drainCount;
    }

    fake_faults faults;
    std::map<std::string, upstream_fault> upstreamFaults;
    std::map<std::string, listed_host_state> listed;
    // API keys with which no work may start after the given time.
    std::map<std::string, instant> withdrawnAfter;
    // Whether planned maintenance that exceeds the budget of a pool is a violation. Unplanned failures may exceed it.
    bool checkBudgets = true;

private:
    friend class fake_platform;
    friend class fake_transport;
    friend class fake_upstreams;

    struct fake_worker_host
    {
        host_boot_state state = host_boot_state::up;
        std::string version;
        std::set<std::string> usedTokens;
        int reboots = 0;
    };
    struct running_work
    {
        std::string team;
        std::string worker;
    };

    void onRecordApplied(log_offset offset, const wire::record &record, const apply_result &result) override;
    void onRecordUndecodable(log_offset offset) override;
    void onSnapshotLoaded(log_offset nextOffset) override;

    void appendRecord(const std::string &bytes);
    void addViolation(const std::string &what);
    void startWork(const http_request &request, const std::string &worker);
    void endWork(const std::string &team, const std::string &worker);
    void checkAnswer(const std::string &tag, bool keyed, const caller_response &answer);
    void checkEditions();
    std::uint32_t effectiveLimit(const std::string &team) const;
    bool isConnected(const std::string &left, const std::string &right) const;
    fake_host *find(const std::string &name);

    fake_event_queue m_time;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<fake_host>> m_hosts;
    std::vector<std::string> m_log;
    log_offset m_oldestOffset = 0;
    std::uint64_t m_appendCount = 0;
    log_replayer m_referenceReplayer;
    std::map<std::string, fake_worker_host> m_workerHosts;
    std::map<std::string, std::uint32_t> m_runningByTeam;
    std::map<std::string, std::uint32_t> m_runningByWorker;
    std::map<std::string, int> m_runsByTag;
    std::map<std::string, std::string> m_apiKeyByTag;
    std::set<std::string> m_answeredNotRun;
    // The limit before a team's limit was lowered, and the time until which it is still allowed.
    std::map<std::string, std::pair<std::uint32_t, instant>> m_earlierLimits;
    std::vector<std::string> m_violations;
    caller_counts m_callerCounts;
    std::uint64_t m_lastTag = 0;
    std::uint64_t m_startedCount = 0;
    std::uint64_t m_drainCount = 0;
};

// Time that the reboot of a fake worker host takes. Tests can set it, because the duration of a wave depends on it.
milliseconds &fakeRebootTime();

// Returns the value of a header, or an empty string.
std::string headerValue(const http_request &request, const std::string &name);

} // namespace jujubespool
