#include "Balsamrack/Settings/SchemaCheck.h"

#include <algorithm>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>
#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validator.hpp>

#include "absl/strings/str_cat.h"

namespace balsamrack {

namespace {

using nlohmann::json;

constexpr size_t MaxShownChars =
    80; ///< Longer values are truncated in messages.

std::string formatValue(const json &value) {
  std::string text = value.dump(-1, ' ', false, json::error_handler_t::replace);
  return text.size() <= MaxShownChars ? text
                                      : text.substr(0, MaxShownChars) + "...";
}

/// Describes the values that a schema node allows.
std::string describeAllowed(const json &node) {
  std::string text = node.value("type", std::string("value"));
  if (node.contains("enum"))
    return absl::StrCat("one of ", node["enum"].dump());
  if (node.contains("minimum"))
    absl::StrAppend(&text, " from ", node["minimum"].dump(), " to ",
                    node["maximum"].dump());
  if (node.contains("minLength"))
    absl::StrAppend(&text, " of ", node["minLength"].dump(), " to ",
                    node["maxLength"].dump(), " characters");
  else if (node.contains("maxLength"))
    absl::StrAppend(&text, " of at most ", node["maxLength"].dump(),
                    " characters");
  if (node.contains("maxItems"))
    absl::StrAppend(&text, " of ", node.value("minItems", 0), " to ",
                    node["maxItems"].dump(), " items");
  return text;
}

/// Follows an error's context ("<root>", "[name]", ...) in schema and document
/// at the same time.
struct SchemaCursor {
  json::json_pointer Pointer;
  const json *Schema;
  const json *Value;

  bool descend(const std::string &step) {
    const std::string name = step.substr(1, step.size() - 2);
    if (Value->is_array()) {
      const size_t at = std::strtoul(name.c_str(), nullptr, 10);
      if (at >= Value->size() || !Schema->contains("items"))
        return false;
      Schema = &(*Schema)["items"];
      Value = &(*Value)[at];
      Pointer /= at;
      return true;
    }
    if (!Value->is_object() || !Value->contains(name) ||
        !Schema->contains("properties") ||
        !(*Schema)["properties"].contains(name))
      return false;
    Schema = &(*Schema)["properties"][name];
    Value = &(*Value)[name];
    Pointer /= name;
    return true;
  }
};

std::string pointerText(const json::json_pointer &pointer) {
  const std::string text = pointer.to_string();
  return text.empty() ? "/" : text;
}

/// Adds faults for unknown and missing members of the object at \p cursor.
void addMemberFaults(const SchemaCursor &cursor,
                     std::vector<SettingsFault> &faults) {
  const json &known = (*cursor.Schema)["properties"];
  bool closed = cursor.Schema->value("additionalProperties", true) == false;
  for (const auto &[name, value] : cursor.Value->items()) {
    if (!closed || known.contains(name))
      continue;
    std::string names;
    for (const auto &it : known.items())
      absl::StrAppend(&names, names.empty() ? "" : ", ", it.key());
    faults.push_back({pointerText(cursor.Pointer / name),
                      absl::StrCat("unknown field, ", formatValue(value)),
                      absl::StrCat("fields ", names)});
  }
  if (!cursor.Schema->contains("required"))
    return;
  for (const auto &name : (*cursor.Schema)["required"])
    if (!cursor.Value->contains(name.get<std::string>()))
      faults.push_back({pointerText(cursor.Pointer / name.get<std::string>()),
                        "nothing",
                        describeAllowed(known[name.get<std::string>()])});
}

/// Collects the faults at and below \p cursor in pointer order.
void collectFaults(const SchemaCursor &cursor,
                   const std::set<std::string> &invalidPointers,
                   std::vector<SettingsFault> &faults) {
  const std::string type = cursor.Schema->value("type", std::string());
  const bool isExpectedObject = type == "object" && cursor.Value->is_object();
  const bool isExpectedArray = type == "array" && cursor.Value->is_array();
  if (isExpectedObject) {
    addMemberFaults(cursor, faults);
    for (const auto &it : cursor.Value->items()) {
      SchemaCursor inner = cursor;
      if (inner.descend("[" + it.key() + "]"))
        collectFaults(inner, invalidPointers, faults);
    }
    return;
  }
  if (invalidPointers.count(cursor.Pointer.to_string()) > 0)
    faults.push_back({pointerText(cursor.Pointer), formatValue(*cursor.Value),
                      describeAllowed(*cursor.Schema)});
  for (size_t i = 0; isExpectedArray && i < cursor.Value->size(); ++i) {
    SchemaCursor inner = cursor;
    if (inner.descend(absl::StrCat("[", i, "]")))
      collectFaults(inner, invalidPointers, faults);
  }
}

} // namespace

std::vector<SettingsFault> checkAgainstSchema(const json &schema,
                                              const json &document) {
  valijson::Schema rules;
  valijson::SchemaParser parser;
  valijson::adapters::NlohmannJsonAdapter schemaAdapter(schema);
  parser.populateSchema(schemaAdapter, rules);
  valijson::Validator validator(valijson::Validator::kStrongTypes);
  valijson::ValidationResults results;
  valijson::adapters::NlohmannJsonAdapter adapter(document);
  if (validator.validate(rules, adapter, &results))
    return {};

  // Messages of valijson contain neither the value nor the limits, and errors
  // are repeated for each level above. Keep the locations only and format the
  // messages here.
  std::set<std::string> invalidPointers;
  valijson::ValidationResults::Error error;
  while (results.popError(error)) {
    SchemaCursor cursor{json::json_pointer(), &schema, &document};
    for (size_t i = 1; i < error.context.size(); ++i)
      if (!cursor.descend(error.context[i]))
        break;
    invalidPointers.insert(cursor.Pointer.to_string());
  }
  std::vector<SettingsFault> faults;
  collectFaults({json::json_pointer(), &schema, &document}, invalidPointers,
                faults);
  return faults;
}

} // namespace balsamrack
