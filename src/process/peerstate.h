#pragma once

#include <carobjunction/process/vmrecord.h>

#include <optional>
#include <string>
#include <vector>

namespace carobjunction
{

/** State that a daemon returns to another daemon that queries it. */
struct PeerState {
    std::vector<VmRecord> records;
    std::string routes; /**< Text of the routes; empty if they were not queried or there are none. */

    /** @return the state as JSON */
    std::string encode() const;

    /**
     * @param errorMessage  receives the reason if the text is no valid state
     * @return the state without its unreadable records, or empty if the text is no valid state
     */
    static std::optional<PeerState> decode(const std::string &text, std::string *errorMessage);
};

} // namespace carobjunction
