// Measures the replay of one day of log records, and the time and memory of planning at several fleet sizes.
#include "measurements.h"

#include <jujubespool/core/config_change.h>
#include <jujubespool/core/dispatcher.h>
#include <jujubespool/core/edition.h>
#include <jujubespool/core/log_replayer.h>
#include <jujubespool/core/permit_planner.h>
#include <jujubespool/core/wave_planner.h>

namespace measure {

namespace {

using namespace jujubespool;

constexpr int ENTRY_HOST_COUNT = 9;
constexpr int EDITIONS_PER_DAY = 3500;
constexpr int HOST_FAILURES_PER_DAY = 486;
// Maintenance waves process each of the 7400 hosts once in five weeks.
constexpr int HOSTS_MAINTAINED_PER_DAY = 7400 / 35;

class rejection_counter : public replay_observer
{
public:
    void onRecordApplied(log_offset, const wire::record &, const apply_result &result) override
    {
        rejected += result.verdict == apply_verdict::rejected ? 1 : 0;
    }
    void onRecordUndecodable(log_offset) override
    {
    }
    void onSnapshotLoaded(log_offset) override
    {
    }
    int rejected = 0;
};

// Writes the log records that the entry hosts of a fleet would write, and applies them to a fleet state.
class log_writer
{
public:
    log_writer()
        : m_replayer(m_observer)
    {
    }

    void append(session_id session, wire::record record)
    {
        record.set_session(session);
        record.set_sequence(++m_sequences[session]);
        m_records.push_back(record.SerializeAsString());
        m_bytes += m_records.back().size();
        m_replayer.consumeRecord(m_records.size() - 1, m_records.back());
    }

    void openSessions(const fleet_size &size)
    {
        for (int i = 0; i < ENTRY_HOST_COUNT; ++i) {
            wire::record record;
            record.mutable_open()->set_host(fmt::format("entry-{}", i));
            record.mutable_open()->set_data_center(fmt::format("dc{}", i % size.dataCenters));
            record.mutable_open()->set_started_ms(1);
            append(static_cast<session_id>(i) + 1, record);
        }
    }

    void publishConfiguration(const std::string &text)
    {
        wire::record record;
        std::vector<config_problem> problems;
        *record.mutable_publish() = makeEdition(m_replayer.state(), text, problems).value();
        append(1, record);
    }

    // Writes an edition that changes one team's limit. The record is what makeEdition() would create, but the
    // text isn't parsed.
    void changeTeamLimit(std::size_t line, const std::string &team, int limit)
    {
        wire::record record;
        wire::edition &edition = *record.mutable_publish();
        edition.set_base(state().editionOffset());
        edition.mutable_patch()->set_first(static_cast<std::uint32_t>(line));
        edition.mutable_patch()->set_removed(1);
        edition.mutable_patch()->add_added(fmt::format("  - {{ name: {}, share: 1, limit: {} }}", team, limit));
        configuration changed;
        changed.dataCenters = state().config().dataCenters;
        *edition.mutable_change() = diffConfigurations(configuration(), changed);
        wire::team_image &image = *edition.mutable_change()->add_teams();
        image.set_name(team);
        image.set_share(1);
        image.set_limit(static_cast<std::uint32_t>(limit));
        append(1, record);
    }

    void allocatePermits()
    {
        for (int round = 0; round < 2; ++round) {
            for (int i = 1; i <= ENTRY_HOST_COUNT; ++i) {
                const auto session = static_cast<session_id>(i);
                permit_plan plan = planPermits(m_replayer.state(), session, permit_tracker(session), false, instant());
                if (plan.take.entries_size() > 0) {
                    wire::record record;
                    *record.mutable_take() = plan.take;
                    append(session, record);
                }
            }
        }
    }

    void recordMaintenanceStep(const std::string &host, wire::maintenance_step step)
    {
        wire::record record;
        record.mutable_step()->set_host(host);
        record.mutable_step()->set_step(step);
        append(1, record);
    }

    const fleet_state &state() const
    {
        return m_replayer.state();
    }
    const std::vector<std::string> &records() const
    {
        return m_records;
    }
    std::size_t bytes() const
    {
        return m_bytes;
    }
    int rejected() const
    {
        return m_observer.rejected;
    }

private:
    rejection_counter m_observer;
    log_replayer m_replayer;
    std::map<session_id, std::uint64_t> m_sequences;
    std::vector<std::string> m_records;
    std::size_t m_bytes = 0;
};

std::vector<std::string> hostNames(const fleet_state &state)
{
    std::vector<std::string> names;
    for (const auto &[name, status] : state.hosts()) {
        names.push_back(name);
    }
    return names;
}

// Writes the records of one day: editions that each change one team's limit, host failures and recoveries, and one day's
// part of a maintenance wave.
void appendOneDay(log_writer &log, const fleet_size &size, int editions)
{
    const std::size_t firstTeam = log.state().editionLines().size() - 1 - static_cast<std::size_t>(size.teams);
    for (int i = 0; i < editions; ++i) {
        log.changeTeamLimit(firstTeam + static_cast<std::size_t>(i % size.teams), fmt::format("t{}", i % size.teams), 10 + i % 50);
        if (i % (editions / HOST_FAILURES_PER_DAY + 1) == 0) {
            const std::string host = fmt::format("h{:05}", i % size.hosts);
            log.recordMaintenanceStep(host, wire::MAINTENANCE_STEP_FAILED);
            log.recordMaintenanceStep(host, wire::MAINTENANCE_STEP_VERIFIED);
        }
    }
    for (int i = 0; i < HOSTS_MAINTAINED_PER_DAY && i < size.hosts; ++i) {
        wire::record record;
        record.mutable_drain()->set_host(fmt::format("h{:05}", i));
        log.append(1, record);
        wire::record undrain;
        undrain.mutable_undrain()->set_host(fmt::format("h{:05}", i));
        log.append(1, undrain);
    }
}

} // namespace

void measureReplay(const options &options)
{
    const int editions = options.quick ? 350 : EDITIONS_PER_DAY;
    log_writer log;
    log.openSessions(DESIGN_FLEET_SIZE);
    log.publishConfiguration(makeConfigurationText(DESIGN_FLEET_SIZE));
    log.allocatePermits();
    const std::size_t firstOfDay = log.records().size();
    const std::size_t bytesBefore = log.bytes();
    appendOneDay(log, DESIGN_FLEET_SIZE, editions);
    const double cpuSecondsBefore = processCpuSeconds();
    rejection_counter observer;
    log_replayer replayer(observer);
    log_offset offset = 0;
    double dayStart = cpuSecondsBefore;
    for (const std::string &record : log.records()) {
        if (offset == firstOfDay) {
            dayStart = processCpuSeconds();
            printValue("replay.start_s", dayStart - cpuSecondsBefore);
        }
        replayer.consumeRecord(offset++, record);
    }
    printValue("replay.records", static_cast<double>(log.records().size() - firstOfDay));
    printValue("replay.editions", editions);
    printValue("replay.day_s", processCpuSeconds() - dayStart);
    printValue("replay.day_mb", static_cast<double>(log.bytes() - bytesBefore) / 1e6);
    printValue("replay.rejected", observer.rejected);
    printValue("replay.snapshot_kb", static_cast<double>(replayer.state().serialize().size()) / 1e3);
    printValue("replay.peak_mib_of_writer_and_reader", peakMemoryMiB());
}

void measureCapacity(const options &options)
{
    for (const int divisor : options.quick ? std::vector<int>{ 8, 2 } : std::vector<int>{ 16, 8, 4, 2, 1 }) {
        const fleet_size size{ DESIGN_FLEET_SIZE.hosts / divisor, DESIGN_FLEET_SIZE.pools / divisor, DESIGN_FLEET_SIZE.teams / divisor, 13,
                               8 };
        const double memoryBefore = peakMemoryMiB();
        log_writer log;
        log.openSessions(size);
        log.publishConfiguration(makeConfigurationText(size));
        log.allocatePermits();
        const std::string prefix = fmt::format("capacity.hosts_{}", size.hosts);
        printValue(prefix + ".state_mib", peakMemoryMiB() - memoryBefore);
        printValue(prefix + ".snapshot_kb", static_cast<double>(log.state().serialize().size()) / 1e3);
        double start = processCpuSeconds();
        constexpr int PLAN_COUNT = 20;
        for (int i = 0; i < PLAN_COUNT; ++i) {
            planPermits(log.state(), 1, permit_tracker(1), false, instant());
        }
        printValue(prefix + ".permit_plan_us", (processCpuSeconds() - start) / PLAN_COUNT * 1e6);
        start = processCpuSeconds();
        const wave_plan plan = planWave(log.state(), hostNames(log.state()), {});
        printValue(prefix + ".wave_plan_ms", (processCpuSeconds() - start) * 1e3);
        printValue(prefix + ".wave_rounds", static_cast<double>(plan.rounds.size()));
        printValue(prefix + ".wave_lower_bound", static_cast<double>(plan.minRounds));
        std::string edited = makeConfigurationText(size);
        edited.append("key_grace_ms: 5000\n");
        start = processCpuSeconds();
        std::vector<config_problem> problems;
        parseConfiguration(log.state().editionText(), problems);
        printValue(prefix + ".parse_ms", (processCpuSeconds() - start) * 1e3);
        start = processCpuSeconds();
        log.publishConfiguration(edited);
        printValue(prefix + ".edition_ms", (processCpuSeconds() - start) * 1e3);
    }
}

} // namespace measure
