#include "runlogreader.h"

#include <nlohmann/json.hpp>

#include <fstream>
#include <utility>

namespace carobjunction::scenarios
{

RunLogReader::RunLogReader(std::string directory, std::size_t targets) : m_directory(std::move(directory)), m_targets(targets)
{
}

std::vector<RunRecord> RunLogReader::read() const
{
    std::vector<RunRecord> runs;
    for (std::size_t target = 0; target < m_targets; ++target) {
        std::ifstream file(m_directory + "/runs-" + std::to_string(target));
        for (std::string line; std::getline(file, line);) {
            const auto json = nlohmann::json::parse(line, nullptr, false);
            if (json.is_object()) {
                runs.push_back({ target,
                                 json.value("request_id", std::string()),
                                 json.value("key", std::string()),
                                 json.value("path", std::string()),
                                 json.value("method", std::string()),
                                 json.value("started_ms", int64_t { 0 }) });
            }
        }
    }
    return runs;
}

} // namespace carobjunction::scenarios
