#include "process/vmsettings.h"

#include "version/yamlreader.h"

#include <algorithm>

namespace carobjunction
{

namespace
{

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t MaxNameLength = 200;
constexpr std::string_view AddressRange = "an IP address and port, such as 10.0.0.5:7000";

bool isPrintableName(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7f; });
}

bool isAddress(std::string_view text)
{
    return ValueText::isAddress(text);
}

KeyRule<VmSettings> nameKey(const std::string &name, std::string VmSettings::*member)
{
    return textKey(name, member, "1 to 200 printable characters", &isPrintableName).required();
}

KeyRule<VmSettings> addressKey(const std::string &name, std::string VmSettings::*member)
{
    return textKey(name, member, std::string(AddressRange), &isAddress).required();
}

const std::vector<KeyRule<VmSettings>> &rules()
{
    static const std::vector<KeyRule<VmSettings>> all {
        nameKey("daemon", &VmSettings::daemon),
        nameKey("region", &VmSettings::region),
        nameKey("data-centre", &VmSettings::dataCentre),
        nameKey("service", &VmSettings::service),
        addressKey("backend-address", &VmSettings::backendAddress),
        addressKey("caller-address", &VmSettings::callerAddress),
        addressKey("peer-address", &VmSettings::peerAddress),
        textKey("announced-address", &VmSettings::announcedAddress, std::string(AddressRange), &isAddress),
        addressKey("ready-address", &VmSettings::readyAddress),
        addressKey("operator-address", &VmSettings::operatorAddress),
        addressKey("store-address", &VmSettings::storeAddress),
        choiceKey("log-level", &VmSettings::logLevel),
        durationKey("heartbeat-interval", &VmSettings::heartbeatInterval, milliseconds(50), minutes(1)),
        durationKey("grace-period", &VmSettings::gracePeriod, milliseconds(500), minutes(10)),
        realKey("retry-ratio", &VmSettings::retryRatio, "", 0, 1),
        realKey("retry-slack", &VmSettings::retrySlack, "arrivals", 0, 1'000'000),
        durationKey("retry-window", &VmSettings::retryWindow, seconds(1), minutes(10)),
        realKey("memory", &VmSettings::memoryMb, "MB", 32, 1'000'000),
        realKey("descriptors", &VmSettings::maxDescriptors, "descriptors", 64, 10'000'000),
    };
    return all;
}

} // namespace

VmSettingsResult VmSettingsParser::parse(std::string_view text, const std::string &file)
{
    return parseSettings(text, file, rules(), [](YamlReader &, const YamlNode &, const VmSettings &) {});
}

std::vector<KeyDescription> VmSettingsParser::keys()
{
    return describe(rules());
}

} // namespace carobjunction
