#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace carobjunction
{

/**
 * Writes log lines to a descriptor without blocking. If the descriptor is a full pipe, lines are dropped; the next line that can be
 * written is preceded by a `lines-dropped` event with their number. Lines longer than PIPE_BUF are truncated.
 */
class StandardOutputAppender : public log4cplus::Appender
{
public:
    static constexpr int StandardOutput = 1;

    explicit StandardOutputAppender(int descriptor = StandardOutput) : m_descriptor(descriptor)
    {
    }
    ~StandardOutputAppender() override;

    void close() override
    {
    }

    /** @return number of lines dropped since construction */
    uint64_t droppedLines() const
    {
        return m_droppedLines;
    }

protected:
    void append(const log4cplus::spi::InternalLoggingEvent &event) override;

private:
    bool isWritable() const;
    bool write(const std::string &text);

    int m_descriptor;
    uint64_t m_unreportedDrops = 0; /**< Lines dropped since the last `lines-dropped` event. */
    uint64_t m_droppedLines = 0;
};

} // namespace carobjunction
