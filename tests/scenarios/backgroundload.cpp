#include "backgroundload.h"

#include <utility>

namespace carobjunction::scenarios
{

namespace
{

constexpr auto ResendInterval = std::chrono::milliseconds(50);

} // namespace

BackgroundLoad::BackgroundLoad(CallSender &sender, LoadSpec spec) : m_callSender(sender), m_spec(std::move(spec))
{
    for (std::size_t i = 0; i < m_spec.senderCount; ++i) {
        m_threads.emplace_back([this] { runSender(); });
    }
}

BackgroundLoad::~BackgroundLoad()
{
    stop();
    join();
}

void BackgroundLoad::join()
{
    for (std::thread &thread : m_threads) {
        thread.join();
    }
    m_threads.clear();
}

void BackgroundLoad::runSender()
{
    while (!m_isStopping) {
        const std::size_t index = m_nextIndex++;
        if (index >= m_spec.count) {
            return;
        }
        if (m_spec.callsPerSecond > 0) {
            const std::chrono::duration<double> offset(static_cast<double>(index) / m_spec.callsPerSecond);
            std::this_thread::sleep_until(m_startedAt + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset));
        }
        sendWithResends(index);
        ++m_finishedCallCount;
    }
}

void BackgroundLoad::sendWithResends(std::size_t index)
{
    CallSpec call = m_spec.call;
    const std::string name = call.group + "-" + std::to_string(index);
    if (m_spec.hasIdempotencyKeys) {
        call.key = name;
    }
    if (call.isIdempotent()) {
        call.path += "?call=" + name;
    } else {
        call.body = name;
    }
    for (std::size_t attempt = 0; attempt <= m_spec.maxResends; ++attempt) {
        call.entryDaemon = m_spec.entryDaemons[(index + attempt) % m_spec.entryDaemons.size()];
        if (m_callSender.send(call).outcome == "ran") {
            return;
        }
        if (attempt < m_spec.maxResends) {
            std::this_thread::sleep_for(ResendInterval);
        }
    }
}

} // namespace carobjunction::scenarios
