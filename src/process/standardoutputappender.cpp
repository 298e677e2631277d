#include "process/standardoutputappender.h"

#include "process/eventlog.h"

#include <log4cplus/layout.h>

#include <climits>
#include <poll.h>
#include <sstream>
#include <unistd.h>

namespace carobjunction
{

StandardOutputAppender::~StandardOutputAppender()
{
    destructorImpl();
}

/** @return whether a line can be written without blocking. A pipe that polls as writable accepts at least PIPE_BUF bytes. */
bool StandardOutputAppender::isWritable() const
{
    pollfd poll { m_descriptor, POLLOUT, 0 };
    return ::poll(&poll, 1, 0) == 1 && (poll.revents & POLLOUT) != 0;
}

bool StandardOutputAppender::write(const std::string &text)
{
    return isWritable() && ::write(m_descriptor, text.data(), text.size()) == static_cast<ssize_t>(text.size());
}

void StandardOutputAppender::append(const log4cplus::spi::InternalLoggingEvent &event)
{
    std::ostringstream line;
    layout->formatAndAppend(line, event);
    std::string text = line.str();
    if (text.size() > PIPE_BUF) {
        text.resize(PIPE_BUF - 1);
        text += '\n';
    }
    if (m_unreportedDrops > 0 && write(EventLog::format(Event::LinesDropped, { { "lines", std::to_string(m_unreportedDrops) } }) + "\n")) {
        m_unreportedDrops = 0;
    }
    if (!write(text)) {
        ++m_unreportedDrops;
        ++m_droppedLines;
    }
}

} // namespace carobjunction
