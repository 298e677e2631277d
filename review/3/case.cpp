#include "../standins/casemain.h"
#include "../standins/deployment.h"

using namespace carobjunction::review;

namespace
{

constexpr Milliseconds ConfigApplyBound { 2500 }; // config_apply_ms
constexpr Milliseconds ContactBound { 4000 }; // contact_ms
constexpr Milliseconds FlapDuration { 6500 }; // for_s of `srv_flap`
constexpr Milliseconds FlapPeriod { 1400 }; // gap_s of `srv_flap`
constexpr Milliseconds MeasureDuration { 12000 };
constexpr Milliseconds SendInterval { 100 };
constexpr Milliseconds WorkTime { 220 }; // mean of the site's lookups
constexpr int RequiredRequests = 20;
constexpr double RequiredRatio = 0.25;

/** Results of the clients since the last reset. */
struct Counts {
    std::atomic<int> sent { 0 };
    std::atomic<int> served { 0 };

    double servedShare() const
    {
        return sent == 0 ? 0 : static_cast<double>(served) / sent;
    }

    void reset()
    {
        sent = 0;
        served = 0;
    }
};

/** Clients at one machine that send a lookup on the first route and one on the later route in each SendInterval. */
class Clients
{
public:
    Clients(Deployment &deployment, const Machine &machine) : m_deployment(deployment), m_machine(machine), m_thread([this] { run(); })
    {
    }

    ~Clients()
    {
        m_isStopping = true;
        m_thread.join();
    }

    Clients(const Clients &) = delete;
    Clients &operator=(const Clients &) = delete;

    Counts firstRoute;
    Counts laterRoute;

private:
    void send(Counts &counts, const std::string &path)
    {
        ++counts.sent;
        counts.served += m_deployment.request(m_machine, http::verb::get, path) == 200 ? 1 : 0;
    }

    void run()
    {
        std::vector<std::thread> requests;
        for (int number = 0; !m_isStopping; ++number) {
            requests.emplace_back([this, number] { send(firstRoute, "/stock/" + std::to_string(number)); });
            requests.emplace_back([this] { send(laterRoute, "/grades/today"); });
            std::this_thread::sleep_for(SendInterval);
        }
        for (std::thread &request : requests) {
            request.join();
        }
    }

    Deployment &m_deployment;
    const Machine &m_machine;
    std::atomic<bool> m_isStopping { false };
    std::thread m_thread;
};

/** Ends and starts a target by turns. @return whether it could be started each time */
bool flap(Record &record, Target &target)
{
    const Clock::time_point end = Clock::now() + FlapDuration;
    const std::string id = target.id();
    bool isStarted = true;
    for (int process = 1; isStarted && Clock::now() < end; ++process) {
        std::this_thread::sleep_for(FlapPeriod / 2);
        record.write("target " + target.id() + ": goes down");
        target.stop();
        std::this_thread::sleep_for(FlapPeriod / 2);
        isStarted = target.start(id + "." + std::to_string(process));
        record.write("target " + target.id() + ": is up");
    }
    return isStarted;
}

int play(Record &record, bool hasTrouble)
{
    const Route stock { "/stock/", "idempotent", "ordering" };
    const Route grades { "/grades/", "idempotent", "ordering" };
    Deployment deployment(record, { "ordering", "ordering", "dispatch" }, { stock });
    for (Machine &machine : deployment.machines) {
        machine.target->workTime = WorkTime;
    }
    if (!deployment.start()) {
        return ExitNotRun;
    }
    deployment.publish(5, { stock, grades });
    std::this_thread::sleep_for(ConfigApplyBound);
    Clients clients(deployment, deployment.machines[2]);
    if (!hasTrouble) {
        std::this_thread::sleep_for(FlapDuration);
    } else if (!flap(record, *deployment.machines[0].target)) {
        return ExitNotRun;
    }
    std::this_thread::sleep_for(ContactBound);
    record.write("steady state begins");
    clients.firstRoute.reset();
    clients.laterRoute.reset();
    std::this_thread::sleep_for(MeasureDuration);
    const int sent = clients.laterRoute.sent;
    const double first = clients.firstRoute.servedShare();
    const double later = clients.laterRoute.servedShare();
    record.write("steady state ends; served on the first route: " + std::to_string(first) + ", on the later route: " + std::to_string(later) + " of "
                 + std::to_string(sent));
    if (sent < RequiredRequests || first == 0) {
        return ExitNotRun;
    }
    return later < RequiredRatio * first ? ExitBroken : ExitHeld;
}

} // namespace

int main(int argc, char **argv)
{
    return runCase(argc, argv, play);
}
