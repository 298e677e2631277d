#include "process/eventlog.h"

int main()
{
    carobjunction::EventLog::initialise(carobjunction::LogLevel::Info);
    return 0;
}
