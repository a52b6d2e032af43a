#include <jujubespool/jobs/job_manager.h>

#include <algorithm>
#include <charconv>
#include <jujubespool/jobs/ledger_keys.h>

namespace jujubespool {

namespace {

// Interval at which ended jobs are checked for expiry and scheduling is repeated.
constexpr seconds EXPIRY_CHECK_INTERVAL{ 1 };
// A caller may read the end of a job at most this long after the time in its record. A record that took longer is written again.
constexpr milliseconds MAX_END_RECORD_TIME{ 1000 };
// A caller that asks for a state in time may be refused for this long, by a take-over at most, and asks again.
constexpr milliseconds MAX_TIME_REFUSED{ 14000 };
// If the store has not answered an append for this long, hosts are neither moved nor maintained: each order needs a record, and tasks
// that lose their host could not be started elsewhere.
constexpr milliseconds STORE_SILENT_BEFORE_HOSTS_STAY{ 700 };

// The policy service handles up to 32 waiting requests before one that it accepts. Its answer is used whenever it comes, and this bounds
// what a service that never answers makes a process hold.
constexpr milliseconds MAX_TICKET_RESPONSE_TIME{ 120000 };

// A record contains the key of the job beside its image.
constexpr std::size_t MAX_KEY_BYTES = 64;

bool hasValidTicket(const placement &placed, instant now)
{
    return !placed.ticketValidUntil || now < *placed.ticketValidUntil;
}

} // namespace

job_manager::job_manager(const manager_gateways &gateways, timer_service &timers, event_log &log, const manager_bounds &bounds,
                         const ownership &owned)
    : m_gateways(gateways)
    , m_timers(timers)
    , m_log(log)
    , m_model(bounds)
    , m_writer(gateways.store, timers, log, owned.epoch, owned.claimSequence + 1)
    , m_runs(m_model, gateways.workers, timers, log, owned.epoch, *this)
    , m_hostController(m_model, gateways.hosts, log, owned.holder, owned.epoch)
    , m_hostMaintenance(m_model, m_runs, m_hostController, gateways.status, log)
    , m_poolRebalancer(m_model, m_hostController, m_hostMaintenance, log)
    , m_waitReporter(m_model, m_tickets, log)
    , m_epoch(owned.epoch)
{
    m_writer.confirm(owned.claimSentAt);
    m_writer.onFenced([this](instant now) { onFenced(now); });
    m_writer.onReadyForNextAppend([this](instant now) { processChanges(now); });
    m_hostController.setOrderRecorder([this](const host_order_record &order, std::function<void(instant now)> recorded) {
        wire::host_order_image image;
        if (order.wave) {
            image.set_wave(*order.wave);
        }
        image.set_ordered_ms(m_wall);
        image.set_ordered_ledger_ms(m_clock.at(m_tickedAt));
        m_writer.put({ ledgerKey(ledger_kind::host, order.host), image.SerializeAsString() });
        m_writer.whenDurable(std::move(recorded), m_tickedAt);
    });
    m_hostController.setOwnershipCheck([this](instant now) { return isOwnershipConfirmed(now); });
    m_hostController.onFenced([this](instant now) { onFenced(now); });
}

void job_manager::restore(const std::map<std::string, std::string> &entries, instant now, wall_ms wall)
{
    m_wall = wall;
    const auto ownerEntry = std::find_if(entries.begin(), entries.end(),
                                         [](const auto &entry) { return parseLedgerKey(entry.first).kind == ledger_kind::owner; });
    wire::owner_image lastOwner;
    // A ledger without a record of the ownership has never had an owner.
    const bool neverOwned = ownerEntry == entries.end();
    const bool ended
        = neverOwned || (lastOwner.ParseFromString(ownerEntry->second) && lastOwner.resigned() && lastOwner.predecessors_ended());
    m_clock.restore(lastOwner.ledger_ms(), now);
    // A former owner that lost its connection to the store may renew leases for up to SELF_FENCE_TIMEOUT after its last record, and for
    // longer if the peers confirm its ownership.
    const instant leaseEnd = now + m_model.leaseExpiryBound() + (ended ? milliseconds(0) : SELF_FENCE_TIMEOUT);
    m_formerRenewalsEnd = now + (ended ? milliseconds(0) : MAX_TIME_WITHOUT_RECORD);
    for (const auto &[key, value] : entries) {
        const ledger_key parsed = parseLedgerKey(key);
        wire::job_image image;
        wire::host_order_image hostOrder;
        if (parsed.kind == ledger_kind::job && image.ParseFromString(value)) {
            restoreJob(image, leaseEnd, now);
        } else if (parsed.kind == ledger_kind::queue) {
            restoreQueue(parsed.name, value);
        } else if (parsed.kind == ledger_kind::wave) {
            restoreWave(parsed.name, value, now);
        } else if (parsed.kind == ledger_kind::host && hostOrder.ParseFromString(value)) {
            restoreHostOrder(parsed.name, hostOrder, now);
        }
    }
    recordMissingEnds(now);
    logUnknownQueues();
    if (m_model.configured()) {
        m_poolRebalancer.restoreLoadHistory(now, wall);
    }
    m_log.write("ownership-restored",
                { { "entries", std::to_string(entries.size()) },
                  { "live_jobs", std::to_string(m_model.activeJobs().size()) },
                  { "workers", std::to_string(m_model.workers().all().size()) } });
    m_hostMaintenance.onTakeOver(now);
    requestSchedule(now);
    processChanges(now);
}

void job_manager::restoreHostOrder(const std::string &host, const wire::host_order_image &image, instant now)
{
    // An order that an earlier version has recorded counts as just sent.
    const ledger_ms orderedAt = image.ordered_ledger_ms();
    m_hostController.restoreOrder(host, orderedAt == 0 ? milliseconds(0) : m_clock.since(orderedAt, now), now);
    if (image.has_wave()) {
        m_hostMaintenance.restoreOrder(host, image.wave());
    }
}

void job_manager::restoreQueue(const std::string &name, const std::string &value)
{
    const std::optional<queue_config> queue = queueFromImage(value);
    if (!queue || queue->name != name) {
        m_log.write("ledger-entry-unreadable", { { "queue", name } });
        return;
    }
    m_model.restoreQueue(*queue);
}

void job_manager::recordMissingEnds(instant now)
{
    std::vector<job_id> unrecorded;
    for (const auto &[id, stored] : m_model.jobs()) {
        if (stored.ended() && stored.endRecord().at == 0) {
            unrecorded.push_back(id);
        }
    }
    for (const job_id &id : unrecorded) {
        recordEnd(*m_model.find(id), now);
    }
}

void job_manager::logUnknownQueues()
{
    for (const auto &[id, active] : m_model.activeJobs()) {
        if (m_model.queueOf(*active) == nullptr) {
            m_log.write("queue-unknown", { { "job", id }, { "queue", active->request().queue } });
        }
    }
}

void job_manager::restoreWave(const std::string &name, const std::string &value, instant now)
{
    std::uint64_t number = 0;
    wire::upkeep_image image;
    const auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc() || end != name.data() + name.size() || !image.ParseFromString(value)) {
        m_log.write("ledger-entry-unreadable", { { "wave", name } });
        return;
    }
    const ledger_ms knownAt = image.known_ledger_ms();
    m_hostMaintenance.restore(number, image, knownAt == 0 ? milliseconds(0) : m_clock.since(knownAt, now), now);
}

void job_manager::restoreJob(const wire::job_image &image, instant leaseEnd, instant now)
{
    std::optional<job> parsed = job::fromImage(image);
    if (!parsed) {
        m_log.write("ledger-entry-unreadable", { { "job", image.id() } });
        return;
    }
    job &restored = m_model.add(std::move(*parsed));
    std::vector<task_key> assigned;
    for (const auto &[number, occurrence] : restored.occurrences()) {
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
    m_model.completeIfDone(restored, m_wall);
}

void job_manager::setConfig(std::shared_ptr<const fleet_config> config, instant now)
{
    m_model.setConfig(std::move(config));
    m_hostController.onPoolsConfigured(m_model.config().pools);
    requestSchedule(now);
    processChanges(now);
}

void job_manager::onWorkerReport(const worker_report &report, instant now)
{
    const worker *known = m_model.workers().find(report.id);
    const bool isNew = known == nullptr || !known->listed || known->report.startTimeMs != report.startTimeMs;
    const bool stateChanged = !isNew && known->report.state != report.state;
    if (isNew || stateChanged) {
        m_log.write("worker-listed",
                    { { "worker", report.id },
                      { "pool", report.pool },
                      { "state", std::string(nameOf(report.state)) },
                      { "born", std::to_string(report.startTimeMs) } });
    }
    m_runs.onReport(report, now);
    if (isNew || stateChanged) {
        requestSchedule(now);
        processChanges(now);
    }
}

void job_manager::onWorkerUnlisted(const std::string &id, instant)
{
    m_log.write("worker-unlisted", { { "worker", id } });
    m_model.workers().markUnlisted(id);
}

void job_manager::onWave(const host_maintenance_wave &wave, wall_ms wall)
{
    m_hostMaintenance.setWave(wave, wall);
}

void job_manager::setEvacuated(const std::string &dataCenter, bool evacuated, instant now)
{
    if (!m_model.workers().setEvacuated(dataCenter, evacuated)) {
        return;
    }
    std::size_t workers = 0;
    std::size_t runs = 0;
    for (const auto &[id, target] : m_model.workers().all()) {
        const bool concerned = target.report.dataCenter == dataCenter;
        workers += concerned ? 1 : 0;
        runs += concerned ? target.runs.size() : 0;
    }
    const std::string state = evacuated ? "begun" : "ended";
    m_log.write(
        "evacuation",
        { { "data_center", dataCenter }, { "state", state }, { "workers", std::to_string(workers) }, { "runs", std::to_string(runs) } });
    m_log.count("evacuations_total", state);
    requestSchedule(now);
    processChanges(now);
}

std::size_t job_manager::maxImageBytes() const
{
    const std::size_t record = m_model.bounds().maxRecordBytes;
    return record > MAX_KEY_BYTES ? record - MAX_KEY_BYTES : 0;
}

std::optional<seconds> job_manager::timeUntilAdmitted(const job_request &request, instant now)
{
    const queue_config *queue = m_model.configured() ? m_model.config().queueNamed(request.queue) : nullptr;
    const bool isNew = m_model.find(request.id) == nullptr;
    if (queue == nullptr || !queue->policy || !isNew || request.repeatCount > 0) {
        return std::nullopt;
    }
    return m_ticketAdmission.timeUntilAdmitted(m_tickets.pacer(), now);
}

void job_manager::submit(const job_request &request, const std::function<void(submit_result result)> &done, instant now, wall_ms wall)
{
    m_wall = wall;
    const bool known = m_model.find(request.id) != nullptr;
    if ((m_resigned || m_ownershipLost) && !known) {
        done(submit_result::refused);
        return;
    }
    if (!known) {
        if (job::imageBytesAtMost(request) > maxImageBytes()) {
            done(submit_result::too_large);
            return;
        }
        job &accepted = m_model.add(job::accept(request, wall));
        const queue_config *queue = m_model.configured() ? m_model.queueOf(accepted) : nullptr;
        accepted.addDueOccurrences(wall, maxImageBytes());
        m_model.markChanged(request.id);
        if (queue != nullptr && queue->policy) {
            m_ticketAdmission.onAccepted();
        }
        requestSchedule(now);
    }
    processChanges(now);
    m_writer.whenDurable(
        [this, done, receivedAt = now](instant then) {
            m_log.observe("accept_wait", "", then - receivedAt);
            done(submit_result::accepted);
        },
        now);
}

void job_manager::cancel(const job_id &id, const std::function<void(cancel_result result)> &done, instant now, wall_ms wall)
{
    m_wall = wall;
    job *found = m_model.find(id);
    if (found == nullptr) {
        done(cancel_result::unknown_job);
        return;
    }
    if (!found->ended()) {
        m_model.endJob(*found, job_state::cancelled, wall);
    }
    processChanges(now);
    m_writer.whenDurable(
        [this, id, done](instant) {
            done(cancel_result::cancelled);
            stopRuns(id);
        },
        now);
}

void job_manager::queryState(const job_id &id, const state_callback &done, instant now)
{
    const job *found = m_model.find(id);
    if (found == nullptr) {
        done(std::nullopt);
        return;
    }
    const job_state state = found->state();
    if (state == job_state::queued || state == job_state::running) {
        done(state);
        return;
    }
    if (!found->isEndDurable()) {
        m_waitingForEnd[id].push_back(done);
        processChanges(now);
        return;
    }
    done(state);
}

int job_manager::pendingJobCount(const std::string &queue) const
{
    return m_model.demands().pendingJobCount(queue);
}

void job_manager::stopRuns(const job_id &id)
{
    job *found = m_model.find(id);
    if (found == nullptr) {
        return;
    }
    for (const auto &[number, occurrence] : found->occurrences()) {
        for (std::size_t step = 0; step < occurrence.steps.size(); ++step) {
            for (std::size_t index = 0; index < occurrence.steps[step].size(); ++index) {
                if (occurrence.steps[step][index].phase == task_phase::assigned) {
                    m_runs.stop({ id, number, static_cast<int>(step), static_cast<int>(index) });
                }
            }
        }
    }
}

void job_manager::tick(instant now, wall_ms wall)
{
    m_wall = wall;
    m_tickedAt = now;
    if (m_ownershipLost) {
        return;
    }
    checkTakeOverKnown(now);
    m_model.countJobsExamined(m_model.recurringJobs().size());
    for (const auto &[id, active] : m_model.recurringJobs()) {
        if (active->addDueOccurrences(wall, maxImageBytes())) {
            m_model.markChanged(id);
            requestSchedule(now);
        }
    }
    if (!m_resigned) {
        m_hostController.refresh(now);
        if (storeUnresponsiveFor(now) < STORE_SILENT_BEFORE_HOSTS_STAY) {
            if (m_hostMaintenance.tick(now, wall)) {
                requestSchedule(now);
            }
            m_poolRebalancer.tick(now, wall);
        }
    }
    m_runs.tick(now);
    if (now - m_lastExpiryCheck > EXPIRY_CHECK_INTERVAL) {
        m_lastExpiryCheck = now;
        // No event reports that the avoid time of a worker has passed, so scheduling is repeated at intervals.
        requestSchedule(now);
        removeExpiredJobs(now, wall);
        m_tickets.prune([this](const std::string &step) { return isStepUnfinished(step); }, m_model.workers());
    }
    processChanges(now);
    m_waitReporter.tick({ now, storeUnresponsiveFor(now), isOwnershipConfirmed(now) }, wall);
}

void job_manager::removeExpiredJobs(instant now, wall_ms wall)
{
    std::vector<job_id> expired;
    const milliseconds retention = m_model.bounds().statusRetention + MAX_END_RECORD_TIME + MAX_TIME_REFUSED;
    m_model.countJobsExamined(m_model.jobs().size());
    for (const auto &[id, stored] : m_model.jobs()) {
        const bool readable = stored.isEndDurable() && stored.endRecord().at != 0;
        if (readable && m_clock.since(stored.endRecord().at, now) > retention && !stored.hasAssigned()) {
            expired.push_back(id);
        }
    }
    for (const job_id &id : expired) {
        forget(id, now, wall);
    }
}

void job_manager::forget(const job_id &id, instant now, wall_ms wall)
{
    const job &stored = *m_model.find(id);
    m_log.write("job-forgotten",
                { { "job", id },
                  { "state", std::string(nameOf(stored.state())) },
                  { "age_ms", std::to_string(m_clock.since(stored.endRecord().at, now).count()) },
                  { "ledger_ms", std::to_string(m_clock.at(now)) },
                  { "ended_by_epoch", std::to_string(stored.endRecord().epoch) },
                  { "ended_ms", std::to_string(stored.endedAt()) },
                  { "wall_ms", std::to_string(wall) } });
    m_model.remove(id);
    m_writer.put({ ledgerKey(ledger_kind::job, id), std::nullopt });
}

void job_manager::onProgress(instant now)
{
    requestSchedule(now);
    processChanges(now);
}

void job_manager::requestSchedule(instant now)
{
    if (!m_scheduleNeededSince) {
        m_scheduleNeededSince = now;
    }
}

void job_manager::whenDurable(std::function<void(instant now)> call, instant now)
{
    writeChanged(now);
    m_writer.whenDurable(std::move(call), now);
}

void job_manager::processChanges(instant now)
{
    if (m_ownershipLost) {
        return;
    }
    // Starts must be recorded before they are sent, so scheduling while an append is in flight would gain nothing.
    if (m_scheduleNeededSince && !m_resigned && !m_writer.appending()) {
        schedule(now);
    }
    writeChanged(now);
    m_writer.flush(now);
}

void job_manager::schedule(instant now)
{
    m_log.observe("pass_wait", "", now - *m_scheduleNeededSince);
    m_scheduleNeededSince.reset();
    if (!m_model.configured()) {
        return;
    }
    releaseLostTicketRequests(now);
    schedule_result result = m_scheduler.decide(m_model, m_tickets, now, m_wall);
    for (const ticket_request &request : result.ticketRequests) {
        requestTickets(request, now);
    }
    m_ticketAdmission.onPass(result.stepsToRequest);
    if (result.nextTicketRequestAt) {
        scheduleAgainAt(*result.nextTicketRequestAt, now);
    }
    if (result.placements.empty()) {
        return;
    }
    for (const placement &placed : result.placements) {
        if (placed.run == 1 && placed.task.step == 0 && placed.task.index == 0) {
            const job &started = *m_model.find(placed.task.job);
            m_log.observe("first_start", started.request().team, milliseconds(m_wall - std::min(m_wall, started.acceptedAt())));
        }
    }
    writeChanged(now);
    m_writer.whenDurable(
        [this, placements = std::move(result.placements), placedAt = now](instant then) {
            m_log.observe("record_wait", "", then - placedAt);
            sendStarts(placements, then);
        },
        now);
}

std::string_view job_manager::obstacleTo(const placement &placed, instant now) const
{
    if (!hasValidTicket(placed, now)) {
        return "ticket";
    }
    const auto target = m_model.workers().all().find(placed.worker);
    return target != m_model.workers().all().end() && target->second.evacuated ? "evacuated" : "";
}

void job_manager::sendStarts(const std::vector<placement> &placements, instant now)
{
    const auto gangOf = [](const placement &placed) {
        return task_key{ placed.task.job, placed.task.occurrence, placed.task.step, 0 };
    };
    // The members of a gang work only together, so none starts if one does not.
    std::set<task_key> withheldGangs;
    for (const placement &placed : placements) {
        const job *owningJob = m_model.find(placed.task.job);
        if (owningJob != nullptr && owningJob->step(placed.task.step).gang && !obstacleTo(placed, now).empty()) {
            withheldGangs.insert(gangOf(placed));
        }
    }
    for (const placement &placed : placements) {
        const std::string_view obstacle = obstacleTo(placed, now);
        if (!obstacle.empty() || withheldGangs.count(gangOf(placed)) > 0) {
            m_log.write("start-withheld",
                        { { "task", placed.task.text() },
                          { "worker", placed.worker },
                          { "reason", std::string(obstacle.empty() ? "gang" : obstacle) } });
            m_runs.withhold(placed, now);
            continue;
        }
        m_log.write("start", { { "task", placed.task.text() }, { "run", std::to_string(placed.run) }, { "worker", placed.worker } });
        m_runs.start(placed, now);
    }
}

void job_manager::writeChanged(instant now)
{
    const std::vector<job_id> ended = m_model.takeEnded();
    for (const job_id &id : ended) {
        onJobEnded(id, now);
    }
    for (const job_id &id : m_model.takeChanged()) {
        m_writer.putLazily(ledgerKey(ledger_kind::job, id), [this, id] {
            const job *changed = m_model.find(id);
            if (changed == nullptr) {
                return std::optional<std::string>();
            }
            changed->writeImage(m_image);
            return std::optional(m_image.SerializeAsString());
        });
    }
    for (const job_id &id : ended) {
        showEndOnceDurable(id, now);
    }
    for (ledger_entry &entry : m_model.takeChangedQueues()) {
        m_writer.put(std::move(entry));
    }
    for (const auto &[number, image] : m_hostMaintenance.takeChanged(m_clock, now)) {
        m_writer.put({ ledgerKey(ledger_kind::wave, std::to_string(number)), image.SerializeAsString() });
    }
}

void job_manager::onJobEnded(const job_id &id, instant now)
{
    job *endedJob = m_model.find(id);
    if (endedJob == nullptr) {
        return;
    }
    recordEnd(*endedJob, now);
    const milliseconds age(m_wall - std::min(m_wall, endedJob->acceptedAt()));
    m_log.write("job-changed",
                { { "job", id }, { "state", std::string(nameOf(endedJob->state())) }, { "age_ms", std::to_string(age.count()) } });
    m_log.count("jobs_ended_total", nameOf(endedJob->state()));
    if (endedJob->state() == job_state::completed) {
        m_log.observe("job", endedJob->request().team, age);
    } else if (endedJob->state() == job_state::failed) {
        m_timers.after(milliseconds(0), m_lifetime.guard([this, id](instant) { stopRuns(id); }));
    }
}

void job_manager::recordEnd(job &endedJob, instant now)
{
    endedJob.recordEnd({ m_clock.at(now), m_epoch });
    m_model.markChanged(endedJob.request().id);
}

void job_manager::showEndOnceDurable(const job_id &id, instant now)
{
    m_writer.whenDurable([this, id](instant then) { onEndDurable(id, then); }, now);
}

void job_manager::onEndDurable(const job_id &id, instant now)
{
    job *endedJob = m_model.find(id);
    if (endedJob == nullptr) {
        return;
    }
    const milliseconds recordTime = m_clock.since(endedJob->endRecord().at, now);
    if (recordTime > MAX_END_RECORD_TIME) {
        m_log.write("job-end-recorded-late", { { "job", id }, { "record_ms", std::to_string(recordTime.count()) } });
        recordEnd(*endedJob, now);
        writeChanged(now);
        showEndOnceDurable(id, now);
        return;
    }
    endedJob->markEndDurable();
    const auto waiting = m_waitingForEnd.extract(id);
    if (waiting.empty()) {
        return;
    }
    for (const state_callback &done : waiting.mapped()) {
        done(endedJob->state());
    }
}

void job_manager::logTicketResponse(const ticket_request &request, const ticket_response &response, duration waited)
{
    const std::string outcome(nameOf(response.tickets ? ticket_outcome::answered : response.outcome));
    m_log.write("ticket-response",
                { { "step", request.step },
                  { "outcome", outcome },
                  { "workers", std::to_string(request.workers.size()) },
                  { "granted", std::to_string(response.tickets ? response.tickets->size() : 0) },
                  { "waited_ms", std::to_string(duration_cast<milliseconds>(waited).count()) } });
    m_log.count("ticket_responses_total", outcome);
    m_log.observe("ticket_wait", outcome, waited);
}

void job_manager::requestTickets(const ticket_request &request, instant now)
{
    m_log.write("ticket-request",
                { { "step", request.step },
                  { "workers", std::to_string(request.workers.size()) },
                  { "cost_ms", std::to_string(request.cost.count()) },
                  { "backlog_ms", std::to_string(duration_cast<milliseconds>(m_tickets.pacer().expectedBacklog(now)).count()) },
                  { "in_flight", std::to_string(m_tickets.requestsInFlight()) },
                  { "stalled", m_tickets.pacer().isStalled(now) ? "yes" : "no" } });
    const std::uint64_t number = m_tickets.recordRequest(request, m_model.workers(), now);
    m_gateways.policy.requestTickets(request.step, request.workers, MAX_TICKET_RESPONSE_TIME,
                                     m_lifetime.guard([this, number, request, sentAt = now](const ticket_response &result, instant then) {
                                         logTicketResponse(request, result, then - sentAt);
                                         m_tickets.recordResponse(number, result, then);
                                         onProgress(then);
                                     }));
}

void job_manager::releaseLostTicketRequests(instant now)
{
    for (const std::string &step : m_tickets.releaseLostRequests(now)) {
        m_log.write("ticket-request-lost", { { "step", step }, { "in_flight", std::to_string(m_tickets.requestsInFlight()) } });
        m_log.count("ticket_responses_total", "lost");
    }
}

// Scheduling is repeated when the next request for tickets may be sent, as nothing else may happen until then.
void job_manager::scheduleAgainAt(instant at, instant now)
{
    if (m_scheduleAgainAt && *m_scheduleAgainAt <= at) {
        return;
    }
    m_scheduleAgainAt = at;
    const milliseconds delay = std::max(std::chrono::ceil<milliseconds>(at - now), milliseconds(1));
    m_timers.after(delay, m_lifetime.guard([this, at](instant then) {
        if (m_scheduleAgainAt == at) {
            m_scheduleAgainAt.reset();
        }
        onProgress(then);
    }));
}

void job_manager::onBadTicket(const task_key &key, const std::string &workerId)
{
    m_tickets.invalidateTicket(key.stepText(), workerId);
}

bool job_manager::isStepUnfinished(const std::string &step) const
{
    const std::optional<task_key> first = task_key::parse(step + ".0");
    const auto active = first ? m_model.activeJobs().find(first->job) : m_model.activeJobs().end();
    if (active == m_model.activeJobs().end()) {
        return false;
    }
    const auto occurrence = active->second->occurrences().find(first->occurrence);
    return occurrence != active->second->occurrences().end() && !occurrence->second.ended
        && occurrence->second.unfinishedTasks[static_cast<std::size_t>(first->step)] > 0;
}

bool job_manager::isOwnershipConfirmed(instant now) const
{
    const duration unrecorded = now - m_writer.confirmedAt();
    return unrecorded < SELF_FENCE_TIMEOUT || (unrecorded < MAX_TIME_WITHOUT_RECORD && m_confirmedByPeers(now));
}

// Peers that know of this ownership confirm no earlier one, so the time until which earlier owners can renew leases is shortened.
void job_manager::checkTakeOverKnown(instant now)
{
    if (m_takeOverAcknowledged || !m_takeOverKnown()) {
        return;
    }
    m_takeOverAcknowledged = true;
    m_formerRenewalsEnd = std::min(m_formerRenewalsEnd, now + PEER_CONFIRMATION_VALIDITY);
    m_log.write("take-over-acknowledged", { { "live_jobs", std::to_string(m_model.activeJobs().size()) } });
}

bool job_manager::formerLeasesExpired(instant now) const
{
    return now >= m_formerRenewalsEnd + m_model.leaseExpiryBound();
}

wall_ms job_manager::wallNow() const
{
    return m_wall;
}

void job_manager::onFenced(instant now)
{
    if (!m_ownershipLost) {
        m_ownershipLost = true;
        m_onOwnershipLost(now);
    }
}

void job_manager::resign(std::function<void(instant now)> done, instant now)
{
    m_resigned = true;
    processChanges(now);
    m_writer.whenDurable(std::move(done), now);
}

void job_manager::record(const ledger_entry &entry, std::function<void(instant now)> recorded, instant now)
{
    m_writer.put(entry);
    m_writer.whenDurable(std::move(recorded), now);
    m_writer.flush(now);
}

void job_manager::renewOwnership(const ledger_entry &record, instant now)
{
    m_writer.put(record);
    m_writer.flush(now);
}

} // namespace jujubespool
