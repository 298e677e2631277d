#include "backgroundload.h"

#include <utility>

namespace carobjunction::scenarios
{

namespace
{

constexpr auto ResendPause = std::chrono::milliseconds(50);

} // namespace

BackgroundLoad::BackgroundLoad(CallSender &sender, LoadSpec spec) : m_sender(sender), m_spec(std::move(spec))
{
    for (std::size_t i = 0; i < m_spec.senders; ++i) {
        m_threads.emplace_back([this] { sendCalls(); });
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

void BackgroundLoad::sendCalls()
{
    while (!m_stopping) {
        const std::size_t index = m_next++;
        if (index >= m_spec.count) {
            return;
        }
        if (m_spec.rate > 0) {
            const std::chrono::duration<double> offset(static_cast<double>(index) / m_spec.rate);
            std::this_thread::sleep_until(m_startedAt + std::chrono::duration_cast<std::chrono::steady_clock::duration>(offset));
        }
        sendCall(index);
        ++m_finished;
    }
}

void BackgroundLoad::sendCall(std::size_t index)
{
    CallSpec call = m_spec.call;
    const std::string name = call.group + "-" + std::to_string(index);
    if (m_spec.keyed) {
        call.key = name;
    }
    if (call.isIdempotent()) {
        call.path += "?call=" + name;
    } else {
        call.body = name;
    }
    for (std::size_t attempt = 0; attempt <= m_spec.resends; ++attempt) {
        call.via = m_spec.vias[(index + attempt) % m_spec.vias.size()];
        if (m_sender.send(call).outcome == "ran") {
            return;
        }
        if (attempt < m_spec.resends) {
            std::this_thread::sleep_for(ResendPause);
        }
    }
}

} // namespace carobjunction::scenarios
