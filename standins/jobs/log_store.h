// Log store of the jobs stand-in: topics with one partition each, conditional appends, and fencing of producers by epoch.
//
//     log_store store(server);
//     store.put("keyed.op", "config", text);          // an operator's entry
//     if (store.handleRequest(request)) { ... }       // a request of a manager process
//
// setFault() injects faults, for example during a soak test.
#pragma once

#include "../http_server.h"
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace standin {

// reject_requests: status 503; no_response: requests are ignored; lose_responses: appends take effect, but get no response;
// late_writes: every third append gets no response and takes effect seconds later, if its condition still holds.
enum class store_fault { none, reject_requests, no_response, lose_responses, late_writes };

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

    // Appends one record; an empty value deletes the key.
    void put(const std::string &topic, const std::string &key, const std::string &value);
    // Returns false, without sending a response, if the path does not belong to the store.
    bool handleRequest(const http_request &request);
    // Sets the fault of all further requests, and the delay of each.
    void setFault(store_fault fault, std::uint64_t extraDelayMs)
    {
        m_fault = fault;
        m_extraDelayMs = extraDelayMs;
    }
    // Removes the records of a topic, except for the latest value of each key.
    void compact(const std::string &topic);

private:
    struct producer
    {
        std::uint64_t epoch = 0;
        std::uint64_t lastSequence = 0;
        bool hasAppended = false;
        // Sequence number and original response of the latest appends, by which a retried append is answered again.
        std::deque<std::pair<std::uint64_t, nlohmann::json>> recentResponses;
    };
    struct topic
    {
        std::uint64_t firstOffset = 0;
        std::vector<store_record> records;
        std::map<std::string, producer> producers;
        // Offset and value of the latest record of each key that was not deleted.
        std::map<std::string, std::pair<std::uint64_t, std::string>> latestValues;

        std::uint64_t endOffset() const
        {
            return firstOffset + records.size();
        }
    };
    struct pending_read
    {
        evhttp_request *raw = nullptr;
        std::string topic;
        std::uint64_t from = 0;
    };

    // What an append asks for, apart from the connection on which it came.
    struct append_call
    {
        std::string topic;
        std::string producer;
        std::uint64_t epoch = 0;
        std::uint64_t sequence = 0;
        std::optional<std::uint64_t> expectedEnd;
        std::vector<store_record> records;
    };
    void appendRecords(const http_request &request);
    // Applies the append if its condition holds, and returns status and body of the response.
    std::pair<int, nlohmann::json> apply(const append_call &call);
    // Returns status and body of the response if the append must not be applied: it was applied before, its producer is fenced,
    // its sequence number is out of order, or its expected offset is wrong.
    std::optional<std::pair<int, nlohmann::json>> checkAppend(const append_call &call, topic &target);
    void readRecords(const http_request &request);
    void readLatest(const http_request &request);
    void replyToRead(evhttp_request *raw, const topic &source, std::uint64_t from);
    // Sends a response to each pending read of the topic.
    void completePendingReads(const std::string &topicName);
    void appendRecord(topic &target, const std::string &key, const std::string &value);

    http_server &m_server;
    std::map<std::string, topic> m_topics;
    std::map<std::uint64_t, pending_read> m_pendingReads;
    std::uint64_t m_nextReadId = 1;
    store_fault m_fault = store_fault::none;
    std::uint64_t m_extraDelayMs = 0;
    std::uint64_t m_appends = 0;
};

} // namespace standin
