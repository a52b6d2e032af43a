// Loads of clients outside the limits: who has to go, and who is served all the same.
#include <criterion/criterion.h>
#include <jujubespool/entry/client_budget.h>
#include <jujubespool/testing/table.h>
#include <set>

namespace {

using namespace jujubespool;

constexpr instant BEGIN{ seconds(100) };
constexpr std::size_t HELD_BYTES = 1000;
constexpr std::size_t CONNECTIONS = 10;
constexpr milliseconds REQUEST_TIME{ 2000 };
constexpr std::size_t BYTES_PER_SECOND = 100;

client_budget smallBudget()
{
    return client_budget({ HELD_BYTES, CONNECTIONS, REQUEST_TIME, BYTES_PER_SECOND });
}

std::set<client_number> endedNumbers(client_budget &budget, instant now)
{
    std::set<client_number> numbers;
    for (const ended_client &ended : budget.takeExcess(now)) {
        numbers.insert(ended.connection);
    }
    return numbers;
}

struct load_case
{
    const char *name;
    void (*load)(client_budget &budget);
    std::set<client_number> ended;
};

// Opens connections with the numbers from `first` on, one each millisecond.
void openClients(client_budget &budget, client_number first, client_number count, const std::string &address)
{
    for (client_number number = first; number < first + count; ++number) {
        budget.open(number, BEGIN + milliseconds(number));
        budget.setAddress(number, address);
    }
}

const load_case LOADS[] = {
    { "everything fits",
      [](client_budget &budget) {
          openClients(budget, 1, 10, "a");
          budget.receive(1, HELD_BYTES, BEGIN);
      },
      {} },
    { "the request that has been silent for the longest time goes first",
      [](client_budget &budget) {
          openClients(budget, 1, 3, "a");
          budget.receive(1, 400, BEGIN + milliseconds(30));
          budget.receive(2, 400, BEGIN + milliseconds(10));
          budget.receive(3, 400, BEGIN + milliseconds(20));
      },
      { 2 } },
    { "a client that holds much goes before one that holds little",
      [](client_budget &budget) {
          openClients(budget, 1, 1, "small");
          openClients(budget, 2, 3, "large");
          budget.receive(1, 100, BEGIN);
          for (client_number number = 2; number <= 4; ++number) {
              budget.receive(number, 400, BEGIN + milliseconds(10 * number));
          }
      },
      { 2 } },
    { "a request in progress is not given up",
      [](client_budget &budget) {
          openClients(budget, 1, 2, "a");
          budget.receive(1, 900, BEGIN);
          budget.serve(1, 900, 0, BEGIN);
          budget.receive(2, 200, BEGIN + milliseconds(10));
      },
      { 2 } },
    { "a connection with an answer that is not read goes when nothing else can",
      [](client_budget &budget) {
          openClients(budget, 1, 2, "a");
          budget.serve(1, 900, 0, BEGIN);
          budget.serve(2, 10, 0, BEGIN);
          budget.send(2, 300, BEGIN);
      },
      { 2 } },
    { "what is sent ahead of an answer counts",
      [](client_budget &budget) {
          openClients(budget, 1, 2, "a");
          budget.serve(1, 10, 0, BEGIN);
          budget.receive(1, 1100, BEGIN);
          budget.send(1, 5, BEGIN);
          budget.send(1, 0, BEGIN);
      },
      { 1 } },
    { "of too many connections, one that has had a request served stays",
      [](client_budget &budget) {
          openClients(budget, 1, 11, "a");
          budget.serve(1, 10, 0, BEGIN);
          budget.send(1, 5, BEGIN);
          budget.send(1, 0, BEGIN);
      },
      { 2 } },
    { "of too many connections, the newest stays, whatever the others send",
      [](client_budget &budget) {
          openClients(budget, 1, 10, "a");
          for (client_number number = 1; number <= 10; ++number) {
              budget.receive(number, 1, BEGIN + milliseconds(20));
          }
          budget.open(11, BEGIN + milliseconds(30));
          budget.setAddress(11, "a");
      },
      { 10 } },
};

} // namespace

ParameterizedTestParameters(client_budget, endsTheConnectionsThatCarryTheLoad)
{
    return rowsOf(LOADS);
}

ParameterizedTest(std::size_t *row, client_budget, endsTheConnectionsThatCarryTheLoad)
{
    const load_case &tested = LOADS[*row];
    client_budget budget = smallBudget();
    tested.load(budget);
    cr_assert(endedNumbers(budget, BEGIN + seconds(1)) == tested.ended, "%s", tested.name);
    cr_assert_not(budget.exceeded(), "%s", tested.name);
}

Test(client_budget, refusesARequestOnlyWhenThoseInProgressLeaveNoRoom)
{
    client_budget budget = smallBudget();
    openClients(budget, 1, 4, "a");
    budget.receive(4, 900, BEGIN);
    cr_assert(budget.serve(1, 600, 0, BEGIN));
    cr_assert_not(budget.serve(2, 600, 0, BEGIN));
    budget.close(2);
    budget.send(1, 5, BEGIN);
    budget.send(1, 0, BEGIN);
    cr_assert(budget.serve(3, 600, 0, BEGIN));
}

Test(client_budget, aSingleLargestRequestIsServed)
{
    client_budget budget = smallBudget();
    openClients(budget, 1, 1, "a");
    budget.receive(1, HELD_BYTES, BEGIN);
    cr_assert(endedNumbers(budget, BEGIN).empty());
    cr_assert(budget.serve(1, HELD_BYTES, 0, BEGIN));
}

// The bytes that come extend the time, so that a large request on a slow link is not cut.
Test(client_budget, endsARequestThatDoesNotGetOn)
{
    client_budget budget = smallBudget();
    openClients(budget, 1, 3, "a");
    budget.receive(1, 1, BEGIN);
    budget.receive(2, 300, BEGIN);
    cr_assert(endedNumbers(budget, BEGIN + REQUEST_TIME).empty());
    cr_assert(endedNumbers(budget, BEGIN + REQUEST_TIME + milliseconds(11)) == std::set<client_number>{ 1 });
    cr_assert(endedNumbers(budget, BEGIN + REQUEST_TIME + milliseconds(3000)).empty());
    cr_assert(endedNumbers(budget, BEGIN + REQUEST_TIME + milliseconds(3001)) == std::set<client_number>{ 2 });
}

Test(client_budget, nothingIsLeftOfConnectionsThatHaveClosed)
{
    client_budget budget = smallBudget();
    openClients(budget, 1, 3, "a");
    budget.receive(1, 10, BEGIN);
    budget.serve(2, 20, 5, BEGIN);
    budget.send(2, 30, BEGIN);
    for (client_number number = 1; number <= 3; ++number) {
        budget.close(number);
    }
    budget.receive(1, 10, BEGIN);
    cr_assert_eq(budget.heldBytes(), 0);
    cr_assert_eq(budget.connections(), 0);
    openClients(budget, 4, 1, "a");
    cr_assert(budget.serve(4, HELD_BYTES, 0, BEGIN));
}
