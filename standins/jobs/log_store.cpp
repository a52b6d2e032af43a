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
constexpr int STATUS_PRECONDITION = 412;
constexpr int STATUS_UNAVAILABLE = 503;
constexpr std::size_t KEPT_ANSWERS = 5;
constexpr std::size_t PAGE_ITEMS = 500;
constexpr std::size_t LENGTH_BYTES = 4;

void appendNumber(std::string &bytes, std::uint64_t number, int size)
{
    for (int shift = (size - 1) * 8; shift >= 0; shift -= 8) {
        bytes += static_cast<char>(number >> shift & 0xff);
    }
}

// Splits the body of an append; nothing when it is not whole.
std::optional<std::vector<store_record>> parseRecords(std::string_view body)
{
    std::vector<store_record> records;
    while (!body.empty()) {
        if (body.size() < LENGTH_BYTES) {
            return std::nullopt;
        }
        std::size_t length = 0;
        for (std::size_t i = 0; i < LENGTH_BYTES; ++i) {
            length = length << 8 | static_cast<unsigned char>(body[i]);
        }
        body.remove_prefix(LENGTH_BYTES);
        const std::size_t keyBytes = body.empty() ? 0 : static_cast<unsigned char>(body[0]);
        if (length > body.size() || length < 1 + keyBytes) {
            return std::nullopt;
        }
        records.push_back({ std::string(body.substr(1, keyBytes)), std::string(body.substr(1 + keyBytes, length - 1 - keyBytes)) });
        body.remove_prefix(length);
    }
    return records;
}

std::string encode(const store_record &record)
{
    std::string bytes;
    appendNumber(bytes, 1 + record.key.size() + record.value.size(), LENGTH_BYTES);
    bytes += static_cast<char>(record.key.size());
    return bytes + record.key + record.value;
}

} // namespace

void log_store::add(topic &target, const std::string &key, const std::string &value)
{
    if (value.empty()) {
        target.newest.erase(key);
    } else {
        target.newest[key] = { target.end(), value };
    }
    target.records.push_back({ key, value });
}

void log_store::put(const std::string &topic, const std::string &key, const std::string &value)
{
    add(m_topics[topic], key, value);
    wakeReads(topic);
}

void log_store::compact(const std::string &name)
{
    topic &target = m_topics[name];
    target.first = target.end();
    target.records.clear();
}

bool log_store::handle(const request &item)
{
    if (item.path.rfind("/-/log-", 0) != 0) {
        return false;
    }
    if (m_fault == store_fault::silent) {
        return true;
    }
    if (m_fault == store_fault::rejects) {
        reply(item.raw, STATUS_UNAVAILABLE, json::object());
        return true;
    }
    m_server.after(m_slowMs, [this, item] {
        if (item.path == "/-/log-append") {
            append(item);
        } else if (item.path == "/-/log-read") {
            read(item);
        } else {
            newest(item);
        }
    });
    return true;
}

std::optional<std::pair<int, json>> log_store::refusal(const request &item, topic &target)
{
    const std::string name = item.text("producer");
    if (!name.empty()) {
        producer &writer = target.producers[name];
        const std::uint64_t epoch = item.number("epoch", 0);
        const std::uint64_t sequence = item.number("seq", 0);
        if (writer.any && epoch < writer.epoch) {
            return std::pair(STATUS_CONFLICT, json{ { "reason", "fenced" }, { "epoch", writer.epoch } });
        }
        if (writer.any && epoch == writer.epoch) {
            for (const auto &[number, answer] : writer.answers) {
                if (number == sequence) {
                    return std::pair(STATUS_OK, answer);
                }
            }
            if (sequence != writer.sequence + 1) {
                return std::pair(STATUS_CONFLICT, json{ { "reason", "seq" }, { "expected", writer.sequence + 1 } });
            }
        }
    }
    if (!item.text("at").empty() && item.number("at", 0) != target.end()) {
        return std::pair(STATUS_PRECONDITION, json{ { "end", target.end() } });
    }
    return std::nullopt;
}

void log_store::append(const request &item)
{
    const std::string name = item.text("topic");
    topic &target = m_topics[name];
    const auto records = parseRecords(item.body);
    if (!records) {
        reply(item.raw, STATUS_BAD_REQUEST, json::object());
        return;
    }
    if (const auto refused = refusal(item, target)) {
        reply(item.raw, refused->first, refused->second);
        return;
    }
    const std::uint64_t offset = target.end();
    for (const store_record &record : *records) {
        add(target, record.key, record.value);
    }
    const json answer{ { "offset", offset }, { "end", target.end() } };
    const std::string writerName = item.text("producer");
    if (!writerName.empty()) {
        producer &writer = target.producers[writerName];
        const std::uint64_t epoch = item.number("epoch", 0);
        if (!writer.any || epoch > writer.epoch) {
            writer.answers.clear();
        }
        writer.any = true;
        writer.epoch = epoch;
        writer.sequence = item.number("seq", 0);
        writer.answers.emplace_back(writer.sequence, answer);
        if (writer.answers.size() > KEPT_ANSWERS) {
            writer.answers.pop_front();
        }
    }
    if (m_fault == store_fault::loses_answers) {
        drop(item.raw);
    } else {
        reply(item.raw, STATUS_OK, answer);
    }
    wakeReads(name);
}

void log_store::read(const request &item)
{
    const std::string name = item.text("topic");
    const topic &source = m_topics[name];
    const std::uint64_t from = item.number("from", 0);
    const std::uint64_t wait = item.number("wait_ms", 0);
    if (from < source.end() || wait == 0) {
        answerRead(item.raw, source, from);
        return;
    }
    const std::uint64_t id = m_nextWait++;
    m_waiting[id] = { item.raw, name, from };
    m_server.after(wait, [this, id] {
        const auto found = m_waiting.find(id);
        if (found != m_waiting.end()) {
            answerRead(found->second.raw, m_topics[found->second.topic], found->second.from);
            m_waiting.erase(found);
        }
    });
}

void log_store::wakeReads(const std::string &name)
{
    for (auto item = m_waiting.begin(); item != m_waiting.end();) {
        if (item->second.topic == name) {
            answerRead(item->second.raw, m_topics[name], item->second.from);
            item = m_waiting.erase(item);
        } else {
            ++item;
        }
    }
}

void log_store::answerRead(evhttp_request *raw, const topic &source, std::uint64_t from)
{
    if (from < source.first) {
        reply(raw, STATUS_GONE, json{ { "first", source.first } });
        return;
    }
    std::string body;
    appendNumber(body, source.end(), 8);
    appendNumber(body, source.first, 8);
    for (std::uint64_t offset = from; offset < source.end(); ++offset) {
        body += encode(source.records[offset - source.first]);
    }
    reply(raw, STATUS_OK, body);
}

void log_store::newest(const request &item)
{
    const topic &source = m_topics[item.text("topic")];
    json items = json::array();
    auto entry = source.newest.upper_bound(item.text("after"));
    for (; entry != source.newest.end() && items.size() < PAGE_ITEMS; ++entry) {
        items.push_back(
            { { "key", entry->first }, { "value", jujubespool::encodeBase64(entry->second.second) }, { "offset", entry->second.first } });
    }
    reply(item.raw, STATUS_OK, json{ { "items", items }, { "truncated", entry != source.newest.end() }, { "end", source.end() } });
}

} // namespace standin
