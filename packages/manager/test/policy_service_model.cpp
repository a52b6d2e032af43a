#include "policy_service_model.h"

namespace jujubespool {

namespace {

constexpr milliseconds LATENCY{ 2 };
constexpr std::size_t MAX_WAITING = 32;
constexpr int PERCENT = 100;

} // namespace

policy_service_model::policy_service_model(fake_platform &platform, const policy_service_traits &traits, unsigned seed)
    : m_platform(platform)
    , m_traits(traits)
    , m_random(seed)
{
}

void policy_service_model::requestTickets(const std::string &step, const std::vector<std::string> &workers, milliseconds timeout,
                                          std::function<void(const ticket_response &, instant now)> done)
{
    const auto sent = std::make_shared<request>();
    sent->step = step;
    sent->workers = workers;
    sent->cost = m_traits.times.decision + m_traits.times.perWorker * static_cast<std::int64_t>(workers.size());
    sent->done = std::move(done);
    m_platform.after(timeout, [sent](instant now) {
        if (sent->done) {
            sent->left = true;
            std::exchange(sent->done, nullptr)(ticket_response(), now);
        }
    });
    if (!unreachable) {
        m_platform.after(LATENCY, [this, sent](instant) { arrive(sent); });
    }
}

void policy_service_model::setSilent(bool silent)
{
    m_silent = silent;
    handleNext();
}

void policy_service_model::addAbandonedRequests(int count, milliseconds cost)
{
    for (int i = 0; i < count; ++i) {
        const auto abandoned = std::make_shared<request>();
        abandoned->cost = cost;
        abandoned->left = true;
        abandoned->foreign = true;
        m_line.push_back(abandoned);
    }
    handleNext();
}

void policy_service_model::arrive(const std::shared_ptr<request> &arrived)
{
    if (m_line.size() >= MAX_WAITING) {
        ticket_response refusal;
        refusal.outcome = ticket_outcome::refused;
        respond(arrived, refusal);
        return;
    }
    m_line.push_back(arrived);
    handleNext();
}

void policy_service_model::handleNext()
{
    while (!m_busy && !m_silent && !m_line.empty()) {
        const auto active = m_line.front();
        m_line.pop_front();
        if (active->left && m_traits.skipsLeft) {
            continue;
        }
        m_busy = true;
        m_platform.after(active->cost * m_traits.slownessPercent / PERCENT, [this, active](instant) { complete(active); });
    }
}

void policy_service_model::complete(const std::shared_ptr<request> &active)
{
    m_busy = false;
    if (!active->foreign) {
        ++m_handled;
        const bool lost = static_cast<int>(m_random() % PERCENT) < m_traits.lostPercent;
        if (!active->left && !lost && !unreachable) {
            ++m_useful;
            respond(active, decide(*active));
        }
    }
    handleNext();
}

void policy_service_model::respond(const std::shared_ptr<request> &active, const ticket_response &response)
{
    m_platform.after(LATENCY, [active, response](instant now) {
        if (active->done) {
            std::exchange(active->done, nullptr)(response, now);
        }
    });
}

ticket_response policy_service_model::decide(const request &active) const
{
    ticket_response response;
    response.outcome = ticket_outcome::answered;
    response.tickets.emplace();
    response.validity = m_traits.times.validity;
    const wall_ms validUntil = m_platform.wall() + static_cast<wall_ms>(m_traits.times.validity.count());
    for (const std::string &id : active.workers) {
        if (permits(active.step, id)) {
            response.tickets->emplace(id, std::to_string(validUntil));
        }
    }
    return response;
}

// The same for a step and a worker at all times.
bool policy_service_model::permits(const std::string &step, const std::string &worker) const
{
    return static_cast<int>(std::hash<std::string>()(step + "/" + worker) % PERCENT) < m_traits.permittedPercent;
}

} // namespace jujubespool
