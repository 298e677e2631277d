#pragma once

#include "process/storetypes.h"

#include <string>
#include <string_view>

namespace carobjunction
{

/**
 * Serialises and parses the JSON bodies of the store protocol. Parsers return empty on malformed input and never throw. Serialisers of
 * requests return empty if a text is not valid UTF-8.
 */
namespace storeprotocol
{

std::optional<std::string> serialiseTransactRequest(const std::vector<StoreOp> &ops, bool atomic);

/** @param atomic  receives whether the transaction is atomic */
std::optional<std::vector<StoreOp>> parseTransactRequest(std::string_view body, bool &atomic);

std::string serialiseTransactResponse(const TransactResult &result);

/** @param ops  number of operations in the request; a response with another number of results is malformed */
std::optional<TransactResult> parseTransactResponse(std::string_view body, size_t ops);

std::optional<std::string> serialiseReadRequest(const std::vector<std::string> &keys);

std::optional<std::string> serialisePrefixReadRequest(const std::string &prefix);

std::string serialiseReadResponse(const std::vector<StoreRow> &rows);

std::optional<std::vector<StoreRow>> parseReadResponse(std::string_view body);

} // namespace storeprotocol

} // namespace carobjunction
