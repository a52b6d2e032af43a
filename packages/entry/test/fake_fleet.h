// Fakes at the interfaces of entry_node, so that one schedule drives several real nodes in one process.
//
// The clock, the platform, the peers' network and the upstreams are fakes with fault switches; everything
// that decides is the daemon's own code. The upstreams count what really ran, and a reference replay of the
// whole log tells the truth about pools and budgets; each broken invariant is kept in violations().
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

// Events of all hosts in the order of their time.
class fake_time
{
public:
    instant now() const
    {
        return m_now;
    }
    void at(instant when, std::function<void()> call);
    void runUntil(instant end);

private:
    struct entry
    {
        instant when;
        std::uint64_t order = 0;
        std::function<void()> call;
        bool operator<(const entry &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    std::priority_queue<entry> m_entries;
    instant m_now = instant(seconds(1000));
    std::uint64_t m_lastOrder = 0;
};

// One host's clock: its events stop with the process and wait while it is paused.
class fake_time_source : public time_source
{
public:
    fake_time_source(fake_time &time, duration wallSkew, std::mt19937_64 &random);
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
        std::vector<std::function<void()>> waiting;
    };
    fake_time &m_time;
    duration m_wallSkew;
    std::mt19937_64 &m_random;
    std::shared_ptr<shared_state> m_state = std::make_shared<shared_state>();
};

struct fake_faults
{
    bool logAway = false;
    int loseAppendAnswers = 0;
    double dropMessages = 0;
    // Hosts that cannot reach the platform.
    std::set<std::string> cutFromPlatform;
    // Data centres that cannot reach each other, by name.
    std::set<std::string> cutDataCenters;
};

enum class upstream_fault { none, refuse_connection, fail, truncate, silent };

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
        return m_sent;
    }
    void receive(const wire::peer_message &message);

private:
    fake_fleet &m_fleet;
    std::string m_host;
    peer_receiver *m_receiver = nullptr;
    std::map<std::uint64_t, std::string> m_endpoints;
    std::uint64_t m_sent = 0;
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

// One process of an entry host.
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

struct caller_figures
{
    std::uint64_t asked = 0;
    std::uint64_t ran = 0;
    std::uint64_t notRun = 0;
    std::uint64_t unknown = 0;
    std::map<int, std::uint64_t> refusals;
};

class fake_fleet : private replay_observer
{
public:
    // Starts hosts entry-0..entry-N-1, spread over the data centres, and publishes the text.
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
    void cutRecordsBefore(log_offset offset);

    // Sends a request through the host. The tag names the work; run time in ms; an empty key sends none.
    void request(int index, const std::string &service, const std::string &key, const std::string &tag, int runMs,
                 const std::string &idempotencyKey, milliseconds timeout = milliseconds(1500));

    // Tags of work that may run once begin with "once", those of work that may be repeated with "many".
    std::string freshTag(bool repeatable);
    std::uint64_t random(std::uint64_t below);
    wall_ms wall() const;

    const fleet_state &truth() const
    {
        return m_reference.state();
    }
    const std::vector<std::string> &violations() const
    {
        return m_violations;
    }
    const caller_figures &figures() const
    {
        return m_figures;
    }
    std::uint32_t runningOf(const std::string &team) const;
    std::size_t records() const
    {
        return m_log.size();
    }
    std::uint64_t appends() const
    {
        return m_appends;
    }
    // Requests that the upstreams have started.
    std::uint64_t started() const
    {
        return m_started;
    }
    // Drains that were accepted.
    std::uint64_t drains() const
    {
        return m_drains;
    }

    fake_faults faults;
    std::map<std::string, upstream_fault> upstreamFaults;
    std::map<std::string, listed_host_state> listed;
    // Keys that must start nothing after the time.
    std::map<std::string, instant> withdrawnAfter;
    // Unplanned failures may exceed a budget; planned work never does.
    bool checkBudgets = true;

private:
    friend class fake_platform;
    friend class fake_transport;
    friend class fake_upstreams;

    struct machine
    {
        host_boot_state state = host_boot_state::up;
        std::string version;
        std::set<std::string> tokens;
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
    void violate(const std::string &what);
    void beginWork(const http_request &request, const std::string &worker);
    void endWork(const std::string &team, const std::string &worker);
    void noteAnswer(const std::string &tag, bool keyed, const caller_response &answer);
    void checkHosts();
    std::uint32_t limitOf(const std::string &team) const;
    bool linked(const std::string &left, const std::string &right) const;
    fake_host *find(const std::string &name);

    fake_time m_time;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<fake_host>> m_hosts;
    std::vector<std::string> m_log;
    log_offset m_oldest = 0;
    std::uint64_t m_appends = 0;
    log_replayer m_reference;
    std::map<std::string, machine> m_machines;
    std::map<std::string, std::uint32_t> m_teamRunning;
    std::map<std::string, std::uint32_t> m_workerRunning;
    std::map<std::string, int> m_runs;
    std::map<std::string, std::string> m_keyOfTag;
    std::set<std::string> m_toldNotRun;
    std::map<std::string, std::pair<std::uint32_t, instant>> m_earlierLimits;
    std::vector<std::string> m_violations;
    caller_figures m_figures;
    std::uint64_t m_lastTag = 0;
    std::uint64_t m_started = 0;
    std::uint64_t m_drains = 0;
};

// Time that a fake machine's reboot takes; settable, because a wave's pace depends on it.
milliseconds &fakeRebootTime();

// Returns the value of a header, or an empty text.
std::string headerOf(const http_request &request, const std::string &name);

} // namespace jujubespool
