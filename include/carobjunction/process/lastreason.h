#pragma once

#include <optional>
#include <string>
#include <utility>

namespace carobjunction
{

/**
 * Reason of the last failure of one layer on the calling thread.
 *
 * Functions that return an empty std::optional set it first with fail(). Each layer has its own error type,
 * so a layer never exposes the errors of the layer below.
 *
 * @tparam Error  the layer's error type
 */
template<typename Error>
class LastReason
{
public:
    /**
     * Records a failure.
     * @param error  the reason
     * @return std::nullopt, so that callers write `return LastReason<E>::fail(...)`
     */
    static std::nullopt_t fail(Error error)
    {
        s_error = std::move(error);
        return std::nullopt;
    }

    /** @return the reason of this thread's last failure in this layer */
    static const Error &get()
    {
        return s_error;
    }

private:
    inline static thread_local Error s_error {};
};

} // namespace carobjunction
