#pragma once

#include <optional>
#include <string>
#include <utility>

namespace carobjunction
{

/**
 * Thread-local error of the last failed operation of a layer.
 *
 * A function that fails stores its error with fail() and returns an empty std::optional. Each layer has its own error type,
 * so that the errors of lower layers are not exposed.
 *
 * @tparam Error  the layer's error type
 */
template<typename Error>
class LastError
{
public:
    /**
     * Stores the error of a failed operation.
     * @param error  cause of the failure
     * @return std::nullopt, so that callers can write `return LastError<E>::fail(...)`
     */
    static std::nullopt_t fail(Error error)
    {
        s_error = std::move(error);
        return std::nullopt;
    }

    /** @return error of the last failed operation of this layer on the calling thread */
    static const Error &get()
    {
        return s_error;
    }

private:
    inline static thread_local Error s_error {};
};

} // namespace carobjunction
