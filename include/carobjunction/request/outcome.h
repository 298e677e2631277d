#pragma once

#include <carobjunction/process/enumnames.h>

namespace carobjunction
{

/** What is known about whether a request ran on a backend server. */
enum class Outcome {
    Ran, /**< A backend server ran the request and gave a complete answer. */
    NotRun, /**< It is proven that no backend server ran the request. */
    Unknown, /**< The request was dispatched, and no complete answer arrived. */
};

template<>
struct EnumNames<Outcome> {
    static constexpr std::pair<Outcome, std::string_view> Table[] = {
        { Outcome::Ran, "ran" },
        { Outcome::NotRun, "not-run" },
        { Outcome::Unknown, "unknown" },
    };
};

} // namespace carobjunction
