#include "allocation_counter.h"

#include <cstdlib>
#include <new>

namespace {

bool counting = false;
std::uint64_t allocations = 0;

} // namespace

namespace jujubespool {

void countAllocations(bool counted)
{
    counting = counted;
}

std::uint64_t countedAllocations()
{
    return allocations;
}

} // namespace jujubespool

void *operator new(std::size_t size)
{
    allocations += counting ? 1 : 0;
    if (void *memory = std::malloc(size == 0 ? 1 : size)) {
        return memory;
    }
    throw std::bad_alloc();
}

void operator delete(void *memory) noexcept
{
    std::free(memory);
}

void operator delete(void *memory, std::size_t) noexcept
{
    std::free(memory);
}
