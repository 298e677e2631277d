#pragma once

#include <log4cplus/appender.h>

#include <cstdint>

namespace carobjunction
{

/**
 * Writes log lines to a descriptor that may be a pipe, and never waits for its reader: a line that finds no room is dropped and
 * counted, and the next line that finds room is preceded by one with the count.
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
    uint64_t m_unreportedDrops = 0; /**< Since the last report. */
    uint64_t m_droppedLines = 0;
};

} // namespace carobjunction
