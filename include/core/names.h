#pragma once

#include <compare>
#include <functional>
#include <string>
#include <string_view>

namespace hornbeampick
{

/// A strongly typed name: names with different tags do not convert to each other.
template <typename Tag> class tagged_name
{
public:
    tagged_name() = default;
    explicit tagged_name(std::string_view text)
        : m_text(text)
    {
    }

    [[nodiscard]] std::string_view view() const
    {
        return m_text;
    }
    [[nodiscard]] const std::string &string() const
    {
        return m_text;
    }
    [[nodiscard]] bool empty() const
    {
        return m_text.empty();
    }

    auto operator<=>(const tagged_name &) const = default;

private:
    std::string m_text;
};

using host_name = tagged_name<struct host_tag>;
using region_name = tagged_name<struct region_tag>;
using domain_name = tagged_name<struct domain_tag>;
using service_name = tagged_name<struct service_tag>;
using instance_name = tagged_name<struct instance_tag>;
using organisation_name = tagged_name<struct organisation_tag>;

} // namespace hornbeampick

template <typename Tag> struct std::hash<hornbeampick::tagged_name<Tag>> {
    std::size_t operator()(const hornbeampick::tagged_name<Tag> &name) const noexcept
    {
        return std::hash<std::string_view> {}(name.view());
    }
};
