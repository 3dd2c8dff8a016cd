#pragma once

namespace hornbeampick
{

/// Combines lambdas into one visitor for std::visit.
template <typename... Handlers> struct overloaded : Handlers... {
    using Handlers::operator()...;
};

template <typename... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace hornbeampick
