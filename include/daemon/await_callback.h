#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/associated_cancellation_slot.hpp>
#include <boost/asio/associated_executor.hpp>
#include <boost/asio/async_result.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <functional>
#include <memory>
#include <type_traits>
#include <utility>

namespace hornbeampick
{

/// Suspends a coroutine until a callback is called; any thread may call it, once.
///
/// `start` receives the callback; the coroutine resumes on its own executor. `start` may return a cancel function, which makes the
/// callback be called early; it is called at most once, when the coroutine is cancelled. The caller must pass `start` as a named
/// object: g++ 12 destroys a capturing lambda twice when it is a temporary of the `co_await` expression.
template <typename T, typename Start> boost::asio::awaitable<T> awaitCallback(Start start)
{
    namespace asio = boost::asio;
    auto initiate = [start = std::move(start)](auto handler) mutable {
        auto executor = asio::get_associated_executor(handler);
        auto slot = asio::get_associated_cancellation_slot(handler);
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        auto work = asio::make_work_guard(executor);
        std::function<void(T)> done = [shared, executor, work, slot](T value) {
            asio::post(executor, [shared, slot, value = std::move(value)]() mutable {
                slot.clear();
                std::move (*shared)(std::move(value));
            });
        };
        if constexpr (std::is_void_v<std::invoke_result_t<Start &, std::function<void(T)>>>) {
            start(std::move(done));
        } else {
            auto cancel = start(std::move(done));
            if (slot.is_connected()) {
                slot.assign([cancel = std::move(cancel)](asio::cancellation_type) { cancel(); });
            }
        }
    };
    return asio::async_initiate<const asio::use_awaitable_t<>, void(T)>(std::move(initiate), asio::use_awaitable);
}

} // namespace hornbeampick
