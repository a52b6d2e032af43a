#include <jujubespool/manager/ownership_voters.h>

#include <algorithm>

namespace jujubespool {

namespace {

// Shares of the voters that confirm an ownership, and that must know of a later one to exclude this: 2 of 3 and 1 of 2. They add up to
// more than one, so that some voter belongs to both.
bool isTwoThirds(std::size_t part, std::size_t whole)
{
    return whole > 0 && 3 * part >= 2 * whole;
}

bool isHalf(std::size_t part, std::size_t whole)
{
    return whole > 0 && 2 * part >= whole;
}

std::size_t countOf(const std::vector<voter> &voters, const ownership_voters::condition &holds)
{
    return static_cast<std::size_t>(std::count_if(voters.begin(), voters.end(), holds));
}

} // namespace

void ownership_voters::restore(const wire::voters_image &image, bool trusted)
{
    m_recorded.clear();
    for (const wire::voter_image &entry : image.voters()) {
        m_recorded.push_back({ entry.node(), entry.incarnation() });
    }
    m_pending.reset();
    m_trusted = trusted;
}

std::optional<wire::voters_image> ownership_voters::change(const std::vector<voter> &wanted, std::uint64_t epoch, bool formerOwnersOver)
{
    if (m_pending || !formerOwnersOver || wanted.empty() || (m_trusted && wanted == m_recorded)) {
        return std::nullopt;
    }
    m_pending = wanted;
    wire::voters_image image;
    image.set_epoch(epoch);
    for (const voter &entry : wanted) {
        wire::voter_image &added = *image.add_voters();
        added.set_node(entry.node);
        added.set_incarnation(entry.incarnation);
    }
    return image;
}

void ownership_voters::onRecorded()
{
    if (m_pending) {
        m_recorded = std::move(*m_pending);
        m_pending.reset();
        m_trusted = true;
    }
}

bool ownership_voters::confirm(const condition &confirms) const
{
    return m_trusted && isTwoThirds(countOf(m_recorded, confirms), m_recorded.size())
        && (!m_pending || isTwoThirds(countOf(*m_pending, confirms), m_pending->size()));
}

bool ownership_voters::excludeFormer(const condition &knows) const
{
    return m_trusted && isHalf(countOf(m_recorded, knows), m_recorded.size());
}

} // namespace jujubespool
