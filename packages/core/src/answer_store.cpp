#include <jujubespool/core/answer_store.h>

namespace jujubespool {

bool kept_request::retryable() const
{
    return !running && handedTo == NO_SESSION && answer.outcome() == static_cast<std::uint32_t>(outcome::not_run);
}

answer_store::answer_store(std::size_t maxBytes)
    : m_maxBytes(maxBytes)
{
}

bool answer_store::begin(const std::string &keyHash, const std::string &fingerprint, std::uint64_t nonce)
{
    kept_request request;
    request.fingerprint = fingerprint;
    request.nonce = nonce;
    const auto found = m_requests.find(keyHash);
    if (found != m_requests.end()) {
        if (!found->second.retryable()) {
            return false;
        }
        request.granted = found->second.granted;
        request.nonce = found->second.nonce;
        forget(keyHash);
    }
    m_requests[keyHash] = std::move(request);
    return true;
}

void answer_store::grant(const std::string &keyHash)
{
    const auto found = m_requests.find(keyHash);
    if (found != m_requests.end()) {
        found->second.granted = true;
    }
}

void answer_store::undoDispatch(const std::string &keyHash)
{
    const auto found = m_requests.find(keyHash);
    if (found != m_requests.end() && found->second.running) {
        found->second.dispatched = false;
    }
}

bool answer_store::dispatch(const std::string &keyHash)
{
    const auto found = m_requests.find(keyHash);
    if (found == m_requests.end() || found->second.dispatched || !found->second.granted || !found->second.running) {
        return false;
    }
    found->second.dispatched = true;
    return true;
}

void answer_store::finish(const std::string &keyHash, wire::kept_answer answer)
{
    const auto found = m_requests.find(keyHash);
    if (found == m_requests.end() || !found->second.running) {
        return;
    }
    found->second.running = false;
    found->second.answer = std::move(answer);
    m_bytes += found->second.answer.ByteSizeLong();
    m_finished.push_back(keyHash);
    while (m_bytes > m_maxBytes && !m_finished.empty()) {
        forget(m_finished.front());
        m_finished.pop_front();
    }
}

session_id answer_store::handOver(const std::string &keyHash, session_id receiver)
{
    const auto found = m_requests.find(keyHash);
    if (found == m_requests.end()) {
        return NO_SESSION;
    }
    if (found->second.retryable()) {
        found->second.handedTo = receiver;
    }
    return found->second.handedTo;
}

void answer_store::forget(const std::string &keyHash)
{
    const auto found = m_requests.find(keyHash);
    if (found == m_requests.end()) {
        return;
    }
    if (!found->second.running) {
        m_bytes -= found->second.answer.ByteSizeLong();
    }
    m_requests.erase(found);
}

const kept_request *answer_store::find(const std::string &keyHash) const
{
    const auto found = m_requests.find(keyHash);
    return found == m_requests.end() ? nullptr : &found->second;
}

} // namespace jujubespool
