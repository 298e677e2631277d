#include "record.h"

#include <iomanip>

namespace carobjunction::review
{

int64_t Record::elapsedMs() const
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - m_startedAt).count();
}

void Record::write(const std::string &line)
{
    const std::scoped_lock lock(m_mutex);
    m_file << std::setw(7) << elapsedMs() << " ms  " << line << '\n' << std::flush;
}

} // namespace carobjunction::review
