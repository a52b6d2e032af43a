// Limits the load that retries add.
//
//     budget.onRequest();
//     if (budget.tryRetry()) { ... try again on another worker ... }
//
// Each first attempt adds RETRY_PERCENT of a retry to the budget, so during an outage retries add at most this part
// to the load, beyond the retries that were saved before.
#pragma once

#include <algorithm>

namespace jujubespool {

constexpr int RETRY_PERCENT = 10;
// Bound of the budget, in retries, however few were needed before.
constexpr int MAX_SAVED_RETRIES = 10;

class retry_budget
{
public:
    // Adds to the budget for a first attempt.
    void onRequest()
    {
        m_balance = std::min(m_balance + RETRY_PERCENT, MAX_SAVED_RETRIES * 100);
    }

    // Takes one retry from the budget. Fails when less than one is left.
    bool tryRetry()
    {
        if (m_balance < 100) {
            return false;
        }
        m_balance -= 100;
        return true;
    }

private:
    // In hundredths of a retry.
    int m_balance = 0;
};

} // namespace jujubespool
