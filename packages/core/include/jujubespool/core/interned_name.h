// A name whose text is stored once per process, so that copies, comparisons and hashes cost no more than those of a pointer.
//
//     using job_id = interned_name<struct job_id_tag>;
//     const job_id id = "5c0e7a21d94b36f8";
//     jobs.find(id);
//
// Names enter a process as text at its edges and are looked up there once. The tag makes names of different things different types. A text
// is forgotten with the last name that refers to it. Names belong to the thread of the event loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace jujubespool {

template <typename Tag> class interned_name
{
public:
    interned_name() = default;
    interned_name(std::string_view text)
        : m_entry(text.empty() ? nullptr : acquire(text))
    {
    }
    interned_name(const std::string &text)
        : interned_name(std::string_view(text))
    {
    }
    interned_name(const char *text)
        : interned_name(std::string_view(text))
    {
    }
    interned_name(const interned_name &other)
        : m_entry(other.m_entry)
    {
        if (m_entry != nullptr) {
            ++m_entry->references;
        }
    }
    interned_name(interned_name &&other) noexcept
        : m_entry(std::exchange(other.m_entry, nullptr))
    {
    }
    interned_name &operator=(interned_name other) noexcept
    {
        std::swap(m_entry, other.m_entry);
        return *this;
    }
    ~interned_name()
    {
        if (m_entry != nullptr && --m_entry->references == 0) {
            release(m_entry);
        }
    }

    const std::string &text() const
    {
        static const std::string EMPTY;
        return m_entry == nullptr ? EMPTY : m_entry->text;
    }
    operator const std::string &() const
    {
        return text();
    }
    bool empty() const
    {
        return m_entry == nullptr;
    }
    // In the order of first use, which is the same on each run; 0 for an empty name.
    std::uint64_t number() const
    {
        return m_entry == nullptr ? 0 : m_entry->number;
    }

    friend bool operator==(const interned_name &left, const interned_name &right)
    {
        return left.m_entry == right.m_entry;
    }
    friend bool operator<(const interned_name &left, const interned_name &right)
    {
        return left.m_entry != right.m_entry && left.number() < right.number();
    }

private:
    struct entry
    {
        std::string text;
        std::uint64_t number = 0;
        std::uint64_t references = 0;
    };
    struct name_table
    {
        // The keys refer to the texts of the entries.
        std::unordered_map<std::string_view, std::unique_ptr<entry>> entries;
        std::uint64_t lastNumber = 0;
    };

    static name_table &table()
    {
        // Never destroyed, since names in static objects may outlive it.
        static name_table &names = *std::make_unique<name_table>().release();
        return names;
    }
    static entry *acquire(std::string_view text)
    {
        name_table &names = table();
        const auto found = names.entries.find(text);
        entry *known = found == names.entries.end() ? nullptr : found->second.get();
        if (known == nullptr) {
            auto added = std::make_unique<entry>(entry{ std::string(text), ++names.lastNumber, 0 });
            known = added.get();
            names.entries.emplace(known->text, std::move(added));
        }
        ++known->references;
        return known;
    }
    static void release(const entry *unused)
    {
        const auto found = table().entries.find(unused->text);
        // The key refers to the entry's text, so the entry has to outlive its key.
        const std::unique_ptr<entry> removed = std::move(found->second);
        table().entries.erase(found);
    }

    entry *m_entry = nullptr;
};

} // namespace jujubespool

template <typename Tag> struct std::hash<jujubespool::interned_name<Tag>>
{
    std::size_t operator()(const jujubespool::interned_name<Tag> &name) const
    {
        return std::hash<std::uint64_t>()(name.number());
    }
};
