#include "Balsamrack/Http/OperatorReplies.h"

#include <nlohmann/json.hpp>

namespace balsamrack {

using nlohmann::json;

OperatorReply successReply(const json &body) {
  return {200, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

OperatorReply errorReply(uint32_t status, const std::string &message) {
  json body = {{"error", message}};
  return {status, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

std::string parameterOf(const OperatorRequest &request, const char *name) {
  const auto it = request.Query.find(name);
  return it == request.Query.end() ? std::string() : it->second;
}

} // namespace balsamrack
