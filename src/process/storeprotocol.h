#pragma once

#include "process/storetypes.h"

#include <string>
#include <string_view>

namespace carobjunction
{

/** JSON bodies of the store's protocol. Functions that parse return empty on malformed input and never throw. */
namespace storeprotocol
{

std::optional<std::string> writeTransactRequest(const std::vector<StoreOp> &ops, bool atomic);

/** @param atomic  receives the kind of transaction */
std::optional<std::vector<StoreOp>> parseTransactRequest(std::string_view body, bool &atomic);

std::string writeTransactAnswer(const TransactResult &result);

/** @param ops  number of ops of the request; an answer with another number is malformed */
std::optional<TransactResult> parseTransactAnswer(std::string_view body, size_t ops);

std::optional<std::string> writeReadRequest(const std::vector<std::string> &keys);

std::optional<std::string> writePrefixRequest(const std::string &prefix);

std::string writeReadAnswer(const std::vector<StoreRow> &rows);

std::optional<std::vector<StoreRow>> parseReadAnswer(std::string_view body);

} // namespace storeprotocol

} // namespace carobjunction
