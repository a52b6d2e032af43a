// Takes the hosts of upkeep waves out of service one by one, without cutting work.
//
//     host_driver hosts(model, runs, gateway, status, log, holder, epoch);
//     hosts.setWave(wave, now);
//     hosts.tick(now);
//
// A host gets no new work, its tasks end or move elsewhere within what their jobs may miss, and only then is its
// upkeep ordered. At most the wave's maximum are down at once.
#pragma once

#include <jujubespool/jobs/run_supervisor.h>

namespace jujubespool {

// A request to have hosts maintained.
struct upkeep_wave
{
    std::uint64_t number = 0;
    std::vector<std::string> hosts;
    seconds deadline{ 0 };
    int maximum = 1;
};

// Where operators read the state of waves.
class status_board
{
public:
    virtual ~status_board() = default;
    virtual void showWave(std::uint64_t wave, bool completed, std::function<void(bool written, instant now)> done) = 0;
};

class host_driver
{
public:
    host_driver(fleet_model &model, run_supervisor &runs, host_gateway &gateway, status_board &status, decision_log &log,
                const std::string &holder, std::uint64_t fencingToken);

    void setWave(const upkeep_wave &wave, instant now);
    // Another owner may have ordered until just before: leaves the hosts alone until then.
    void setFirstOrderAt(instant when)
    {
        m_firstOrderAt = when;
    }
    void restore(std::uint64_t wave, const wire::upkeep_image &image);
    // Waves whose record has changed since the last call.
    std::map<std::uint64_t, wire::upkeep_image> takeChanged();
    void tick(instant now);
    // Hosts by name, as last listed.
    const std::map<std::string, host_entry> &hosts() const
    {
        return m_hosts;
    }

private:
    struct wave_progress
    {
        upkeep_wave wave;
        bool known = false;
        instant since;
        std::set<std::string> begun;
        // Ordered, and not yet seen in service again.
        std::map<std::string, instant> down;
        std::set<std::string> ordering;
        // Order without an answer: the host may be down.
        std::set<std::string> doubtful;
        bool completed = false;
        bool shownRunning = false;
        bool shownCompleted = false;
        bool showing = false;
    };
    void refresh(instant now);
    void onList(const host_list &list, instant askedAt, instant now);
    void drive(wave_progress &progress, instant now);
    void prepare(wave_progress &progress, const std::vector<const host_entry *> &due, instant now);
    void order(wave_progress &progress, const host_entry &host, instant now);
    void onOrderAnswer(std::uint64_t wave, const std::string &host, const host_order_result &result, instant now);
    void evict(worker &target, instant now);
    bool mayEvict(const task_key &key, instant now);
    void show(wave_progress &progress);
    worker *workerOn(const host_entry &host);

    fleet_model &m_model;
    run_supervisor &m_runs;
    host_gateway &m_gateway;
    status_board &m_status;
    decision_log &m_log;
    std::string m_holder;
    std::uint64_t m_token;
    std::map<std::uint64_t, wave_progress> m_waves;
    std::set<std::uint64_t> m_changed;
    std::map<std::string, host_entry> m_hosts;
    instant m_listedAt;
    bool m_listed = false;
    bool m_listing = false;
    instant m_listNotBefore;
    instant m_firstOrderAt;
    lifetime m_lifetime;
};

} // namespace jujubespool
