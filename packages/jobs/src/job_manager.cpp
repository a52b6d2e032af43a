#include <jujubespool/jobs/job_manager.h>

#include <algorithm>
#include <jujubespool/jobs/ledger_keys.h>

namespace jujubespool {

namespace {

constexpr seconds FORGET_INTERVAL{ 1 };

} // namespace

job_manager::job_manager(const manager_gateways &gateways, timer_service &clock, event_log &log, const manager_bounds &bounds,
                         const ownership &owned)
    : m_gateways(gateways)
    , m_clock(clock)
    , m_log(log)
    , m_model(bounds)
    , m_writer(gateways.store, clock, log, owned.epoch, owned.claimSequence + 1)
    , m_runs(m_model, gateways.workers, clock, log, owned.epoch, *this)
    , m_roster(m_model, gateways.hosts, log, owned.holder, owned.epoch)
    , m_upkeep(m_model, m_runs, m_roster, gateways.status, log)
    , m_mover(m_model, m_roster, m_upkeep, log)
{
    m_writer.onFenced([this](instant now) { onFenced(now); });
    m_writer.onReadyForNextAppend([this](instant now) { settle(now); });
    m_roster.setOrderRecorder([this](const std::string &host, std::function<void(instant now)> recorded) {
        wire::host_order_image image;
        image.set_ordered_ms(m_wall);
        m_writer.put({ ledgerKey(ledger_kind::host, host), image.SerializeAsString() });
        m_writer.whenDurable(std::move(recorded), m_tickedAt);
    });
    m_roster.setOwnershipCheck([this](instant now) { return isOwnershipConfirmed(now); });
    m_roster.onFenced([this](instant now) { onFenced(now); });
}

void job_manager::restore(const std::map<std::string, std::string> &entries, instant now, wall_ms wall)
{
    m_wall = wall;
    m_writer.confirmDurable(now);
    const auto owner = std::find_if(entries.begin(), entries.end(),
                                    [](const auto &item) { return parseLedgerKey(item.first).kind == ledger_kind::owner; });
    wire::owner_image former;
    const bool resigned = owner != entries.end() && former.ParseFromString(owner->second) && former.resigned();
    // A former owner that was cut off may have renewed leases for a while after its last record.
    const instant leaseEnd = now + m_model.leaseExpiryBound() + (resigned ? milliseconds(0) : SELF_FENCE_TIMEOUT);
    for (const auto &[key, value] : entries) {
        const ledger_key parsed = parseLedgerKey(key);
        wire::job_image image;
        wire::upkeep_image upkeep;
        wire::host_order_image ordered;
        if (parsed.kind == ledger_kind::job && image.ParseFromString(value)) {
            restoreJob(image, leaseEnd, now);
        } else if (parsed.kind == ledger_kind::wave && upkeep.ParseFromString(value)) {
            m_upkeep.restore(std::stoull(parsed.name), upkeep);
        } else if (parsed.kind == ledger_kind::host && ordered.ParseFromString(value)) {
            m_roster.restoreOrder(parsed.name, ordered.ordered_ms(), wall, now);
        }
    }
    if (m_model.configured()) {
        m_mover.restoreLoadHistory(now, wall);
    }
    m_log.write("ownership-restored",
                { { "entries", std::to_string(entries.size()) },
                  { "live_jobs", std::to_string(m_model.activeJobs().size()) },
                  { "workers", std::to_string(m_model.workers().all().size()) } });
    m_upkeep.onTakeOver(now);
    m_scheduleNeeded = true;
    settle(now);
}

void job_manager::restoreJob(const wire::job_image &image, instant leaseEnd, instant now)
{
    std::optional<job> parsed = job::fromImage(image);
    if (!parsed) {
        m_log.write("ledger-entry-unreadable", { { "job", image.id() } });
        return;
    }
    job &item = m_model.add(std::move(*parsed));
    std::vector<task_key> assigned;
    for (const auto &[number, occurrence] : item.occurrences()) {
        for (std::size_t step = 0; !occurrence.ended && step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                if (occurrence.steps[step][index].phase == task_phase::assigned) {
                    assigned.push_back({ image.id(), number, static_cast<int>(step), static_cast<int>(index) });
                }
            }
        }
    }
    for (const task_key &key : assigned) {
        m_model.restorePlacement(key, leaseEnd, now);
    }
}

void job_manager::setConfig(std::shared_ptr<const fleet_config> config, instant now)
{
    m_model.setConfig(std::move(config));
    m_scheduleNeeded = true;
    settle(now);
}

void job_manager::onWorkerReport(const worker_report &report, instant now)
{
    worker *before = m_model.workers().find(report.id);
    const bool appears = before == nullptr || !before->listed || before->report.startTimeMs != report.startTimeMs;
    const bool drains = !appears && before->report.state != report.state;
    if (appears || drains) {
        m_log.write("worker-listed",
                    { { "worker", report.id },
                      { "pool", report.pool },
                      { "state", std::string(nameOf(report.state)) },
                      { "born", std::to_string(report.startTimeMs) } });
    }
    std::vector<task_key> ended;
    if (before != nullptr && before->report.startTimeMs < report.startTimeMs) {
        for (const auto &[key, run] : before->runs) {
            ended.push_back(key);
        }
        m_model.releaseAll(ended);
    }
    m_model.workers().update(report, now);
    if (appears || drains) {
        m_scheduleNeeded = true;
        settle(now);
    }
}

void job_manager::onWorkerUnlisted(const std::string &id, instant)
{
    m_log.write("worker-unlisted", { { "worker", id } });
    m_model.workers().markUnlisted(id);
}

void job_manager::onWave(const host_maintenance_wave &wave, wall_ms wall)
{
    m_upkeep.setWave(wave, wall);
}

void job_manager::submit(const job_request &request, const std::function<void(submit_result end)> &done, instant now, wall_ms wall)
{
    m_wall = wall;
    const bool known = m_model.find(request.id) != nullptr;
    if ((m_resigned || m_lost) && !known) {
        done(submit_result::refused);
        return;
    }
    if (!known) {
        job &item = m_model.add(job::accept(request, wall));
        item.addDueOccurrences(wall);
        m_model.markChanged(request.id);
        m_scheduleNeeded = true;
    }
    settle(now);
    m_writer.whenDurable([done](instant) { done(submit_result::accepted); }, now);
}

void job_manager::cancel(const std::string &id, const std::function<void(cancel_result end)> &done, instant now, wall_ms wall)
{
    m_wall = wall;
    job *item = m_model.find(id);
    if (item == nullptr) {
        done(cancel_result::unknown_job);
        return;
    }
    if (!item->ended()) {
        m_model.endJob(*item, job_state::cancelled, wall);
    }
    settle(now);
    m_writer.whenDurable(
        [this, id, done](instant then) {
            done(cancel_result::cancelled);
            stopRuns(id, then);
        },
        now);
}

void job_manager::queryState(const std::string &id, const std::function<void(std::optional<job_state> state)> &done, instant now)
{
    const job *item = m_model.find(id);
    if (item == nullptr) {
        done(std::nullopt);
        return;
    }
    const job_state state = item->state();
    if (state == job_state::queued || state == job_state::running) {
        done(state);
        return;
    }
    settle(now);
    m_writer.whenDurable([done, state](instant) { done(state); }, now);
}

int job_manager::pendingJobCount(const std::string &queue) const
{
    return static_cast<int>(std::count_if(m_model.activeJobs().begin(), m_model.activeJobs().end(), [&](const std::string &id) {
        const job &item = m_model.jobs().at(id);
        return item.request().queue == queue && !item.hasStarted();
    }));
}

void job_manager::stopRuns(const std::string &id, instant now)
{
    job *item = m_model.find(id);
    if (item == nullptr) {
        return;
    }
    for (const auto &[number, occurrence] : item->occurrences()) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                if (occurrence.steps[step][index].phase == task_phase::assigned) {
                    m_runs.stop({ id, number, static_cast<int>(step), static_cast<int>(index) }, now);
                }
            }
        }
    }
}

void job_manager::tick(instant now, wall_ms wall)
{
    m_wall = wall;
    m_tickedAt = now;
    if (m_lost) {
        return;
    }
    for (const std::string &id : m_model.activeJobs()) {
        job *item = m_model.find(id);
        if (item->isRecurring() && item->addDueOccurrences(wall)) {
            m_model.markChanged(id);
            m_scheduleNeeded = true;
        }
    }
    if (!m_resigned) {
        m_roster.refresh(now);
        m_upkeep.tick(now, wall);
        m_mover.tick(now, wall);
    }
    m_runs.tick(now);
    if (now - m_lastForget > FORGET_INTERVAL) {
        m_lastForget = now;
        // Avoided workers come back by time alone, which no event tells.
        m_scheduleNeeded = true;
        forgetOld(wall);
    }
    settle(now);
}

void job_manager::forgetOld(wall_ms wall)
{
    std::vector<std::string> old;
    const auto kept = static_cast<wall_ms>(duration_cast<milliseconds>(m_model.bounds().statusRetention).count());
    for (const auto &[id, item] : m_model.jobs()) {
        if (item.ended() && item.endedAt() + kept < wall && !item.hasAssigned()) {
            old.push_back(id);
        }
    }
    for (const std::string &id : old) {
        m_model.remove(id);
        m_writer.put({ ledgerKey(ledger_kind::job, id), std::nullopt });
    }
}

void job_manager::onProgress(instant now)
{
    m_scheduleNeeded = true;
    settle(now);
}

void job_manager::whenDurable(std::function<void(instant now)> call, instant now)
{
    writeChanged();
    m_writer.whenDurable(std::move(call), now);
}

void job_manager::settle(instant now)
{
    if (m_lost) {
        return;
    }
    // Starts have to be recorded first, so nothing is gained by deciding while an append is on its way.
    if (m_scheduleNeeded && !m_resigned && !m_writer.appending()) {
        schedule(now);
    }
    writeChanged();
    m_writer.flush(now);
}

void job_manager::schedule(instant now)
{
    m_scheduleNeeded = false;
    if (!m_model.configured()) {
        return;
    }
    const schedule_result result = m_scheduler.decide(m_model, m_advice, now, m_wall);
    for (const ticket_request &question : result.questions) {
        ask(question);
    }
    if (result.placements.empty()) {
        return;
    }
    for (const placement &item : result.placements) {
        if (item.run == 1 && item.task.step == 0 && item.task.index == 0) {
            const job &started = *m_model.find(item.task.job);
            m_log.observe("first_start", started.request().team, milliseconds(m_wall - std::min(m_wall, started.acceptedAt())));
        }
    }
    writeChanged();
    m_writer.whenDurable(
        [this, placements = result.placements](instant then) {
            for (const placement &item : placements) {
                m_log.write("start", { { "task", item.task.text() }, { "run", std::to_string(item.run) }, { "worker", item.worker } });
                m_runs.start(item, then);
            }
        },
        now);
}

void job_manager::writeChanged()
{
    for (const std::string &id : m_model.takeChanged()) {
        const job *item = m_model.find(id);
        if (item != nullptr) {
            m_writer.put({ ledgerKey(ledger_kind::job, id), item->toImage().SerializeAsString() });
        }
    }
    for (const std::string &id : m_model.takeEnded()) {
        noteEnded(id);
    }
    for (const auto &[number, image] : m_upkeep.takeChanged()) {
        m_writer.put({ ledgerKey(ledger_kind::wave, std::to_string(number)), image.SerializeAsString() });
    }
}

void job_manager::noteEnded(const std::string &id)
{
    const job *item = m_model.find(id);
    if (item == nullptr) {
        return;
    }
    const milliseconds age(m_wall - std::min(m_wall, item->acceptedAt()));
    m_log.write("job-changed",
                { { "job", id }, { "state", std::string(nameOf(item->state())) }, { "age_ms", std::to_string(age.count()) } });
    m_log.count("jobs_ended_total", nameOf(item->state()));
    if (item->state() == job_state::completed) {
        m_log.observe("job", item->request().team, age);
    } else if (item->state() == job_state::failed) {
        m_clock.after(milliseconds(0), m_lifetime.guard([this, id](instant now) { stopRuns(id, now); }));
    }
}

void job_manager::ask(const ticket_request &question)
{
    m_advice.recordRequest(question.step);
    m_gateways.advice.requestTickets(question.step, question.workers,
                                     m_lifetime.guard([this, question](const ticket_response &result, instant now) {
                                         m_advice.recordResponse(question, result, m_model.workers(), now);
                                         onProgress(now);
                                     }));
}

void job_manager::onBadTicket(const task_key &key, const std::string &workerId)
{
    m_advice.invalidateTicket(key.job + "." + std::to_string(key.occurrence) + "." + std::to_string(key.step), workerId);
}

bool job_manager::isOwnershipConfirmed(instant now) const
{
    return now - m_writer.lastDurableAt() < SELF_FENCE_TIMEOUT || m_confirmedByPeers(now);
}

wall_ms job_manager::wallNow() const
{
    return m_wall;
}

void job_manager::onFenced(instant now)
{
    if (!m_lost) {
        m_lost = true;
        m_onOwnershipLost(now);
    }
}

void job_manager::resign(std::function<void(instant now)> done, instant now)
{
    m_resigned = true;
    settle(now);
    m_writer.whenDurable(std::move(done), now);
}

void job_manager::renewOwnership(const ledger_entry &record, instant now)
{
    m_writer.put(record);
    m_writer.flush(now);
}

} // namespace jujubespool
