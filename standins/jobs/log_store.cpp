#include "log_store.h"

#include <algorithm>
#include <jujubespool/platform/base64.h>

namespace standin {

namespace {

using json = nlohmann::json;

constexpr int STATUS_OK = 200;
constexpr int STATUS_BAD_REQUEST = 400;
constexpr int STATUS_CONFLICT = 409;
constexpr int STATUS_GONE = 410;
constexpr int STATUS_PRECONDITION_FAILED = 412;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr std::size_t RESPONSES_KEPT_PER_PRODUCER = 5;
constexpr std::size_t MAX_PAGE_ITEMS = 500;
constexpr std::size_t LENGTH_PREFIX_BYTES = 4;
constexpr int OFFSET_BYTES = 8;
// One append in three is late, by one to six seconds.
constexpr std::uint64_t LATE_APPENDS = 3;
constexpr std::uint64_t MIN_LATENESS_MS = 1000;
constexpr std::uint64_t LATENESS_STEP_MS = 700;
constexpr std::uint64_t MAX_EXTRA_LATENESS_MS = 5000;

void appendBigEndian(std::string &bytes, std::uint64_t number, int byteCount)
{
    for (int shift = (byteCount - 1) * 8; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(number >> shift & 0xff);
    }
}

// Parses the records in the body of an append. Returns std::nullopt if the body is truncated or malformed.
std::optional<std::vector<store_record>> parseRecords(std::string_view body)
{
    std::vector<store_record> records;
    while (!body.empty()) {
        if (body.size() < LENGTH_PREFIX_BYTES) {
            return std::nullopt;
        }
        std::size_t length = 0;
        for (std::size_t i = 0; i < LENGTH_PREFIX_BYTES; ++i) {
            length = length << 8 | static_cast<unsigned char>(body[i]);
        }
        body.remove_prefix(LENGTH_PREFIX_BYTES);
        const std::size_t keyBytes = body.empty() ? 0 : static_cast<unsigned char>(body[0]);
        if (length > body.size() || length < 1 + keyBytes) {
            return std::nullopt;
        }
        records.push_back({ std::string(body.substr(1, keyBytes)), std::string(body.substr(1 + keyBytes, length - 1 - keyBytes)) });
        body.remove_prefix(length);
    }
    return records;
}

// Inverse of parseRecords() for one record: length, key length, key, value.
std::string encodeRecord(const store_record &record)
{
    std::string bytes;
    appendBigEndian(bytes, 1 + record.key.size() + record.value.size(), LENGTH_PREFIX_BYTES);
    bytes += static_cast<char>(record.key.size());
    return bytes + record.key + record.value;
}

} // namespace

void log_store::appendRecord(topic &target, const std::string &key, const std::string &value)
{
    if (value.empty()) {
        target.latestValues.erase(key);
    } else {
        target.latestValues[key] = { target.endOffset(), value };
    }
    target.records.push_back({ key, value });
}

void log_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    appendRecord(m_topics[topic], key, value);
    completePendingReads(topic);
}

void log_store::compact(const std::string &name)
{
    topic &target = m_topics[name];
    target.firstOffset = target.endOffset();
    target.records.clear();
}

bool log_store::handleRequest(const http_request &request)
{
    if (request.path.rfind("/-/log-", 0) != 0) {
        return false;
    }
    if (m_fault == store_fault::no_response) {
        return true;
    }
    if (m_fault == store_fault::reject_requests) {
        sendReply(request.raw, STATUS_UNAVAILABLE, json::object());
        return true;
    }
    m_server.runAfter(m_extraDelayMs, [this, request] {
        if (request.path == "/-/log-append") {
            appendRecords(request);
        } else if (request.path == "/-/log-read") {
            readRecords(request);
        } else {
            readLatest(request);
        }
    });
    return true;
}

std::optional<std::pair<int, json>> log_store::checkAppend(const append_call &call, topic &target)
{
    if (!call.producer.empty()) {
        const producer &writer = target.producers[call.producer];
        if (writer.hasAppended && call.epoch < writer.epoch) {
            return std::pair(STATUS_CONFLICT, json{ { "reason", "fenced" }, { "epoch", writer.epoch } });
        }
        if (writer.hasAppended && call.epoch == writer.epoch) {
            for (const auto &[number, response] : writer.recentResponses) {
                if (number == call.sequence) {
                    return std::pair(STATUS_OK, response);
                }
            }
            if (call.sequence != writer.lastSequence + 1) {
                return std::pair(STATUS_CONFLICT, json{ { "reason", "seq" }, { "expected", writer.lastSequence + 1 } });
            }
        }
    }
    if (call.expectedEnd && *call.expectedEnd != target.endOffset()) {
        return std::pair(STATUS_PRECONDITION_FAILED, json{ { "end", target.endOffset() } });
    }
    return std::nullopt;
}

std::pair<int, json> log_store::apply(const append_call &call)
{
    topic &target = m_topics[call.topic];
    if (const auto earlyResponse = checkAppend(call, target)) {
        return *earlyResponse;
    }
    const std::uint64_t offset = target.endOffset();
    for (const store_record &record : call.records) {
        appendRecord(target, record.key, record.value);
    }
    const json response{ { "offset", offset }, { "end", target.endOffset() } };
    if (!call.producer.empty()) {
        producer &writer = target.producers[call.producer];
        if (!writer.hasAppended || call.epoch > writer.epoch) {
            writer.recentResponses.clear();
        }
        writer.hasAppended = true;
        writer.epoch = call.epoch;
        writer.lastSequence = call.sequence;
        writer.recentResponses.emplace_back(writer.lastSequence, response);
        if (writer.recentResponses.size() > RESPONSES_KEPT_PER_PRODUCER) {
            writer.recentResponses.pop_front();
        }
    }
    completePendingReads(call.topic);
    return { STATUS_OK, response };
}

void log_store::appendRecords(const http_request &request)
{
    const auto records = parseRecords(request.body);
    if (!records) {
        sendReply(request.raw, STATUS_BAD_REQUEST, json::object());
        return;
    }
    append_call call{ request.queryText("topic"),
                      request.queryText("producer"),
                      request.queryNumber("epoch", 0),
                      request.queryNumber("seq", 0),
                      std::nullopt,
                      *records };
    if (!request.queryText("at").empty()) {
        call.expectedEnd = request.queryNumber("at", 0);
    }
    if (m_fault == store_fault::late_writes && ++m_appends % LATE_APPENDS == 0) {
        m_server.runAfter(MIN_LATENESS_MS + m_appends * LATENESS_STEP_MS % MAX_EXTRA_LATENESS_MS, [this, call] { apply(call); });
        closeWithoutReply(request.raw);
        return;
    }
    const std::uint64_t endBefore = m_topics[call.topic].endOffset();
    const auto [status, response] = apply(call);
    const bool applied = m_topics[call.topic].endOffset() > endBefore;
    if (m_fault == store_fault::lose_responses && applied) {
        closeWithoutReply(request.raw);
    } else {
        sendReply(request.raw, status, response);
    }
}

void log_store::readRecords(const http_request &request)
{
    const std::string name = request.queryText("topic");
    const topic &source = m_topics[name];
    const std::uint64_t from = request.queryNumber("from", 0);
    const std::uint64_t waitMs = request.queryNumber("wait_ms", 0);
    if (from < source.endOffset() || waitMs == 0) {
        replyToRead(request.raw, source, from);
        return;
    }
    const std::uint64_t readId = m_nextReadId++;
    m_pendingReads[readId] = { request.raw, name, from };
    m_server.runAfter(waitMs, [this, readId] {
        const auto found = m_pendingReads.find(readId);
        if (found != m_pendingReads.end()) {
            replyToRead(found->second.raw, m_topics[found->second.topic], found->second.from);
            m_pendingReads.erase(found);
        }
    });
}

void log_store::completePendingReads(const std::string &topicName)
{
    for (auto read = m_pendingReads.begin(); read != m_pendingReads.end();) {
        if (read->second.topic == topicName) {
            replyToRead(read->second.raw, m_topics[topicName], read->second.from);
            read = m_pendingReads.erase(read);
        } else {
            ++read;
        }
    }
}

void log_store::replyToRead(evhttp_request *raw, const topic &source, std::uint64_t from)
{
    if (from < source.firstOffset) {
        sendReply(raw, STATUS_GONE, json{ { "first", source.firstOffset } });
        return;
    }
    std::string body;
    appendBigEndian(body, source.endOffset(), OFFSET_BYTES);
    appendBigEndian(body, source.firstOffset, OFFSET_BYTES);
    for (std::uint64_t offset = from; offset < source.endOffset(); ++offset) {
        body += encodeRecord(source.records[offset - source.firstOffset]);
    }
    sendReply(raw, STATUS_OK, body);
}

void log_store::readLatest(const http_request &request)
{
    const topic &source = m_topics[request.queryText("topic")];
    json items = json::array();
    auto entry = source.latestValues.upper_bound(request.queryText("after"));
    for (; entry != source.latestValues.end() && items.size() < MAX_PAGE_ITEMS; ++entry) {
        items.push_back(
            { { "key", entry->first }, { "value", jujubespool::encodeBase64(entry->second.second) }, { "offset", entry->second.first } });
    }
    sendReply(request.raw, STATUS_OK,
              json{ { "items", items }, { "truncated", entry != source.latestValues.end() }, { "end", source.endOffset() } });
}

} // namespace standin
