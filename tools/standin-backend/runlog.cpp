#include "runlog.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdio>

namespace carobjunction::standin
{

namespace
{

int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

nlohmann::json recordToJson(const RunRecord &record)
{
    return { { "request_id", record.requestId },
             { "key", record.key },
             { "path", record.path },
             { "method", record.method },
             { "started_ms", record.startedMs },
             { "finished_ms", record.finishedMs },
             { "cancelled", record.cancelled } };
}

std::string toLine(const nlohmann::json &json)
{
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + '\n';
}

} // namespace

RequestRunLog::~RequestRunLog()
{
    if (m_ownsFd) {
        ::close(m_fd);
    }
}

bool RequestRunLog::open(const std::string &pathOrDescriptor)
{
    const bool isDescriptor
        = !pathOrDescriptor.empty() && std::all_of(pathOrDescriptor.begin(), pathOrDescriptor.end(), [](unsigned char c) { return std::isdigit(c) != 0; });
    m_ownsFd = !isDescriptor;
    m_fd = isDescriptor ? std::stoi(pathOrDescriptor) : ::open(pathOrDescriptor.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    return m_fd >= 0;
}

std::size_t RequestRunLog::recordStart(RunRecord record)
{
    record.startedMs = wallClockMs();
    const std::string line = m_fd >= 0 ? toLine(recordToJson(record)) : std::string();
    const std::lock_guard lock(m_mutex);
    if (m_fd >= 0 && ::write(m_fd, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
        std::perror("cannot write to the log file");
    }
    m_records.push_back(std::move(record));
    return m_records.size() - 1;
}

void RequestRunLog::recordFinish(std::size_t index, bool cancelled)
{
    const std::lock_guard lock(m_mutex);
    m_records[index].finishedMs = wallClockMs();
    m_records[index].cancelled = cancelled;
}

nlohmann::json RequestRunLog::toJson() const
{
    const std::lock_guard lock(m_mutex);
    nlohmann::json list = nlohmann::json::array();
    for (const RunRecord &record : m_records) {
        list.push_back(recordToJson(record));
    }
    return list;
}

} // namespace carobjunction::standin
