#include <jujubespool/core/idempotency_store.h>

namespace jujubespool {

bool idempotency_record::retryable() const
{
    return !running && reassignedTo == NO_SESSION && answer.outcome() == static_cast<std::uint32_t>(outcome::not_run);
}

idempotency_store::idempotency_store(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

bool idempotency_store::begin(const std::string &keyHash, const std::string &fingerprint, std::uint64_t nonce)
{
    idempotency_record record;
    record.fingerprint = fingerprint;
    record.nonce = nonce;
    const auto found = m_records.find(keyHash);
    if (found != m_records.end()) {
        if (!found->second.retryable()) {
            return false;
        }
        record.granted = found->second.granted;
        record.nonce = found->second.nonce;
        remove(keyHash);
    }
    m_records[keyHash] = std::move(record);
    return true;
}

void idempotency_store::markClaimGranted(const std::string &keyHash)
{
    const auto found = m_records.find(keyHash);
    if (found != m_records.end()) {
        found->second.granted = true;
    }
}

void idempotency_store::unmarkDispatched(const std::string &keyHash)
{
    const auto found = m_records.find(keyHash);
    if (found != m_records.end() && found->second.running) {
        found->second.dispatched = false;
    }
}

bool idempotency_store::markDispatched(const std::string &keyHash)
{
    const auto found = m_records.find(keyHash);
    if (found == m_records.end() || found->second.dispatched || !found->second.granted || !found->second.running) {
        return false;
    }
    found->second.dispatched = true;
    return true;
}

void idempotency_store::finish(const std::string &keyHash, wire::kept_answer answer)
{
    const auto found = m_records.find(keyHash);
    if (found == m_records.end() || !found->second.running) {
        return;
    }
    found->second.running = false;
    found->second.answer = std::move(answer);
    m_bytes += found->second.answer.ByteSizeLong();
    m_finishedKeys.push_back(keyHash);
    while (m_bytes > m_maxBytes && !m_finishedKeys.empty()) {
        remove(m_finishedKeys.front());
        m_finishedKeys.pop_front();
    }
}

session_id idempotency_store::reassign(const std::string &keyHash, session_id receiver)
{
    const auto found = m_records.find(keyHash);
    if (found == m_records.end()) {
        return NO_SESSION;
    }
    if (found->second.retryable()) {
        found->second.reassignedTo = receiver;
    }
    return found->second.reassignedTo;
}

void idempotency_store::remove(const std::string &keyHash)
{
    const auto found = m_records.find(keyHash);
    if (found == m_records.end()) {
        return;
    }
    if (!found->second.running) {
        m_bytes -= found->second.answer.ByteSizeLong();
    }
    m_records.erase(found);
}

const idempotency_record *idempotency_store::find(const std::string &keyHash) const
{
    const auto found = m_records.find(keyHash);
    return found == m_records.end() ? nullptr : &found->second;
}

} // namespace jujubespool
