// Bounds the load that retries add.
//
//     budget.onRequest();
//     if (budget.tryRetry()) { ... try again on another worker ... }
//
// Each first attempt earns a part of a retry, so that in an outage retries add at most RETRY_PERCENT.
#pragma once

#include <algorithm>

namespace jujubespool {

constexpr int RETRY_PERCENT = 10;
// Retries that may be saved up while few are needed.
constexpr int MAX_SAVED_RETRIES = 10;

class retry_budget
{
public:
    void onRequest()
    {
        m_earned = std::min(m_earned + RETRY_PERCENT, MAX_SAVED_RETRIES * 100);
    }

    bool tryRetry()
    {
        if (m_earned < 100) {
            return false;
        }
        m_earned -= 100;
        return true;
    }

private:
    // In hundredths of a retry.
    int m_earned = 0;
};

} // namespace jujubespool
