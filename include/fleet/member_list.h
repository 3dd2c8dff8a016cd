#pragma once

#include "fleet/fleet_member.h"

#include <cstddef>
#include <memory>
#include <utility>
#include <vector>

namespace hornbeampick
{

/// Immutable snapshot of the members, sorted by host. Copies share the storage and cost one reference count.
class member_list
{
public:
    explicit member_list(std::vector<fleet_member> members)
        : m_members(std::make_shared<const std::vector<fleet_member>>(std::move(members)))
    {
    }

    [[nodiscard]] const fleet_member *data() const
    {
        return m_members->data();
    }
    [[nodiscard]] std::size_t size() const
    {
        return m_members->size();
    }
    [[nodiscard]] bool empty() const
    {
        return m_members->empty();
    }
    [[nodiscard]] const fleet_member *begin() const
    {
        return data();
    }
    [[nodiscard]] const fleet_member *end() const
    {
        return data() + size();
    }
    [[nodiscard]] const fleet_member &front() const
    {
        return m_members->front();
    }
    [[nodiscard]] const fleet_member &operator[](std::size_t index) const
    {
        return (*m_members)[index];
    }

private:
    std::shared_ptr<const std::vector<fleet_member>> m_members;
};

} // namespace hornbeampick
