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

    /** @return the record, or empty if a field is missing or of another type */
    static std::optional<VmRecord> decode(std::string_view text);
};

} // namespace carobjunction
