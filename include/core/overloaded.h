#pragma once

namespace hornbeampick
{

/// Joins lambdas into one visitor for std::visit.
template <typename... Handlers> struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace hornbeampick
