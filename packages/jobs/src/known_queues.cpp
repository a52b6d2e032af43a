#include <jujubespool/jobs/known_queues.h>

#include <google/protobuf/struct.pb.h>
#include <jujubespool/jobs/ledger_keys.h>

namespace jujubespool {

namespace {

using stored_fields = google::protobuf::Map<std::string, google::protobuf::Value>;

const std::string NAME_FIELD = "name";
const std::string POOL_FIELD = "pool";
const std::string PRIORITY_FIELD = "priority";
const std::string MAX_ATTEMPTS_FIELD = "max_attempts";
const std::string DEADLINE_FACTOR_FIELD = "deadline_factor";
const std::string TARGET_LATENCY_FIELD = "target_latency_ms";
const std::string POLICY_FIELD = "policy";
const std::string DECISION_FIELD = "decision_ms";
const std::string PER_WORKER_FIELD = "per_worker_ms";
const std::string VALIDITY_FIELD = "validity_ms";

// The part of the configuration that the jobs of the queue need.
queue_config storedPartOf(const queue_config &queue)
{
    queue_config stored = queue;
    stored.host.clear();
    stored.pathPrefix.clear();
    stored.allowsAnonymous = false;
    return stored;
}

void putTime(stored_fields &fields, const std::string &name, milliseconds value)
{
    fields[name].set_number_value(static_cast<double>(value.count()));
}

double numberIn(const stored_fields &fields, const std::string &name, double missing)
{
    const auto found = fields.find(name);
    return found == fields.end() || !found->second.has_number_value() ? missing : found->second.number_value();
}

milliseconds timeIn(const stored_fields &fields, const std::string &name)
{
    return milliseconds(static_cast<std::int64_t>(numberIn(fields, name, 0)));
}

std::string textIn(const stored_fields &fields, const std::string &name)
{
    const auto found = fields.find(name);
    return found == fields.end() ? std::string() : found->second.string_value();
}

} // namespace

std::string queueImage(const queue_config &queue)
{
    google::protobuf::Struct image;
    stored_fields &fields = *image.mutable_fields();
    fields[NAME_FIELD].set_string_value(queue.name);
    fields[POOL_FIELD].set_string_value(queue.pool);
    fields[PRIORITY_FIELD].set_number_value(queue.priority);
    fields[MAX_ATTEMPTS_FIELD].set_number_value(queue.maxAttempts);
    fields[DEADLINE_FACTOR_FIELD].set_number_value(queue.deadlineFactor);
    putTime(fields, TARGET_LATENCY_FIELD, queue.targetLatency);
    if (queue.policy) {
        stored_fields &policy = *fields[POLICY_FIELD].mutable_struct_value()->mutable_fields();
        putTime(policy, DECISION_FIELD, queue.policy->decision);
        putTime(policy, PER_WORKER_FIELD, queue.policy->perWorker);
        putTime(policy, VALIDITY_FIELD, queue.policy->validity);
    }
    return image.SerializeAsString();
}

std::optional<queue_config> queueFromImage(const std::string &image)
{
    google::protobuf::Struct parsed;
    if (!parsed.ParseFromString(image)) {
        return std::nullopt;
    }
    const stored_fields &fields = parsed.fields();
    queue_config queue;
    queue.name = textIn(fields, NAME_FIELD);
    queue.pool = textIn(fields, POOL_FIELD);
    if (queue.name.empty() || queue.pool.empty()) {
        return std::nullopt;
    }
    queue.priority = static_cast<int>(numberIn(fields, PRIORITY_FIELD, queue.priority));
    queue.maxAttempts = static_cast<int>(numberIn(fields, MAX_ATTEMPTS_FIELD, queue.maxAttempts));
    queue.deadlineFactor = numberIn(fields, DEADLINE_FACTOR_FIELD, queue.deadlineFactor);
    queue.targetLatency = timeIn(fields, TARGET_LATENCY_FIELD);
    const auto policy = fields.find(POLICY_FIELD);
    if (policy != fields.end() && policy->second.has_struct_value()) {
        const stored_fields &values = policy->second.struct_value().fields();
        queue.policy = { timeIn(values, DECISION_FIELD), timeIn(values, PER_WORKER_FIELD), timeIn(values, VALIDITY_FIELD) };
    }
    return queue;
}

void known_queues::setConfig(const fleet_config &config)
{
    for (auto &[name, known] : m_queues) {
        known.configured = false;
    }
    for (const queue_config &queue : config.queues) {
        m_queues[queue.name] = { queue, true };
    }
    m_configured = true;
    m_changed = true;
}

void known_queues::restore(const queue_config &queue)
{
    m_recorded[queue.name] = queue;
    m_queues.try_emplace(queue.name, known_queue{ queue, false });
    m_changed = true;
}

const queue_config *known_queues::find(const std::string &name) const
{
    const auto found = m_queues.find(name);
    return found == m_queues.end() ? nullptr : &found->second.config;
}

void known_queues::addJob(const std::string &queue)
{
    m_changed = m_changed || m_jobs[queue] == 0;
    ++m_jobs[queue];
}

void known_queues::removeJob(const std::string &queue)
{
    const auto found = m_jobs.find(queue);
    if (found != m_jobs.end() && --found->second == 0) {
        m_jobs.erase(found);
        m_changed = true;
    }
}

std::vector<ledger_entry> known_queues::takeChanges()
{
    if (!m_configured || !m_changed) {
        return {};
    }
    m_changed = false;
    return changedEntries();
}

std::vector<ledger_entry> known_queues::changedEntries()
{
    std::vector<ledger_entry> changes;
    for (auto position = m_queues.begin(); position != m_queues.end();) {
        const auto &[name, known] = *position;
        const bool hasJobs = m_jobs.count(name) > 0;
        const queue_config stored = storedPartOf(known.config);
        const auto recorded = m_recorded.find(name);
        if (hasJobs && (recorded == m_recorded.end() || recorded->second != stored)) {
            m_recorded[name] = stored;
            changes.push_back({ ledgerKey(ledger_kind::queue, name), queueImage(stored) });
        }
        if (known.configured || hasJobs) {
            ++position;
            continue;
        }
        if (recorded != m_recorded.end()) {
            changes.push_back({ ledgerKey(ledger_kind::queue, name), std::nullopt });
            m_recorded.erase(recorded);
        }
        position = m_queues.erase(position);
    }
    return changes;
}

} // namespace jujubespool
