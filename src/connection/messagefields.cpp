#include "connection/messagefields.h"

#include <boost/beast/http/rfc7230.hpp>

#include <vector>

namespace carobjunction
{

void removeHopByHopFields(http::fields &fields)
{
    std::vector<std::string> connectionTokens;
    for (const auto token : http::token_list(fields[http::field::connection])) {
        connectionTokens.emplace_back(token.data(), token.size());
    }
    for (const std::string &name : connectionTokens) {
        fields.erase(name);
    }
    for (const http::field field : { http::field::connection,
                                     http::field::keep_alive,
                                     http::field::proxy_connection,
                                     http::field::te,
                                     http::field::trailer,
                                     http::field::transfer_encoding,
                                     http::field::upgrade,
                                     http::field::expect,
                                     http::field::content_length }) {
        fields.erase(field);
    }
}

std::string fieldValue(const http::fields &fields, const std::string &name)
{
    const auto value = fields[name];
    return std::string(value.data(), value.size());
}

bool hasField(const http::fields &fields, const std::string &name)
{
    return fields.find(name) != fields.end();
}

HttpResponse textResponse(http::status status, const std::string &text)
{
    HttpResponse response(status, 11);
    response.set(http::field::content_type, "text/plain");
    response.body() = text + "\n";
    response.prepare_payload();
    return response;
}

} // namespace carobjunction
