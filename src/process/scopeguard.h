#pragma once

#include <utility>

namespace carobjunction
{

/** Calls a function on destruction, so that it runs however the scope is left. The function must not throw. */
template<typename Function>
class ScopeGuard
{
public:
    explicit ScopeGuard(Function function) : m_function(std::move(function))
    {
    }
    ~ScopeGuard()
    {
        m_function();
    }
    ScopeGuard(const ScopeGuard &) = delete;
    ScopeGuard &operator=(const ScopeGuard &) = delete;

private:
    Function m_function;
};

} // namespace carobjunction
