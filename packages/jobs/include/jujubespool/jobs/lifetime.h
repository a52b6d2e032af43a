// Prevents callbacks from running after their owner has been destroyed.
//
//     m_gateway.start(order, m_lifetime.guard([this](const order_result &result, instant now) { ... }));
//
// The owner holds the lifetime as a member. A guarded function does nothing once the lifetime has been destroyed.
#pragma once

#include <memory>
#include <utility>

namespace jujubespool {

class lifetime
{
public:
    lifetime() = default;
    lifetime(const lifetime &) = delete;
    lifetime &operator=(const lifetime &) = delete;

    template <typename Function> auto guard(Function function) const
    {
        return [alive = std::weak_ptr<int>(m_token), function = std::move(function)](const auto &...arguments) {
            if (!alive.expired()) {
                function(arguments...);
            }
        };
    }

private:
    std::shared_ptr<int> m_token = std::make_shared<int>(0);
};

} // namespace jujubespool
