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

result<std::size_t> memory_files::size(std::string_view name) const
{
    const auto found = m_files.find(name);
    if (found == m_files.end()) {
        return errc::fileUnreadable;
    }
    return found->second->content.size();
}

status memory_files::readAt(std::string_view name, std::size_t offset, std::span<char> target) const
{
    const auto found = m_files.find(name);
    if (found == m_files.end()) {
        return errc::fileUnreadable;
    }
    const auto &content = found->second->content;
    if (offset + target.size() > content.size()) {
        return errc::ioFailed;
    }
    std::copy_n(content.begin() + static_cast<std::ptrdiff_t>(offset), target.size(), target.begin());
    return success();
}

status memory_files::write(std::string_view name, std::string_view content)
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    // Replaces the file: after O_TRUNC, none of the old content is guaranteed to survive a crash.
    auto &written = m_files[std::string(name)];
    written = std::make_shared<file>();
    return appendWhatFits(*written, content);
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
    return appendWhatFits(*known, content);
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
    auto &known = *m_files.find(name)->second;
    if (auto done = beginOperation(); !done) {
        known.syncFailed = true;
        return done;
    }
    if (!known.syncFailed) {
        known.synced = known.content;
    }
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

status memory_files::remove(std::string_view name)
{
    if (auto done = beginOperation(); !done) {
        return done;
    }
    if (const auto found = m_files.find(name); found != m_files.end()) {
        m_files.erase(found);
    }
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
        each->syncFailed = false;
    }
    m_failAt = 0;
}

void memory_files::empty()
{
    m_files.clear();
    m_durable.clear();
    m_failAt = 0;
    m_capacity.reset();
}

void memory_files::failAfter(std::uint64_t operations, errc error)
{
    m_failAt = operations == 0 ? 0 : m_operations + operations;
    m_error = error;
}

void memory_files::setCapacity(std::optional<std::size_t> bytes)
{
    m_capacity = bytes;
}

std::size_t memory_files::usedBytes() const
{
    std::size_t bytes = 0;
    for (const auto &[name, each] : m_files) {
        bytes += each->content.size();
    }
    return bytes;
}

void memory_files::corrupt(std::string_view name, std::size_t position)
{
    auto &content = m_files.find(name)->second->content;
    content[position] = static_cast<char>(content[position] ^ 0x5a);
}

status memory_files::appendWhatFits(file &target, std::string_view content) const
{
    const std::size_t used = m_capacity ? usedBytes() : 0;
    const std::size_t room = m_capacity ? *m_capacity - std::min(*m_capacity, used) : content.size();
    target.content.append(content.substr(0, room));
    return content.size() <= room ? status(success()) : status(errc::diskFull);
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
