#pragma once

#include <carobjunction/process/vmrecord.h>

#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Text form of a VM's record, in the store and between daemons. */
class VmRecordCodec
{
public:
    static std::string encode(const VmRecord &record);

    /**
     * Bytes of a record. Names of the longest kind fit, also if each byte is escaped; what is longer doesn't fit into a datagram, by which
     * changed records are spread.
     */
    static constexpr size_t LargestRecord = 8192;

    /**
     * @param fault  receives why the record can't be read; may be null
     * @return the record, or empty if a field is missing, of another type or out of range
     */
    static std::optional<VmRecord> decode(std::string_view text, std::string *fault = nullptr);

    /**
     * Incarnations are Unix milliseconds, or one more than the last one of the same daemon if its clock went back. The limit lies far ahead
     * of any clock, so that a daemon with a wrong clock still reads the others, and grows with the time, so that a daemon can supersede each
     * row that was read under its own key.
     * @return largest incarnation, and birth of a backend server, that is read at this moment
     */
    static uint64_t largestIncarnation();
};

} // namespace carobjunction
