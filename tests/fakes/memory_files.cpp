#include "memory_files.h"

#include <algorithm>

namespace hornbeampick::testing
{

bool memory_files::exists(std::string_view name) const
{
    return m_files.find(name) != m_files.end();
}

result<std::string> memory_files::read(std::string_view name) const
{
    const auto found = m_files.find(name);
    if (found == m_files.end()) {
        return errc::fileUnreadable;
    }
    return found->second->content;
}

status memory_files::write(std::string_view name, std::string_view content)
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    // Replaces the file: after O_TRUNC, none of the old content is guaranteed to survive a crash.
    m_files[std::string(name)] = std::make_shared<file>(file {.content = std::string(content), .synced = {}});
    return success();
}

status memory_files::append(std::string_view name, std::string_view content)
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    auto &known = m_files[std::string(name)];
    if (!known) {
        known = std::make_shared<file>();
    }
    known->content.append(content);
    return success();
}

status memory_files::truncate(std::string_view name, std::size_t size)
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    m_files.find(name)->second->content.resize(size);
    return success();
}

status memory_files::sync(std::string_view name)
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    auto &known = *m_files.find(name)->second;
    known.synced = known.content;
    return success();
}

status memory_files::rename(std::string_view from, std::string_view to)
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    const auto found = m_files.find(from);
    m_files[std::string(to)] = found->second;
    m_files.erase(m_files.find(from));
    return success();
}

status memory_files::syncFolder()
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    m_durable = m_files;
    return success();
}

void memory_files::crash(std::uint64_t tailSelector)
{
    m_files = m_durable;
    for (auto &[name, each] : m_files) {
        const bool appended = each->content.size() > each->synced.size() && each->content.starts_with(each->synced);
        const std::size_t tail = appended ? tailSelector % (each->content.size() - each->synced.size() + 1) : 0;
        each->content = each->synced + (appended ? each->content.substr(each->synced.size(), tail) : std::string());
        each->synced = each->content;
    }
    m_failAt = 0;
}

void memory_files::empty()
{
    m_files.clear();
    m_durable.clear();
    m_failAt = 0;
}

void memory_files::failAfter(std::uint64_t operations, errc error)
{
    m_failAt = operations == 0 ? 0 : m_operations + operations;
    m_error = error;
}

void memory_files::corrupt(std::string_view name, std::size_t position)
{
    auto &content = m_files.find(name)->second->content;
    content[position] = static_cast<char>(content[position] ^ 0x5a);
}

status memory_files::beginOperation()
{
    ++m_operations;
    if (m_failAt != 0 && m_operations >= m_failAt) {
        return m_error;
    }
    return success();
}

} // namespace hornbeampick::testing
