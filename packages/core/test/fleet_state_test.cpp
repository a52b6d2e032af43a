// Tests of the replicated state and of the components that use it: records, concurrent writers, snapshots and gaps.
#include <fmt/format.h>
#include <jujubespool/core/claim_registry.h>
#include <jujubespool/core/dispatcher.h>
#include <jujubespool/core/edition.h>
#include <jujubespool/core/hashing.h>
#include <jujubespool/core/log_replayer.h>
#include <jujubespool/core/permit_planner.h>
#include <jujubespool/core/wave_planner.h>
#include <jujubespool/testing/table.h>

namespace {

using namespace jujubespool;

const instant START = instant(seconds(1000));

std::string configText(int hosts, int percent, int limit)
{
    std::string text = "data_centers: [a]\npools:\n  - name: p\n    hosts:\n";
    for (int i = 0; i < hosts; ++i) {
        text += fmt::format("      - {{ name: h{}, data_center: a, rack: r{}, address: \"127.0.0.1:{}\" }}\n", i, i / 4, i + 1);
    }
    text += "  - { name: spare, spare: true }\n";
    text += fmt::format("services:\n  - {{ name: s, pool: p, max_unavailable_percent: {}, max_run_ms: 100 }}\n", percent);
    return text + fmt::format("teams:\n  - {{ name: t, share: 1, limit: {} }}\n", limit);
}

// In-memory log. Writes records with the sequence numbers of their session and replays them.
class test_log : public replay_observer
{
public:
    void open(session_id session, const std::string &host, wall_ms started)
    {
        wire::record record;
        record.mutable_open()->set_host(host);
        record.mutable_open()->set_data_center("a");
        record.mutable_open()->set_started_ms(started);
        write(session, record);
    }

    apply_verdict write(session_id session, wire::record record)
    {
        record.set_session(session);
        record.set_sequence(++m_sequences[session]);
        return append(record);
    }

    apply_verdict append(const wire::record &record)
    {
        m_last = record;
        m_records.push_back(record.SerializeAsString());
        m_replay.consumeRecord(m_records.size() - 1, m_records.back());
        return m_verdict;
    }

    apply_verdict publish(session_id session, log_offset base, const std::string &text)
    {
        wire::record record;
        record.mutable_publish()->set_base(base);
        record.mutable_publish()->set_text(text);
        return write(session, record);
    }

    apply_verdict take(session_id session, const std::string &resource, std::uint32_t count)
    {
        wire::record record;
        wire::permit_entry &entry = *record.mutable_take()->add_entries();
        entry.set_resource(resource);
        entry.set_count(count);
        return write(session, record);
    }

    apply_verdict returnPermits(session_id session, const std::string &resource, std::uint32_t count)
    {
        wire::record record;
        wire::permit_entry &entry = *record.mutable_give()->add_entries();
        entry.set_resource(resource);
        entry.set_count(count);
        return write(session, record);
    }

    apply_verdict drain(session_id session, const std::string &host, const std::string &pool = {}, const std::string &wave = {})
    {
        wire::record record;
        record.mutable_drain()->set_host(host);
        record.mutable_drain()->set_move_to_pool(pool);
        record.mutable_drain()->set_wave(wave);
        return write(session, record);
    }

    apply_verdict step(session_id session, const std::string &host, const std::string &wave, wire::maintenance_step step)
    {
        wire::record record;
        record.mutable_step()->set_host(host);
        record.mutable_step()->set_wave(wave);
        record.mutable_step()->set_step(step);
        return write(session, record);
    }

    void onRecordApplied(log_offset, const wire::record &, const apply_result &result) override
    {
        m_verdict = result.verdict;
    }
    void onRecordUndecodable(log_offset) override
    {
    }
    void onSnapshotLoaded(log_offset) override
    {
    }

    const fleet_state &state() const
    {
        return m_replay.state();
    }
    const std::vector<std::string> &records() const
    {
        return m_records;
    }
    log_replayer &replay()
    {
        return m_replay;
    }

private:
    log_replayer m_replay{ *this };
    std::map<session_id, std::uint64_t> m_sequences;
    std::vector<std::string> m_records;
    wire::record m_last;
    apply_verdict m_verdict = apply_verdict::accepted;
};

struct wave_case
{
    const char *name;
    int hosts;
    int percent;
    std::size_t expectedRounds;
};

const wave_case WAVE_CASES[] = {
    { "one at a time", 10, 10, 10 },
    { "a fifth at a time", 10, 20, 5 },
    { "last round not full", 10, 30, 4 },
    { "all at once", 8, 100, 1 },
};

} // namespace

Test(fleetState, rejectsAConcurrentEditionAndKeepsTheFirst)
{
    test_log log;
    log.open(1, "e1", 1);
    log.open(2, "e2", 1);
    cr_assert_eq(log.publish(1, 0, configText(4, 50, 4)), apply_verdict::accepted);
    cr_assert_eq(log.publish(2, 0, configText(5, 50, 4)), apply_verdict::rejected,
                 "expected the edition with an outdated base to be rejected");
    cr_assert_eq(log.state().config().hosts.size(), 4U);
    cr_assert_eq(log.publish(2, log.state().editionOffset(), configText(5, 50, 4)), apply_verdict::accepted);
}

Test(fleetState, doesNotApplyADuplicateRecordAgain)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(4, 50, 4));
    wire::record record;
    record.set_session(1);
    record.set_sequence(3);
    wire::permit_entry &entry = *record.mutable_take()->add_entries();
    entry.set_resource(teamResource("t"));
    entry.set_count(1);
    cr_assert_eq(log.append(record), apply_verdict::accepted);
    cr_assert_eq(log.append(record), apply_verdict::duplicate);
    cr_assert_eq(log.state().permitAllocations().heldBy(teamResource("t"), 1), 1U);
    record.set_sequence(5);
    cr_assert_eq(log.append(record), apply_verdict::rejected, "expected a record out of order to be rejected");
}

Test(fleetState, rejectsATakeBeyondTheLimit)
{
    test_log log;
    log.open(1, "e1", 1);
    log.open(2, "e2", 1);
    log.publish(1, 0, configText(4, 50, 4));
    cr_assert_eq(log.take(1, teamResource("t"), 3), apply_verdict::accepted);
    cr_assert_eq(log.take(2, teamResource("t"), 2), apply_verdict::rejected);
    cr_assert_eq(log.state().permitAllocations().find(teamResource("t"))->totalHeld(), 3U);
}

Test(fleetState, aNewSessionOfAHostEndsThePreviousOne)
{
    test_log log;
    log.open(1, "e1", 10);
    log.open(2, "e1", 20);
    cr_assert_not(log.state().isLive(1));
    cr_assert(log.state().isLive(2));
    log.open(3, "e1", 15);
    cr_assert(log.state().isLive(2), "expected an earlier start to be rejected");
}

Test(fleetState, aHostMovesOnlyWhenNoSlotIsHeld)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(4, 50, 4));
    log.take(1, workerResource("h0"), 8);
    cr_assert_eq(log.drain(1, "h0", "spare"), apply_verdict::accepted);
    cr_assert_str_eq(log.state().hosts().at("h0").pool.c_str(), "p", "expected the host to stay while a slot is held");
    log.returnPermits(1, workerResource("h0"), 8);
    cr_assert_str_eq(log.state().hosts().at("h0").pool.c_str(), "spare");
    cr_assert_eq(log.state().hosts().at("h0").state, host_state::active);
}

Test(fleetState, failedHostsCountAgainstTheBudget)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(4, 50, 4));
    cr_assert_eq(log.step(1, "h3", {}, wire::MAINTENANCE_STEP_FAILED), apply_verdict::accepted);
    cr_assert_eq(log.drain(1, "h0"), apply_verdict::accepted);
    cr_assert_eq(log.drain(1, "h1"), apply_verdict::rejected, "expected the budget of two hosts to be used up");
}

Test(fleetState, aWaveStepIsAppliedOnce)
{
    test_log log;
    log.open(1, "e1", 1);
    log.open(2, "e2", 1);
    log.publish(1, 0, configText(4, 50, 4));
    wire::record record;
    record.mutable_wave()->set_name("w");
    record.mutable_wave()->add_hosts("h0");
    log.write(1, record);
    cr_assert_eq(log.drain(1, "h0", {}, "w"), apply_verdict::accepted);
    cr_assert_eq(log.drain(2, "h0", {}, "w"), apply_verdict::rejected);
    cr_assert_eq(log.step(1, "h0", "w", wire::MAINTENANCE_STEP_REBOOT), apply_verdict::accepted);
    cr_assert_eq(log.step(2, "h0", "w", wire::MAINTENANCE_STEP_REBOOT), apply_verdict::rejected);
    cr_assert_eq(log.step(2, "h0", "w", wire::MAINTENANCE_STEP_VERIFIED), apply_verdict::accepted);
    cr_assert_eq(log.state().waves().at("w").state, wave_state::finished);
}

Test(logReplayer, skipsAndCountsUndecodableRecords)
{
    test_log log;
    log.open(1, "e1", 1);
    log.replay().consumeRecord(1, "\xff\xff garbage");
    cr_assert_eq(log.replay().undecodableCount(), 1U);
    cr_assert_eq(log.replay().nextOffset(), 2U);
    cr_assert(log.state().isLive(1));
}

Test(logReplayer, startsFromTheNewestSnapshotAfterAGap)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(40, 50, 4));
    log.take(1, workerResource("h0"), 8);
    log.drain(1, "h0");
    const log_offset cut = log.records().size();
    for (wire::record &record : makeSnapshotRecords(log.state())) {
        log.write(1, record);
    }
    log.take(1, teamResource("t"), 2);
    test_log lateReader;
    for (log_offset offset = cut; offset < log.records().size(); ++offset) {
        cr_assert(offset == cut || !lateReader.replay().isCurrent() || lateReader.state().editionOffset() > 0,
                  "expected a gap before the snapshot");
        lateReader.replay().consumeRecord(offset, log.records()[offset]);
    }
    cr_assert(lateReader.replay().isCurrent());
    cr_assert_eq(lateReader.state().editionOffset(), log.state().editionOffset());
    cr_assert(lateReader.state().serialize() == log.state().serialize(), "expected the late reader's state to equal the first one's");
}

Test(logReplayer, theSnapshotOffsetIncludesRecordsThatPrecedeTheChunksButNotTheSnapshot)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(40, 50, 4));
    const std::vector<wire::record> snapshot = makeSnapshotRecords(log.state());
    log.take(1, workerResource("h0"), 8);
    for (const wire::record &record : snapshot) {
        log.write(1, record);
    }
    test_log lateReader;
    for (log_offset offset = log.replay().snapshotOffset(); offset < log.records().size(); ++offset) {
        lateReader.replay().consumeRecord(offset, log.records()[offset]);
    }
    cr_assert(lateReader.replay().isCurrent(), "expected the log from the snapshot offset on to be sufficient");
    cr_assert(lateReader.state().serialize() == log.state().serialize(), "expected the late reader's state to equal the first one's");
}

Test(logReplayer, anOlderSnapshotDoesNotReplaceTheState)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(4, 50, 4));
    const std::vector<wire::record> old = makeSnapshotRecords(log.state());
    log.publish(1, log.state().editionOffset(), configText(6, 50, 4));
    const log_offset edition = log.state().editionOffset();
    // After a gap, a snapshot follows that was taken before the last edition.
    wire::record chunk = old.front();
    chunk.set_session(1);
    chunk.set_sequence(99);
    log.replay().consumeRecord(100, chunk.SerializeAsString());
    cr_assert_eq(log.state().editionOffset(), edition, "expected the edition to stay in force");
}

Test(claimRegistry, fencesKeysOfAnEndedOwner)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(4, 50, 4));
    const std::string hash = hashParts({ "5000-key" });
    log.take(1, rangeResource(claimRangeOf(hash)), 1);
    log.open(2, "e1", 2);
    wire::record reclaim;
    reclaim.mutable_reclaim()->set_session(1);
    reclaim.mutable_reclaim()->set_fenced_ms(6000);
    log.write(2, reclaim);
    log.take(2, rangeResource(claimRangeOf(hash)), 1);
    claim_registry registry(2);
    const permit_tracker permits(2);
    wire::claim wanted;
    wanted.set_key_hash(hash);
    wanted.set_runner(2);
    wanted.set_issued_ms(5000);
    cr_assert_eq(registry.decide(wanted, log.state(), permits, 7000, START).verdict, wire::CLAIM_VERDICT_UNKNOWN);
    wanted.set_issued_ms(6500);
    cr_assert_eq(registry.decide(wanted, log.state(), permits, 7000, START).verdict, wire::CLAIM_VERDICT_FIRST);
    wanted.set_nonce(2);
    cr_assert_eq(registry.decide(wanted, log.state(), permits, 7000, START).verdict, wire::CLAIM_VERDICT_REPEATED);
    wanted.set_fingerprint("other");
    cr_assert_eq(registry.decide(wanted, log.state(), permits, 7000, START).verdict, wire::CLAIM_VERDICT_MISMATCH);
}

ParameterizedTestParameters(wavePlanner, plansTheMinimumNumberOfRounds)
{
    return rowsOf(WAVE_CASES);
}

ParameterizedTest(std::size_t *row, wavePlanner, plansTheMinimumNumberOfRounds)
{
    const wave_case &testCase = WAVE_CASES[*row];
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(testCase.hosts, testCase.percent, 4));
    std::vector<std::string> hosts;
    for (const auto &[name, status] : log.state().hosts()) {
        hosts.push_back(name);
    }
    const wave_plan plan = planWave(log.state(), hosts, {});
    cr_assert_eq(plan.rounds.size(), testCase.expectedRounds, "%s: expected %zu rounds, got %zu", testCase.name, testCase.expectedRounds,
                 plan.rounds.size());
    cr_assert_eq(plan.minRounds, testCase.expectedRounds);
    for (const wave_round &round : plan.rounds) {
        cr_assert_leq(round.hosts.size(), log.state().allowedUnavailable("p"));
    }
}

Test(permitPlanner, splitsEachLimitBetweenTheSessions)
{
    test_log log;
    log.open(1, "e1", 1);
    log.open(2, "e2", 1);
    log.open(3, "e3", 1);
    log.publish(1, 0, configText(4, 50, 7));
    std::uint32_t targets = 0;
    for (const session_id session : log.state().liveSessions()) {
        const permit_plan plan = planPermits(log.state(), session, permit_tracker(session), false, START);
        for (const wire::permit_entry &entry : plan.take.entries()) {
            targets += entry.resource() == teamResource("t") ? entry.count() : 0;
        }
    }
    cr_assert_eq(targets, 7U, "expected the plans of all sessions to take 7, got %u", targets);
}

Test(edition, changesResultInTheSameStateAsTheCompleteText)
{
    test_log log;
    log.open(1, "e1", 1);
    std::string text = configText(12, 50, 4);
    log.publish(1, 0, text);
    log.take(1, workerResource("h3"), 2);
    const std::string edits[] = {
        configText(12, 50, 9),
        configText(14, 50, 9),
        configText(11, 50, 9),
        configText(11, 40, 2) + "  - { name: another, share: 3, limit: 7 }\n",
    };
    for (const std::string &edited : edits) {
        std::vector<config_problem> problems;
        wire::record record;
        *record.mutable_publish() = makeEdition(log.state(), edited, problems).value();
        cr_assert(record.publish().has_change() && record.publish().text().empty(), "expected a difference and not the text");
        cr_assert_eq(log.write(1, record), apply_verdict::accepted);
        cr_assert(log.state().editionText() == edited, "expected the patched text to equal the edited one");
        failure reason;
        const auto loaded = fleet_state::load(log.state().serialize(), reason);
        cr_assert(loaded.has_value(), "%s", reason.reason.c_str());
        cr_assert(loaded->serialize() == log.state().serialize(), "expected the loaded state to equal the replayed one");
        cr_assert(loaded->config().hosts == log.state().config().hosts && loaded->config().teams == log.state().config().teams);
        cr_assert_eq(loaded->allowedUnavailable("p"), log.state().allowedUnavailable("p"));
    }
}

Test(edition, movesAndRemovesHostsOnlyWithinTheBudget)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(10, 20, 4));
    std::vector<config_problem> problems;
    wire::record record;
    *record.mutable_publish() = makeEdition(log.state(), configText(7, 30, 4), problems).value();
    cr_assert_eq(log.write(1, record), apply_verdict::rejected,
                 "expected the removal of three of ten hosts to exceed the budget of 20 percent");
    *record.mutable_publish() = makeEdition(log.state(), configText(8, 20, 4), problems).value();
    cr_assert_eq(log.write(1, record), apply_verdict::accepted);
    std::string moved = configText(8, 20, 4);
    const std::string spare = "  - { name: spare, spare: true }\n";
    moved.replace(moved.find(spare), spare.size(),
                  "  - name: spare\n    spare: true\n    hosts: [{ name: h0, data_center: a, rack: r0, address: \"127.0.0.1:1\" }]\n");
    const std::size_t line = moved.find("      - { name: h0");
    moved.erase(line, moved.find('\n', line) + 1 - line);
    *record.mutable_publish() = makeEdition(log.state(), moved, problems).value();
    cr_assert_eq(log.write(1, record), apply_verdict::accepted);
    cr_assert_str_eq(log.state().hosts().at("h0").pool.c_str(), "p", "expected the host to stay until it is drained");
    cr_assert_str_eq(log.state().hosts().at("h0").wantedPool.c_str(), "spare");
    cr_assert_eq(log.drain(1, "h0", "spare"), apply_verdict::accepted);
    cr_assert_str_eq(log.state().hosts().at("h0").pool.c_str(), "spare");
    cr_assert_str_empty(log.state().hosts().at("h0").wantedPool.c_str());
}

Test(fleetState, rangesOfAnEndedSessionAreReclaimedBeforeItsPermits)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(4, 50, 4));
    log.take(1, rangeResource(3), 1);
    log.take(1, teamResource("t"), 2);
    log.open(2, "e1", 2);
    wire::record record;
    record.mutable_reclaim()->set_session(1);
    record.mutable_reclaim()->set_fenced_ms(77);
    record.mutable_reclaim()->set_ranges_only(true);
    cr_assert_eq(log.write(2, record), apply_verdict::accepted);
    cr_assert_eq(log.state().claimRangeFence(3), 77U, "expected the range to be fenced");
    cr_assert_eq(log.state().permitAllocations().heldBy(rangeResource(3), 1), 0U);
    cr_assert_eq(log.state().permitAllocations().heldBy(teamResource("t"), 1), 2U,
                 "expected the permits to stay held until the full reclaim");
    record.mutable_reclaim()->set_ranges_only(false);
    cr_assert_eq(log.write(2, record), apply_verdict::accepted);
    cr_assert_eq(log.state().permitAllocations().heldBy(teamResource("t"), 1), 0U);
}

Test(dispatcher, refusesRequestsThatCannotFinishBeforeTheirDeadline)
{
    test_log log;
    log.open(1, "e1", 1);
    log.publish(1, 0, configText(4, 50, 4));
    log.take(1, workerResource("h0"), 1);
    log.take(1, teamResource("t"), 4);
    permit_tracker permits(1);
    dispatcher requests(permits, 1);
    failure reason;
    // After one run of 50 ms, the dispatcher estimates the run time of the team's requests as 50 ms.
    cr_assert(requests.admit({ 1, "t", "s", request_class::normal, START + seconds(1), false }, log.state(), START, reason));
    cr_assert_eq(requests.schedule(log.state(), START).size(), 1U);
    cr_assert(requests.admit({ 2, "t", "s", request_class::normal, START + milliseconds(60), false }, log.state(), START, reason));
    cr_assert_eq(requests.schedule(log.state(), START).size(), 0U, "expected the only slot to be in use");
    const instant later = START + milliseconds(50);
    cr_assert_eq(requests.onResult(1, attempt_result::answered, log.state(), later), result_action::reply);
    cr_assert_eq(requests.schedule(log.state(), later).size(), 0U, "expected no start of a request that needs 50 ms with 10 ms left");
    const auto refused = requests.expire(later);
    cr_assert_eq(refused.size(), 1U);
    cr_assert_eq(refused.front().outcome, outcome::not_run);
    cr_assert_eq(permits.inUse(workerResource("h0")), 0U);
    cr_assert_not(requests.admit({ 3, "t", "s", request_class::normal, later + milliseconds(10), false }, log.state(), later, reason),
                  "expected the request to be refused at admission");
}
