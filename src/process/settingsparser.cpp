#include "process/settingsparser.h"

#include "version/yamlreader.h"

#include <algorithm>
#include <array>
#include <set>

namespace carobjunction
{

namespace
{

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t MaxNameLength = 63;
constexpr size_t MaxSeeds = 64;
constexpr std::string_view AddressRange = "IP address and port, such as 10.0.0.5:7000 or [fd00::5]:7000";

/** Returns whether the text is a valid daemon, region or data centre name. */
bool isIdentifier(std::string_view text)
{
    return !text.empty() && text.size() <= MaxNameLength && std::all_of(text.begin(), text.end(), [](char character) {
        return (character >= 'a' && character <= 'z') || (character >= '0' && character <= '9') || character == '-' || character == '.' || character == '_';
    });
}

bool isFileName(std::string_view text)
{
    return !text.empty() && text.find('\0') == std::string_view::npos;
}

bool isListenAddress(std::string_view text)
{
    return ValueText::isAddress(text);
}

/** Returns whether peers can connect to the address. It is advertised to them, so a wildcard address is invalid. */
bool isPeerAddress(std::string_view text)
{
    return ValueText::isAddress(text) && !ValueText::isUnspecified(text);
}

bool isConnectableAddress(std::string_view text)
{
    return isPeerAddress(text) && ValueText::portOf(text) != 0;
}

KeyRule<Settings> nameKey(const std::string &name, std::string Settings::*member)
{
    return textKey(name, member, "1 to 63 lower-case letters, digits, '-', '.' and '_'", &isIdentifier).required();
}

/** Reads the list of seed addresses. */
void readSeeds(YamlReader &reader, const YamlNode &node, const std::string &field, Settings &settings)
{
    if (node.kind != YamlNode::Kind::Sequence) {
        reader.addError(node, field, "must be a list of addresses");
        return;
    }
    if (node.children.size() > MaxSeeds) {
        reader.addError(node, field, "has more than " + std::to_string(MaxSeeds) + " addresses");
        return;
    }
    std::set<std::string> seen;
    for (size_t i = 0; i < node.children.size(); ++i) {
        const YamlNode &item = node.children[i];
        const std::string itemField = field + "[" + std::to_string(i) + "]";
        const std::string *text = reader.readText(item, itemField);
        if (text == nullptr) {
            continue;
        }
        if (!isConnectableAddress(*text)) {
            reader.addError(item, itemField, "must be an " + std::string(AddressRange) + ", not '" + ValueText::toPrintable(*text) + "'");
        } else if (!seen.insert(*text).second) {
            reader.addError(item, itemField, "duplicate address: each seed may be listed only once");
        } else {
            settings.seeds.push_back(*text);
        }
    }
}

const std::vector<KeyRule<TlsFiles>> &tlsKeyRules()
{
    static const std::vector<KeyRule<TlsFiles>> rules {
        textKey("certificate", &TlsFiles::certificate, "the name of a PEM file", &isFileName).required(),
        textKey("key", &TlsFiles::key, "the name of a PEM file", &isFileName).required(),
        textKey("authority", &TlsFiles::authority, "the name of a PEM file", &isFileName).required(),
    };
    return rules;
}

std::vector<KeyRule<Settings>> identityKeyRules()
{
    const std::string address(AddressRange);
    return {
        nameKey("daemon", &Settings::daemon),
        nameKey("region", &Settings::region),
        nameKey("data-centre", &Settings::dataCentre),
        textKey("service", &Settings::service, std::string(ValueText::ServiceNameRange), &ValueText::isServiceName).required(),
        textKey("caller-address", &Settings::callerAddress, "an " + address, &isListenAddress).required(),
        textKey("peer-address", &Settings::peerAddress, "an " + address + ", other than 0.0.0.0 and [::]", &isPeerAddress).required(),
        textKey("operator-address", &Settings::operatorAddress, "an " + address, &isListenAddress).required(),
        textKey("store-address", &Settings::storeAddress, "an " + address + ", with a port other than 0", &isConnectableAddress).withDefault("no store"),
        { { "seeds", "list of text", "", "no seeds", "at most 64 addresses with ports other than 0" }, &readSeeds },
        choiceKey("peer-security", &Settings::peerSecurity),
        sectionKey("tls", &Settings::tls, tlsKeyRules()).withDefault("required for mutual-tls"),
        choiceKey("log-level", &Settings::logLevel),
    };
}

std::vector<KeyRule<Settings>> limitKeyRules()
{
    return {
        integerKey("caller-threads", &Settings::callerThreads, "threads", 1, 4096),
        integerKey("worker-threads", &Settings::workerThreads, "threads", 1, 1024),
        sizeKey("max-body", &Settings::maxBodyBytes, 1, 64U << 20U),
        durationKey("store-timeout", &Settings::storeTimeout, milliseconds(1), seconds(30)),
        durationKey("announce-timeout", &Settings::announceTimeout, milliseconds(100), minutes(1)),
        durationKey("gossip-interval", &Settings::gossipInterval, milliseconds(10), minutes(1)),
        durationKey("suspicion-timeout", &Settings::suspicionTimeout, milliseconds(10), minutes(1)),
        durationKey("member-forget-time", &Settings::memberForgetTime, seconds(1), hours(24)),
        durationKey("config-poll-interval", &Settings::configPollInterval, milliseconds(10), minutes(1)),
        durationKey("claim-batch-delay", &Settings::claimBatchDelay, Duration::zero(), milliseconds(100)),
        durationKey("region-delay", &Settings::regionDelay, Duration::zero(), seconds(1)),
    };
}

const std::vector<KeyRule<Settings>> &settingsKeyRules()
{
    static const std::vector<KeyRule<Settings>> rules = [] {
        std::vector<KeyRule<Settings>> all = identityKeyRules();
        for (KeyRule<Settings> &rule : limitKeyRules()) {
            all.push_back(std::move(rule));
        }
        return all;
    }();
    return rules;
}

/** @return the node of @p key, or the root if the key is missing, for the position of an error */
const YamlNode &nodeOrRoot(const YamlNode &root, std::string_view key)
{
    const YamlNode *node = root.find(key);
    return node == nullptr ? root : *node;
}

void checkPeerSecurity(YamlReader &reader, const YamlNode &root, const Settings &settings)
{
    const bool hasTls = root.find("tls") != nullptr;
    if (settings.peerSecurity == PeerSecurity::MutualTls && !hasTls) {
        reader.addError(root, "tls", "missing, but required unless peer-security is plaintext");
    }
    if (settings.peerSecurity == PeerSecurity::Plaintext && hasTls) {
        reader.addError(*root.find("tls"), "tls", "must not be set if peer-security is plaintext");
    }
}

void checkAddresses(YamlReader &reader, const YamlNode &root, const Settings &settings)
{
    const std::array<std::pair<std::string, std::string>, 3> addresses { {
        { "caller-address", settings.callerAddress },
        { "peer-address", settings.peerAddress },
        { "operator-address", settings.operatorAddress },
    } };
    std::set<std::string> seen;
    for (const auto &[key, address] : addresses) {
        // Port 0 requests any free port, so it never conflicts.
        if (!address.empty() && ValueText::portOf(address) != 0 && !seen.insert(address).second) {
            reader.addError(nodeOrRoot(root, key), key, "duplicate address: caller-address, peer-address and operator-address must differ");
        }
    }
}

void checkDurations(YamlReader &reader, const YamlNode &root, const Settings &settings)
{
    if (settings.suspicionTimeout <= settings.gossipInterval) {
        reader.addError(nodeOrRoot(root, "suspicion-timeout"),
                        "suspicion-timeout",
                        "must be longer than gossip-interval (" + ValueText::format(settings.gossipInterval)
                            + "), so that a suspected member has time to refute the suspicion");
    }
    if (settings.memberForgetTime <= settings.suspicionTimeout) {
        reader.addError(nodeOrRoot(root, "member-forget-time"),
                        "member-forget-time",
                        "must be longer than suspicion-timeout (" + ValueText::format(settings.suspicionTimeout) + ")");
    }
}

} // namespace

SettingsResult SettingsParser::parse(std::string_view text, const std::string &file)
{
    return parseSettings(text, file, settingsKeyRules(), [](YamlReader &reader, const YamlNode &root, const Settings &settings) {
        checkPeerSecurity(reader, root, settings);
        checkAddresses(reader, root, settings);
        checkDurations(reader, root, settings);
    });
}

std::vector<KeyDescription> SettingsParser::keys()
{
    return describe(settingsKeyRules());
}

} // namespace carobjunction
