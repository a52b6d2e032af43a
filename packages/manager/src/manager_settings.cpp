#include <jujubespool/manager/manager_settings.h>

#include <algorithm>

namespace jujubespool {

namespace {

// A request is held up to four times at once: as received, as a call, parsed and in a message to the owner.
constexpr std::size_t MEMORY_PARTS_PER_HELD_PART = 8;
constexpr std::size_t DESCRIPTORS_PER_CONNECTION = 2;
constexpr std::size_t BYTES_PER_MB = 1048576;
// The largest request that a listener accepts fits, whatever the memory is.
constexpr std::size_t MIN_HELD_BYTES = 2 * BYTES_PER_MB;

} // namespace

client_limits clientLimitsOf(const manager_settings &settings, std::size_t descriptorsOfProcess)
{
    client_limits limits;
    limits.heldBytes = std::max(settings.memoryMb * BYTES_PER_MB / MEMORY_PARTS_PER_HELD_PART, MIN_HELD_BYTES);
    const std::size_t descriptors = std::min<std::size_t>(settings.maxDescriptors, descriptorsOfProcess);
    limits.connections = std::max<std::size_t>(descriptors / DESCRIPTORS_PER_CONNECTION, 1);
    return limits;
}

} // namespace jujubespool
