#include "Balsamrack/Http/OperatorAnswers.h"

#include <nlohmann/json.hpp>

namespace balsamrack {

using nlohmann::json;

OperatorAnswer goodAnswer(const json &body) {
  return {200, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

OperatorAnswer badAnswer(uint32_t status, const std::string &message) {
  json body = {{"error", message}};
  return {status, "application/json",
          body.dump(-1, ' ', false, json::error_handler_t::replace)};
}

std::string parameterOf(const OperatorQuestion &question, const char *name) {
  const auto it = question.Query.find(name);
  return it == question.Query.end() ? std::string() : it->second;
}

} // namespace balsamrack
