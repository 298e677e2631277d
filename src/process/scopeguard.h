#pragma once

#include <utility>

namespace carobjunction
{

/** Calls a function at the end of its scope, also if an exception ends it. The function must not throw. */
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
