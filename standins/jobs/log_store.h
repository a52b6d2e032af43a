// The store of the jobs stand-in: topics with one partition each, appends with conditions, fenced writers.
//
//     log_store store(server);
//     store.put("keyed.op", "config", text);          // as the operator does
//     if (store.handle(request)) { ... }              // a call of a process
//
// Faults are set from outside, as a soak does.
#pragma once

#include "../http_server.h"
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace standin {

enum class store_fault { none, rejects, silent, loses_answers };

struct store_record
{
    std::string key;
    std::string value;
};

class log_store
{
public:
    explicit log_store(http_server &server)
        : m_server(server)
    {
    }

    // Appends one record; an empty value drops the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    // Returns false when the path is none of the store's.
    bool handle(const request &item);
    void setFault(store_fault fault, std::uint64_t slowMs)
    {
        m_fault = fault;
        m_slowMs = slowMs;
    }
    // Forgets the records of a topic but for the newest of each key.
    void compact(const std::string &topic);

private:
    struct producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        bool any = false;
        // Number and first answer of the last appends.
        std::deque<std::pair<std::uint64_t, nlohmann::json>> answers;
    };
    struct topic
    {
        std::uint64_t first = 0;
        std::vector<store_record> records;
        std::map<std::string, producer> producers;
        // Newest offset of each key that has a value.
        std::map<std::string, std::pair<std::uint64_t, std::string>> newest;

        std::uint64_t end() const
        {
            return first + records.size();
        }
    };
    struct waiting_read
    {
        evhttp_request *raw = nullptr;
        std::string topic;
        std::uint64_t from = 0;
    };

    void append(const request &item);
    // The answer of an append whose writer or condition is wrong.
    std::optional<std::pair<int, nlohmann::json>> refusal(const request &item, topic &target);
    void read(const request &item);
    void newest(const request &item);
    void answerRead(evhttp_request *raw, const topic &source, std::uint64_t from);
    void wakeReads(const std::string &name);
    void add(topic &target, const std::string &key, const std::string &value);

    http_server &m_server;
    std::map<std::string, topic> m_topics;
    std::map<std::uint64_t, waiting_read> m_waiting;
    std::uint64_t m_nextWait = 1;
    store_fault m_fault = store_fault::none;
    std::uint64_t m_slowMs = 0;
};

} // namespace standin
