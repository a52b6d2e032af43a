// Replay of a day's records, planning and the control cost at several sizes.
#include "measure.h"

#include <jujubespool/core/config_change.h>
#include <jujubespool/core/dispatcher.h>
#include <jujubespool/core/edition.h>
#include <jujubespool/core/log_replayer.h>
#include <jujubespool/core/permit_planner.h>
#include <jujubespool/core/wave_planner.h>

namespace measure {

namespace {

using namespace jujubespool;

constexpr int ENTRY_HOSTS = 9;
constexpr int EDITIONS_A_DAY = 3500;
constexpr int HOST_EVENTS_A_DAY = 486;
// Hosts that a wave treats on an ordinary day when each is treated once in 5 weeks.
constexpr int MAINTAINED_A_DAY = 7400 / 35;

class silent_observer : public replay_observer
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

// Writes the records of a fleet as its entry hosts would.
class record_writer
{
public:
    record_writer()
        : m_replay(m_observer)
    {
    }

    void write(session_id session, wire::record record)
    {
        record.set_session(session);
        record.set_sequence(++m_sequences[session]);
        m_records.push_back(record.SerializeAsString());
        m_bytes += m_records.back().size();
        m_replay.consumeRecord(m_records.size() - 1, m_records.back());
    }

    void open(const fleet_size &size)
    {
        for (int i = 0; i < ENTRY_HOSTS; ++i) {
            wire::record record;
            record.mutable_open()->set_host(fmt::format("entry-{}", i));
            record.mutable_open()->set_data_center(fmt::format("dc{}", i % size.dataCenters));
            record.mutable_open()->set_started_ms(1);
            write(static_cast<session_id>(i) + 1, record);
        }
    }

    void publish(const std::string &text)
    {
        wire::record record;
        std::vector<config_problem> problems;
        *record.mutable_publish() = makeEdition(m_replay.state(), text, problems).value();
        write(1, record);
    }

    // Writes the edition that changes one team's limit, as makeEdition() would without parsing the text.
    void changeLimit(std::size_t line, const std::string &team, int limit)
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
        write(1, record);
    }

    void settlePermits()
    {
        for (int round = 0; round < 2; ++round) {
            for (int i = 1; i <= ENTRY_HOSTS; ++i) {
                const auto session = static_cast<session_id>(i);
                permit_plan plan = planPermits(m_replay.state(), session, permit_tracker(session), false, instant());
                if (plan.take.entries_size() > 0) {
                    wire::record record;
                    *record.mutable_take() = plan.take;
                    write(session, record);
                }
            }
        }
    }

    void step(const std::string &host, wire::maintenance_step step)
    {
        wire::record record;
        record.mutable_step()->set_host(host);
        record.mutable_step()->set_step(step);
        write(1, record);
    }

    const fleet_state &state() const
    {
        return m_replay.state();
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
    silent_observer m_observer;
    log_replayer m_replay;
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

// One day: editions that each change one team's limit, failures and recoveries, and one day's part of the wave.
void writeDay(record_writer &log, const fleet_size &size, int editions)
{
    const std::size_t firstTeam = log.state().editionLines().size() - 1 - static_cast<std::size_t>(size.teams);
    for (int i = 0; i < editions; ++i) {
        log.changeLimit(firstTeam + static_cast<std::size_t>(i % size.teams), fmt::format("t{}", i % size.teams), 10 + i % 50);
        if (i % (editions / HOST_EVENTS_A_DAY + 1) == 0) {
            const std::string host = fmt::format("h{:05}", i % size.hosts);
            log.step(host, wire::MAINTENANCE_STEP_FAILED);
            log.step(host, wire::MAINTENANCE_STEP_VERIFIED);
        }
    }
    for (int i = 0; i < MAINTAINED_A_DAY && i < size.hosts; ++i) {
        wire::record record;
        record.mutable_drain()->set_host(fmt::format("h{:05}", i));
        log.write(1, record);
        wire::record undrain;
        undrain.mutable_undrain()->set_host(fmt::format("h{:05}", i));
        log.write(1, undrain);
    }
}

} // namespace

void measureReplay(const options &options)
{
    const int editions = options.quick ? 350 : EDITIONS_A_DAY;
    record_writer log;
    log.open(TWO_YEAR_SIZE);
    log.publish(fleetText(TWO_YEAR_SIZE));
    log.settlePermits();
    const std::size_t first = log.records().size();
    const std::size_t bytesBefore = log.bytes();
    writeDay(log, TWO_YEAR_SIZE, editions);
    const double before = processorSeconds();
    silent_observer observer;
    log_replayer replay(observer);
    log_offset offset = 0;
    double start = before;
    for (const std::string &record : log.records()) {
        if (offset == first) {
            start = processorSeconds();
            print("replay.start_s", start - before);
        }
        replay.consumeRecord(offset++, record);
    }
    print("replay.records", static_cast<double>(log.records().size() - first));
    print("replay.editions", editions);
    print("replay.day_s", processorSeconds() - start);
    print("replay.day_mb", static_cast<double>(log.bytes() - bytesBefore) / 1e6);
    print("replay.rejected", observer.rejected);
    print("replay.snapshot_kb", static_cast<double>(replay.state().serialize().size()) / 1e3);
    print("replay.peak_mib_of_writer_and_reader", peakMemoryMiB());
}

void measureCapacity(const options &options)
{
    for (const int divisor : options.quick ? std::vector<int>{ 8, 2 } : std::vector<int>{ 16, 8, 4, 2, 1 }) {
        const fleet_size size{ TWO_YEAR_SIZE.hosts / divisor, TWO_YEAR_SIZE.pools / divisor, TWO_YEAR_SIZE.teams / divisor, 13, 8 };
        const double memoryBefore = peakMemoryMiB();
        record_writer log;
        log.open(size);
        log.publish(fleetText(size));
        log.settlePermits();
        const std::string name = fmt::format("capacity.hosts_{}", size.hosts);
        print(name + ".state_mib", peakMemoryMiB() - memoryBefore);
        print(name + ".snapshot_kb", static_cast<double>(log.state().serialize().size()) / 1e3);
        double start = processorSeconds();
        constexpr int PLANS = 20;
        for (int i = 0; i < PLANS; ++i) {
            planPermits(log.state(), 1, permit_tracker(1), false, instant());
        }
        print(name + ".permit_plan_us", (processorSeconds() - start) / PLANS * 1e6);
        start = processorSeconds();
        const wave_plan plan = planWave(log.state(), hostNames(log.state()), {});
        print(name + ".wave_plan_ms", (processorSeconds() - start) * 1e3);
        print(name + ".wave_rounds", static_cast<double>(plan.rounds.size()));
        print(name + ".wave_lower_bound", static_cast<double>(plan.minRounds));
        std::string edited = fleetText(size);
        edited.append("key_grace_ms: 5000\n");
        start = processorSeconds();
        std::vector<config_problem> problems;
        parseConfiguration(log.state().editionText(), problems);
        print(name + ".parse_ms", (processorSeconds() - start) * 1e3);
        start = processorSeconds();
        log.publish(edited);
        print(name + ".edition_ms", (processorSeconds() - start) * 1e3);
    }
}

} // namespace measure
