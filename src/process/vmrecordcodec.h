#pragma once

#include <carobjunction/process/vmrecord.h>

#include <optional>
#include <string>
#include <string_view>

namespace carobjunction
{

/** Encodes and decodes the JSON form of a VM's record, which is used in the store and between daemons. */
class VmRecordCodec
{
public:
    static std::string encode(const VmRecord &record);

    /**
     * Maximum size of an encoded record in bytes. A record with names of maximum length fits even if every byte is escaped. Larger
     * records would not fit into the datagrams by which changed records are distributed.
     */
    static constexpr size_t MaxRecordBytes = 8192;

    /**
     * Decodes a record.
     * @param errorMessage  receives the reason if the record is invalid; may be null
     * @return the record, or empty if a field is missing, has the wrong type or is out of range
     */
    static std::optional<VmRecord> decode(std::string_view text, std::string *errorMessage = nullptr);

    /**
     * Returns the greatest incarnation of a daemon, and start time of a backend server, that is accepted from other processes. Incarnations are Unix times in
     * milliseconds, or the previous incarnation of the daemon plus one if its clock was set back. The limit lies far ahead of any clock, so that a daemon with
     * a wrong clock still accepts the records of others. It grows with time, so that a daemon can always supersede an accepted record under its own key.
     * @return the limit as a Unix time in milliseconds
     */
    static uint64_t maxAcceptedIncarnation();
};

} // namespace carobjunction
